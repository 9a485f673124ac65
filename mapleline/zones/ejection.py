"""Ejection of failed zones, as seen by one member (pure: attempts, counts and times are passed in).

A member considers a zone failed when no answer has come for `evidence_s` although at least `least_tries` attempts or
probes were sent there since the last answer.  The fleet ejects a zone when more than half of the members alive report
it failed in one period.  It readmits the zone after enough periods in a row without such a quorum, for the length of
the hold.  The bounds and their reasons are in docs/design/zones.md.  Times are integer nanoseconds of the decision
module's clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from ..policy.interface import Result

#: Results that show that a server of the zone answered.
ANSWERED = frozenset({Result.OK, Result.ERROR, Result.REJECTED})
NEVER_NS = -(1 << 62)  #: before any time of the clock
NS_PER_S = 1e9
MAX_STABLE_INTERVALS = 64  #: the most intervals of `flap_s` without a flap that are counted: each halves the hold


class ZoneEjectionSettings(Protocol):
    """The settings of ejection (`settings.own.Zones`); durations in seconds."""

    @property
    def evidence_s(self) -> float:
        """The time without an answer after which a member considers a zone failed."""

    @property
    def least_tries(self) -> int:
        """The attempts and probes without an answer that are needed for that."""

    @property
    def hold_s(self) -> float:
        """The hold: how long a zone must be up before it is readmitted."""

    @property
    def hold_most_s(self) -> float:
        """The longest hold; each flap doubles the hold up to this."""

    @property
    def flap_s(self) -> float:
        """The time since readmission within which an ejection is a flap; each such time without one halves the hold."""


@dataclass(slots=True)
class ZoneHealth:
    """One zone as this member knows it.

    Attributes:
        unanswered_since_ns: When the first attempt since the last answer was sent; 0 if none was.
        unanswered: The number of attempts since the last answer.
        answered_at_ns: When the last answer came.
        probed_at_ns: When it was last probed.
        is_suspected: Whether some member reported it failed in the last period that was read.
        is_ejected: Whether the fleet has ejected it, so that nothing is sent there.
        good_periods: The number of periods in a row without a quorum against it, while ejected.
        hold_doublings: How often the hold is doubled.
        readmitted_at_ns: When it was last readmitted.
    """

    unanswered_since_ns: int = 0
    unanswered: int = 0
    answered_at_ns: int = NEVER_NS
    probed_at_ns: int = NEVER_NS
    is_suspected: bool = False
    is_ejected: bool = False
    good_periods: int = 0
    hold_doublings: int = 0
    readmitted_at_ns: int = NEVER_NS


class ZoneEjection:
    """The health of all zones, and the fleet's decisions on them."""

    def __init__(self, zones: int, settings: ZoneEjectionSettings, period_s: float) -> None:
        """Start with `zones` healthy zones; `period_s` is the length of a heartbeat period."""
        self.settings = settings
        self.period_s = period_s
        self.zones = [ZoneHealth() for _ in range(zones)]

    # -- evidence ----------------------------------------------------------------------------------------------

    def record_sent(self, zone: int, now_ns: int) -> None:
        """Record that an attempt or a probe goes to a server of a zone."""
        health = self.zones[zone]
        health.unanswered_since_ns = health.unanswered_since_ns or now_ns
        health.unanswered += 1

    def record_end(self, zone: int, result: Result, now_ns: int) -> None:
        """Record the end of an attempt or a probe; any answer shows that the zone is reachable."""
        health = self.zones[zone]
        if result in ANSWERED:
            if not self._has_answer_lately(now_ns):
                self._forget_unanswered()
            health.unanswered_since_ns = 0
            health.unanswered = 0
            health.answered_at_ns = now_ns
        elif result is Result.MOOT and health.unanswered:
            health.unanswered -= 1  # it was never sent

    def _forget_unanswered(self) -> None:
        """Drop the evidence on all zones: this member was cut off itself, so the zones may be healthy."""
        for health in self.zones:
            health.unanswered_since_ns = 0
            health.unanswered = 0

    def _is_failed(self, health: ZoneHealth, now_ns: int) -> bool:
        if not health.unanswered_since_ns or health.unanswered < self.settings.least_tries:
            return False
        return now_ns - health.unanswered_since_ns >= self.settings.evidence_s * NS_PER_S

    def _has_answer_lately(self, now_ns: int) -> bool:
        """Return whether any zone has answered within half of `evidence_s`."""
        half_ns = self.settings.evidence_s * NS_PER_S / 2
        return any(health.answered_at_ns >= now_ns - half_ns for health in self.zones)

    def failed_zones(self, now_ns: int) -> list[int]:
        """Return the zones that this member considers failed.

        There are none unless some zone has answered lately; otherwise this member may itself be cut off.
        """
        if not self._has_answer_lately(now_ns):
            return []
        return [zone for zone, health in enumerate(self.zones) if self._is_failed(health, now_ns)]

    # -- probes ------------------------------------------------------------------------------------------------

    def zones_to_probe(self, now_ns: int) -> list[int]:
        """Return the zones to probe now; called four times a period.

        These are the zones in doubt (see `_is_in_doubt`) and, once a period, the ejected ones.  While a zone is in
        doubt, the others without a recent answer are probed as well: an answer shows that this member is not cut off.
        """
        period_ns = int(self.period_s * NS_PER_S)
        evidence_ns = int(self.settings.evidence_s * NS_PER_S)
        in_doubt = [health for health in self.zones if self._is_in_doubt(health, now_ns, period_ns, evidence_ns)]
        due = []
        for zone, health in enumerate(self.zones):
            is_stale = bool(in_doubt) and health.answered_at_ns < now_ns - evidence_ns // 4
            is_due = now_ns - health.probed_at_ns >= period_ns if health.is_ejected else is_stale
            if health in in_doubt or is_due:
                health.probed_at_ns = now_ns
                due.append(zone)
        return due

    @staticmethod
    def _is_in_doubt(health: ZoneHealth, now_ns: int, period_ns: int, evidence_ns: int) -> bool:
        """Return whether a zone has not answered for a quarter of a period, or is suspected without a recent answer.

        The decision module soon sends little to servers that fail, so that evidence has to come from probes.
        """
        if health.is_ejected:
            return False
        is_silent = 0 < health.unanswered_since_ns <= now_ns - period_ns // 4
        return is_silent or (health.is_suspected and health.answered_at_ns < now_ns - evidence_ns)

    # -- the fleet's decision ----------------------------------------------------------------------------------

    def hold_s(self, health: ZoneHealth) -> float:
        """Return how long a zone must be up before the fleet readmits it, in seconds."""
        return min(self.settings.hold_most_s, self.settings.hold_s * 2.0**health.hold_doublings)

    def count_reports(self, zone: int, reports: int, alive: int, now_ns: int) -> bool | None:
        """Evaluate a complete period, in which `reports` of `alive` members reported the zone failed.

        Returns:
            True if the fleet ejects the zone now, False if it readmits it, None if nothing changes.
        """
        health = self.zones[zone]
        has_quorum = reports > alive / 2
        health.is_suspected = reports > 0
        if health.is_ejected:
            return self._readmit(health, has_quorum, now_ns)
        if not has_quorum or sum(not other.is_ejected for other in self.zones) == 1:
            return None
        self._eject(health, now_ns)
        return True

    def _eject(self, health: ZoneHealth, now_ns: int) -> None:
        """Eject a zone; a flap doubles the hold, and each stable interval since the readmission halves it."""
        stable_s = (now_ns - health.readmitted_at_ns) / NS_PER_S
        stable_intervals = int(min(MAX_STABLE_INTERVALS, stable_s / self.settings.flap_s))
        if stable_intervals == 0:
            health.hold_doublings += self.hold_s(health) < self.settings.hold_most_s
        else:
            health.hold_doublings = max(0, health.hold_doublings - stable_intervals)
        health.is_ejected = True
        health.good_periods = 0

    def _readmit(self, health: ZoneHealth, has_quorum: bool, now_ns: int) -> bool | None:
        """Readmit an ejected zone after a hold without a quorum against it."""
        health.good_periods = 0 if has_quorum else health.good_periods + 1
        if health.good_periods * self.period_s < self.hold_s(health):
            return None
        health.is_ejected = False
        health.readmitted_at_ns = now_ns
        health.unanswered_since_ns = 0
        health.unanswered = 0
        return False
