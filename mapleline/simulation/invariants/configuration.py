"""The invariant on the configuration in force at each machine."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterator

from ..history import NO_VERSION, History
from .rules import Rule, Violation


class _AcknowledgedVersions:
    """The newest acknowledged version at any moment."""

    def __init__(self, history: History) -> None:
        acknowledged = sorted((ack.at, ack.version) for ack in history.acknowledged_configurations())
        self._times: list[float] = []
        self._newest: list[int] = []
        newest = NO_VERSION
        for at, version in acknowledged:
            newest = max(version, newest)
            self._times.append(at)
            self._newest.append(newest)

    def newest_before(self, at: float) -> int:
        """Return the newest version that was acknowledged before the moment `at`."""
        count = bisect_left(self._times, at)
        return self._newest[count - 1] if count else NO_VERSION


def check_configuration_versions(history: History) -> Iterator[Violation]:
    """CONFIG: no incarnation returns to an older version, and each applies the newest one within `config_apply`."""
    apply_s = history.bounds.config_apply
    acknowledged = _AcknowledgedVersions(history)
    previous: dict[tuple[str, int], int] = {}
    for sample in history.configurations:
        incarnation = (sample.machine, sample.incarnation)
        if sample.version < previous.get(incarnation, NO_VERSION):
            detail = f"{sample.machine} went back to {sample.version}"
            yield Violation(Rule.CONFIGURATION, sample.at, detail)
        previous[incarnation] = sample.version
        due = acknowledged.newest_before(sample.at - apply_s)
        if sample.version < due and history.is_undisturbed(sample.machine, sample.at, apply_s):
            detail = f"{sample.machine} serves by {sample.version}, {due} is due"
            yield Violation(Rule.CONFIGURATION, sample.at, detail)
