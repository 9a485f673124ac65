"""The commands that change the replicated state, and their results (pure)."""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum
from typing import NamedTuple

import msgspec

from .reconfiguration import FaultTolerance, tolerates_faults
from .state import State, begin_reconfiguration, replace_configuration, set_evacuation

#: `SetEvacuation.known_number` of a command that overrides every change: no state has such a number.
ANY_NUMBER = 1 << 62


class CommandStatus(IntEnum):
    """The outcome of a command, as the HTTP status of the operator's call (docs/balancer/control-plane.md)."""

    DONE = 200
    CONFLICT = 409
    UNCERTAIN = 503


class ReplaceConfiguration(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Puts a configuration in force; its body travels beside the command."""

    version: int
    digest: int


class SetEvacuation(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """Evacuates a zone, or lets it serve again.

    Attributes:
        zone: the zone's name.
        is_evacuated: whether its servers are to get no requests.
        known_number: the number of the newest state where the command was received.  A late copy of the command
            changes nothing after a later change of the zone.
    """

    zone: str
    is_evacuated: bool
    known_number: int = ANY_NUMBER


class RemoveReplica(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """Removes a machine that is gone for good from the voters."""

    ip: int


Command = ReplaceConfiguration | SetEvacuation | RemoveReplica


class CommandResult(NamedTuple):
    """What the operator gets: a status, one of `CommandStatus`, and a line for people."""

    status: int
    text: str = ""


class Application(NamedTuple):
    """A state after one command, and the command's result once that state is chosen."""

    state: State
    result: CommandResult


def apply_command(state: State, command: Command, tolerance: FaultTolerance) -> Application:
    """Apply one command; to apply it a second time changes nothing more."""
    match command:
        case ReplaceConfiguration():
            return _replace_configuration(state, command)
        case SetEvacuation():
            return _set_evacuation(state, command)
        case RemoveReplica():
            return _remove_replica(state, command, tolerance)
    raise TypeError(command)


def apply_all(
    state: State, commands: Iterable[Command], tolerance: FaultTolerance
) -> tuple[State, list[CommandResult]]:
    """Apply commands in their order, and return the last state with the result of each."""
    results = []
    for command in commands:
        state, result = apply_command(state, command, tolerance)
        results.append(result)
    return state, results


def _replace_configuration(state: State, command: ReplaceConfiguration) -> Application:
    successor, is_confirmed = replace_configuration(state, command.version, command.digest)
    if is_confirmed:
        return Application(successor, CommandResult(CommandStatus.DONE))
    in_force = successor.config.version if successor.config is not None else 0
    text = f"config_version {command.version} stands for another configuration; in force is {in_force}"
    return Application(successor, CommandResult(CommandStatus.CONFLICT, text))


def _set_evacuation(state: State, command: SetEvacuation) -> Application:
    is_change = (command.zone in state.evacuated) != command.is_evacuated
    if is_change and dict(state.changed).get(command.zone, 0) > command.known_number:
        text = f"{command.zone} was changed by another order meanwhile"
        return Application(state, CommandResult(CommandStatus.UNCERTAIN, text))
    successor = set_evacuation(state, command.zone, command.is_evacuated)
    return Application(successor, CommandResult(CommandStatus.DONE))


def _remove_replica(state: State, command: RemoveReplica, tolerance: FaultTolerance) -> Application:
    rest = [voter for voter in state.voters if voter.ip != command.ip]
    if len(rest) == len(state.voters):
        return Application(state, CommandResult(CommandStatus.DONE))
    if state.former:
        text = "another change of members is under way"
        return Application(state, CommandResult(CommandStatus.UNCERTAIN, text))
    if not tolerates_faults(rest, tolerance):
        text = "too few would be left to bear a loss"
        return Application(state, CommandResult(CommandStatus.CONFLICT, text))
    return Application(begin_reconfiguration(state, rest), CommandResult(CommandStatus.DONE))
