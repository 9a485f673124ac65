"""The commands that change the replicated state, and their results (pure)."""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum
from typing import NamedTuple

import msgspec

from .reconfiguration import FaultTolerance, tolerates_faults
from .state import State, begin_reconfiguration, replace_configuration, set_evacuation

#: `SetEvacuation.known_number` of a command that overrides every change; higher than the number of any state.
ANY_NUMBER = 1 << 62


class CommandStatus(IntEnum):
    """The result of a command, as the HTTP status of the operator's call (docs/balancer/control-plane.md)."""

    DONE = 200
    CONFLICT = 409
    UNCERTAIN = 503


class ReplaceConfiguration(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Puts a configuration in force; its body is sent beside the command."""

    version: int
    digest: int


class SetEvacuation(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """Evacuates a zone, or ends its evacuation.

    Attributes:
        zone: the zone's name.
        is_evacuated: whether its servers must get no requests.
        known_number: the number of the newest state at the node that received the command.  A delayed copy of the
            command has no effect after a later change of the zone.
    """

    zone: str
    is_evacuated: bool
    known_number: int = ANY_NUMBER


class RemoveReplica(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """Removes a permanently lost machine from the voters."""

    ip: int


Command = ReplaceConfiguration | SetEvacuation | RemoveReplica


class CommandResult(NamedTuple):
    """The reply to the operator: a status, one of `CommandStatus`, and a line of text."""

    status: int
    text: str = ""


class AppliedCommand(NamedTuple):
    """The state after one command, and the command's result if that state is chosen."""

    state: State
    result: CommandResult


def apply_command(state: State, command: Command, tolerance: FaultTolerance) -> AppliedCommand:
    """Apply one command; applying it again does not change the state further."""
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
    """Apply commands in order; return the resulting state and the result of each command."""
    results = []
    for command in commands:
        state, result = apply_command(state, command, tolerance)
        results.append(result)
    return state, results


def _replace_configuration(state: State, command: ReplaceConfiguration) -> AppliedCommand:
    successor, is_confirmed = replace_configuration(state, command.version, command.digest)
    if is_confirmed:
        return AppliedCommand(successor, CommandResult(CommandStatus.DONE))
    in_force = successor.config.version if successor.config is not None else 0
    text = f"config_version {command.version} stands for another configuration; in force is {in_force}"
    return AppliedCommand(successor, CommandResult(CommandStatus.CONFLICT, text))


def _set_evacuation(state: State, command: SetEvacuation) -> AppliedCommand:
    is_change = (command.zone in state.evacuated) != command.is_evacuated
    if is_change and dict(state.changed).get(command.zone, 0) > command.known_number:
        text = f"{command.zone} was changed by another order meanwhile"
        return AppliedCommand(state, CommandResult(CommandStatus.UNCERTAIN, text))
    successor = set_evacuation(state, command.zone, command.is_evacuated)
    return AppliedCommand(successor, CommandResult(CommandStatus.DONE))


def _remove_replica(state: State, command: RemoveReplica, tolerance: FaultTolerance) -> AppliedCommand:
    remaining = [voter for voter in state.voters if voter.ip != command.ip]
    if len(remaining) == len(state.voters):
        return AppliedCommand(state, CommandResult(CommandStatus.DONE))
    if state.former:
        text = "another change of members is under way"
        return AppliedCommand(state, CommandResult(CommandStatus.UNCERTAIN, text))
    if not tolerates_faults(remaining, tolerance):
        text = "too few would be left to bear a loss"
        return AppliedCommand(state, CommandResult(CommandStatus.CONFLICT, text))
    return AppliedCommand(begin_reconfiguration(state, remaining), CommandResult(CommandStatus.DONE))
