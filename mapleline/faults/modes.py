"""The faults that a schedule can name: of a link, of a process, and of a killed ingress's newest record."""

from __future__ import annotations

from enum import StrEnum


class LinkMode(StrEnum):
    """What a link does to what it relays; see docs/fleet.md."""

    DELAY = "delay"
    LOSS = "loss"
    CUT = "cut"
    CUT_UP = "cut_up"
    CUT_DOWN = "cut_down"
    BLACKHOLE = "blackhole"
    RESET = "reset"
    SLOW = "slow"


class ProcessMode(StrEnum):
    """What happens to a process; see docs/fleet.md."""

    STALL = "stall"
    KILL = "kill"
    RESTART = "restart"
    CLOCK = "clock"
    JOIN = "join"
    LEAVE = "leave"
    REPLACE = "replace"


class RecordState(StrEnum):
    """What becomes of the newest record of a killed ingress in the fleet's store."""

    WHOLE = "whole"
    TORN = "torn"
    EMPTY = "empty"
    FOREIGN = "foreign"


#: The names as plain strings, for the messages about a wrong one.
LINK_MODE_NAMES = tuple(mode.value for mode in LinkMode)
PROCESS_MODE_NAMES = tuple(mode.value for mode in ProcessMode)
RECORD_STATE_NAMES = tuple(state.value for state in RecordState)
