"""What an operator may ask of the agreed state, and what is answered (pure)."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from .reconfiguration import bears
from .state import State, emptied, reformed, replaced

DONE, CONFLICT, UNSURE = 200, 409, 503


class ReplaceConfiguration(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """A whole configuration, by the digest of its body."""

    version: int
    content: int


class SetEvacuation(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """A zone's servers are to get nothing, or may have requests again.  `known`: the number of the state that was held,
    in touch, where the order was taken: a copy of it that comes after a later change of the zone changes nothing.
    """

    zone: str
    begin: bool
    known: int = 1 << 62


class RemoveReplica(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """A machine that is gone for good votes no longer."""

    ip: int


Command = ReplaceConfiguration | SetEvacuation | RemoveReplica


class CommandResult(NamedTuple):
    """What the operator is told: a status, and a line for people."""

    status: int
    text: str = ""


def apply(state: State, order: Command, losses: int, zones: int) -> tuple[State, CommandResult]:
    """The state after an order, and its outcome once that state is chosen.  The same order twice is one."""
    match order:
        case ReplaceConfiguration(version, content):
            state, confirmed = replaced(state, version, content)
            if confirmed:
                return state, CommandResult(DONE)
            held = state.config[0] if state.config is not None else 0
            return state, CommandResult(
                CONFLICT, f"config_version {version} stands for another configuration; in force is {held}"
            )
        case SetEvacuation(zone, begin, known):
            if (zone in state.evacuated) != begin and dict(state.changed).get(zone, 0) > known:
                return state, CommandResult(UNSURE, f"{zone} was changed by another order meanwhile")
            return emptied(state, zone, begin), CommandResult(DONE)
        case RemoveReplica(ip):
            left = [r for r in state.voters if r.ip != ip]
            if len(left) == len(state.voters):
                return state, CommandResult(DONE)
            if state.former:
                return state, CommandResult(UNSURE, "another change of members is under way")
            if not bears(left, losses, zones):
                return state, CommandResult(CONFLICT, "too few would be left to bear a loss")
            return reformed(state, left), CommandResult(DONE)
    raise TypeError(order)


def batch(state: State, orders: list[Command], losses: int, zones: int) -> tuple[State, list[CommandResult]]:
    """Several orders in their turn, as one change."""
    outcomes = []
    for order in orders:
        state, outcome = apply(state, order, losses, zones)
        outcomes.append(outcome)
    return state, outcomes
