"""Invariants on the control state: one content per version, idempotent commands, no rejected content in force.

The rules are those of docs/balancer/simulation.md; RULES.md has them under CONFIG, LOST and "Duty".
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from ..history import (
    CLIENT_ERRORS,
    FINAL_CLIENT_ERRORS,
    NEVER,
    REPLACE_PATH,
    STATUS_OK,
    UNCLEAR_CLIENT_ERRORS,
    History,
    OperatorCommand,
    OperatorResponse,
)
from .rules import Rule, Violation

CommandKey = tuple[str, int, str]


def _valid_configurations(history: History) -> dict[int, list[OperatorCommand]]:
    """Return the commands with a valid configuration, by version."""
    by_version: defaultdict[int, list[OperatorCommand]] = defaultdict(list)
    for command in history.commands:
        if command.path == REPLACE_PATH and command.is_valid:
            by_version[command.version].append(command)
    return by_version


# -- RIVALS ------------------------------------------------------------------------------------------------


def check_rivals(history: History) -> Iterator[Violation]:
    """RIVALS: of several contents under one version at most one is acknowledged, and not all of them are rejected."""
    for version, commands in _valid_configurations(history).items():
        confirmations = _confirmations(commands)
        yield from _check_single_content(version, confirmations)
        if not confirmations and all(command.rejected_status for command in commands):
            at = max(command.closed_at for command in commands if command.closed_at is not None)
            yield Violation(Rule.RIVALS, at, f"every content under {version} was refused")


@dataclass(frozen=True, slots=True)
class _Confirmation:
    """An acknowledgement of one content of a version."""

    at: float
    content: str


def _confirmations(commands: list[OperatorCommand]) -> list[_Confirmation]:
    """Return the acknowledgements of the commands, the earliest first."""
    confirmations = [
        _Confirmation(command.acknowledged_at, command.content)
        for command in commands
        if command.acknowledged_at is not None
    ]
    return sorted(confirmations, key=lambda confirmation: confirmation.at)


def _check_single_content(version: int, confirmations: list[_Confirmation]) -> Iterator[Violation]:
    """RIVALS: only one content of a version is acknowledged."""
    seen: set[str] = set()
    for confirmation in confirmations:
        if seen and confirmation.content not in seen:
            first = confirmations[0]
            detail = f"{version} confirmed as {confirmation.content}, and as {first.content} at {first.at:.2f}"
            yield Violation(Rule.RIVALS, confirmation.at, detail)
        seen.add(confirmation.content)


# -- AGAIN, ACKS -------------------------------------------------------------------------------------------


def check_repeated_commands(history: History) -> Iterator[Violation]:
    """AGAIN: a command that was acknowledged, or observed in force, is not rejected when it is sent again.

    ACKS: a valid configuration whose version has no other content is not rejected either.
    """
    acknowledged_at = _first_acknowledgements(history)
    in_force_since = _first_in_force(history)
    configurations = _valid_configurations(history)
    for response in history.responses:
        command = response.command
        if command is None or not command.is_valid or not _is_rejection(response.status):
            continue
        if acknowledged_at.get(command.key, NEVER) < response.asked_at:
            since = acknowledged_at[command.key]
            yield _rejected_after_acknowledgement(history, command, response, since)
        elif in_force_since.get(command.key, NEVER) < response.answered_at:
            detail = (
                f"{command.path} {command.version}, in force since {in_force_since[command.key]:.2f}, "
                f"got {response.status} from {response.machine}"
            )
            yield Violation(Rule.REPEATED_COMMAND, response.answered_at, detail)
        elif response.status in FINAL_CLIENT_ERRORS and not _has_rival(command, response, configurations):
            detail = f"{command.path} {command.version} refused with {response.status} by {response.machine}"
            yield Violation(Rule.ACKNOWLEDGEMENT, response.answered_at, detail)


def _is_rejection(status: int) -> bool:
    return status in CLIENT_ERRORS and status not in UNCLEAR_CLIENT_ERRORS


def _first_acknowledgements(history: History) -> dict[CommandKey, float]:
    """Return the moment at which each command, or a repetition of it, was first acknowledged."""
    first: dict[CommandKey, float] = {}
    for command in history.commands:
        if command.acknowledged_at is not None:
            first[command.key] = min(command.acknowledged_at, first.get(command.key, NEVER))
    return first


def _first_in_force(history: History) -> dict[CommandKey, float]:
    """Return the moment at which each configuration was first observed in force."""
    first: dict[CommandKey, float] = {}
    for sample in history.configurations:
        first.setdefault((REPLACE_PATH, sample.version, sample.content), sample.at)
    return first


def _rejected_after_acknowledgement(
    history: History, command: OperatorCommand, response: OperatorResponse, since: float
) -> Violation:
    has_other_change = any(
        other.sent_at < response.answered_at
        and other.key != command.key
        and other.is_valid
        and (other.closed_at is None or other.closed_at > since)
        for other in history.commands
    )
    detail = (
        f"{command.path} {command.version}, acknowledged at {since:.2f}, got {response.status} from "
        f"{response.machine}" + ("" if has_other_change else ", with no other change since")
    )
    return Violation(Rule.REPEATED_COMMAND, response.answered_at, detail)


def _has_rival(
    command: OperatorCommand, response: OperatorResponse, configurations: dict[int, list[OperatorCommand]]
) -> bool:
    """Return whether another content under the same version was sent before the response."""
    return any(
        other.content != command.content and other.sent_at < response.answered_at
        for other in configurations.get(command.version, ())
    )


# -- FORCE -------------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class _Observation:
    """A configuration that was in force at a machine, or that the machine returned to a read."""

    at: float
    machine: str
    version: int
    content: str
    action: str


def check_in_force(history: History) -> Iterator[Violation]:
    """FORCE: no invalid command is acknowledged.

    No configuration is in force, or read, that was rejected or never sent, is invalid or lost to an acknowledged rival.
    """
    for command in history.commands:
        if not command.is_valid and command.acknowledged_at is not None:
            detail = f"{command.version}, which is invalid, was acknowledged"
            yield Violation(Rule.IN_FORCE, command.acknowledged_at, detail)
    legitimacy = _Legitimacy(_valid_configurations(history))
    reported: set[tuple[str, int, str]] = set()
    for observation in _observations(history):
        fault = legitimacy.fault_of(observation)
        key = (observation.machine, observation.version, observation.content)
        if fault and key not in reported:
            reported.add(key)
            detail = (
                f"{observation.machine} {observation.action} {observation.version} as {observation.content}, {fault}"
            )
            yield Violation(Rule.IN_FORCE, observation.at, detail)


def _observations(history: History) -> Iterator[_Observation]:
    for sample in history.configurations:
        yield _Observation(sample.at, sample.machine, sample.version, sample.content, "serves by")
    for response in history.responses:
        if response.command is None and response.status == STATUS_OK:
            yield _Observation(response.answered_at, response.machine, response.version, response.content, "reads")


class _Legitimacy:
    """Decides which configurations may be in force, from the commands that were sent and their outcomes."""

    def __init__(self, configurations: dict[int, list[OperatorCommand]]) -> None:
        self._first_sent_at: dict[tuple[int, str], float] = {}
        self._confirmed: set[tuple[int, str]] = set()
        self._rejected: dict[tuple[int, str], int] = {}
        for commands in configurations.values():
            for command in commands:
                self._add(command)
        self._decided_versions = {version for version, _ in self._confirmed}

    def _add(self, command: OperatorCommand) -> None:
        key = (command.version, command.content)
        self._first_sent_at[key] = min(command.sent_at, self._first_sent_at.get(key, command.sent_at))
        if command.acknowledged_at is not None:
            self._confirmed.add(key)
        if command.rejected_status:
            self._rejected[key] = command.rejected_status

    def fault_of(self, observation: _Observation) -> str:
        """Return the reason why the configuration may not be in force; empty if it may be."""
        key = (observation.version, observation.content)
        if self._first_sent_at.get(key, NEVER) > observation.at:
            return "which nobody has sent"
        if observation.version in self._decided_versions and key not in self._confirmed:
            return "whose rival was confirmed"
        if key in self._rejected:
            return f"which was refused with {self._rejected[key]}"
        return ""
