"""The invariant on evacuations at the end of a run."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from ..history import EVACUATIONS_PREFIX, History, OperatorCommand
from .rules import Rule, Violation

LATE_EFFECT_S = 5.0
"""Time after which a command that the operator gave up can no longer take effect."""


@dataclass(frozen=True, slots=True)
class _FinalState:
    """The last acknowledged command for a zone, and the moment of its acknowledgement."""

    zone: str
    path: str
    acknowledged_at: float

    @property
    def is_evacuated(self) -> bool:
        return self.path.endswith("begin")


def check_final_evacuations(history: History) -> Iterator[Violation]:
    """LOST: at the end of a run each machine obeys the last acknowledged command for a zone.

    A zone is not checked if the opposite command was in flight at the same time.
    """
    by_zone: defaultdict[str, list[OperatorCommand]] = defaultdict(list)
    for command in history.commands:
        if command.path.startswith(EVACUATIONS_PREFIX):
            by_zone[command.path.split("/")[2]].append(command)
    for zone, commands in by_zone.items():
        state = _final_state(zone, commands)
        if state is not None:
            yield from _check_machines(history, state)


def _final_state(zone: str, commands: list[OperatorCommand]) -> _FinalState | None:
    """Return the expected state of the zone, or None if it is undetermined."""
    acknowledged = [(command.acknowledged_at, command) for command in commands if command.acknowledged_at is not None]
    if not acknowledged:
        return None
    acknowledged_at, last = max(acknowledged, key=lambda pair: pair[0])
    if any(other.path != last.path and _may_take_effect_after(other, last.sent_at) for other in commands):
        return None
    return _FinalState(zone, last.path, acknowledged_at)


def _may_take_effect_after(command: OperatorCommand, at: float) -> bool:
    if command.closed_at is None:
        return True
    late_effect_s = LATE_EFFECT_S if command.acknowledged_at is None else 0.0
    return command.closed_at + late_effect_s > at


def _check_machines(history: History, state: _FinalState) -> Iterator[Violation]:
    for final in history.final_evacuations:
        if state.is_evacuated != (state.zone in final.zones):
            actual_state = "open" if state.is_evacuated else "emptied"
            detail = (
                f"{final.machine} has {state.zone} {actual_state}, "
                f"{state.path} was acknowledged at {state.acknowledged_at:.2f}"
            )
            yield Violation(Rule.LOST, final.at, detail)
