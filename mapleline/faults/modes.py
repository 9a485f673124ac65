"""Modes of the faults in a schedule: of links, of processes, and of the newest record of a killed ingress."""

from __future__ import annotations

from enum import StrEnum


class LinkMode(StrEnum):
    """Effect of a fault on the bytes that a link relays; see docs/fleet.md."""

    DELAY = "delay"
    LOSS = "loss"
    CUT = "cut"
    CUT_UP = "cut_up"
    CUT_DOWN = "cut_down"
    BLACKHOLE = "blackhole"
    RESET = "reset"
    SLOW = "slow"


class ProcessMode(StrEnum):
    """Effect of a fault on a process; see docs/fleet.md."""

    STALL = "stall"
    KILL = "kill"
    RESTART = "restart"
    CLOCK = "clock"
    JOIN = "join"
    LEAVE = "leave"
    REPLACE = "replace"


class RecordState(StrEnum):
    """State in which a fault leaves the newest record of a killed ingress in the fleet's store."""

    WHOLE = "whole"
    TORN = "torn"
    EMPTY = "empty"
    FOREIGN = "foreign"


#: The names as plain strings, for validation errors.
LINK_MODE_NAMES = tuple(mode.value for mode in LinkMode)
PROCESS_MODE_NAMES = tuple(mode.value for mode in ProcessMode)
RECORD_STATE_NAMES = tuple(state.value for state in RecordState)
