"""Ejection of failed zones, as one member holds it (pure: told attempts, counts and times).

A zone is failed to this member when nothing came back for `evidence_s` although `least_tries` attempts or probes went
there since the last answer.  The fleet ejects a zone when more than half of the members alive reported it failed in one
period, and readmits it once fewer did for a hold of whole periods in a row.  Bounds and their reasons:
docs/design/zones.md.  Times are integer nanoseconds of the decision module's clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from ..policy.interface import Result

#: Results that show that something came back from a zone.
ANSWERED = frozenset({Result.OK, Result.ERROR, Result.REJECTED})
NEVER = -(1 << 62)
NANOSECONDS = 1e9
MOST_CALM_SPELLS = 64  #: spells without a flap that count: each halves the hold


class ZoneEjectionSettings(Protocol):
    """The settings of ejection (`settings.own.Zones`); durations in seconds."""

    @property
    def evidence_s(self) -> float:
        """Without an answer, until a zone is failed to a member."""

    @property
    def least_tries(self) -> int:
        """Attempts and probes without an answer that it takes."""

    @property
    def hold_s(self) -> float:
        """For which a zone has to be up before it is readmitted."""

    @property
    def hold_most_s(self) -> float:
        """To which the hold doubles with each flap."""

    @property
    def flap_s(self) -> float:
        """A spell without a flap."""


@dataclass(slots=True)
class ZoneHealth:
    """One zone as this member knows it.

    Attributes:
        unanswered_since: when the first attempt went after the last answer; 0: none has.
        unanswered: attempts since the last answer.
        answered_at: when the last answer came.
        probed_at: when it was last probed.
        is_suspected: some member reported it failed in the last period that was read.
        is_ejected: the fleet sends nothing there.
        good_periods: periods in a row without a quorum against it, while ejected.
        hold_doublings: how often the hold is doubled.
        readmitted_at: when it was last readmitted.
    """

    unanswered_since: int = 0
    unanswered: int = 0
    answered_at: int = NEVER
    probed_at: int = NEVER
    is_suspected: bool = False
    is_ejected: bool = False
    good_periods: int = 0
    hold_doublings: int = 0
    readmitted_at: int = NEVER


class ZoneEjection:
    """The health of all zones, and the fleet's decisions on them."""

    def __init__(self, zones: int, settings: ZoneEjectionSettings, period_s: float) -> None:
        """Start with `zones` healthy zones; `period_s` is the length of a heartbeat period."""
        self.settings = settings
        self.period_s = period_s
        self.zones = [ZoneHealth() for _ in range(zones)]

    # -- evidence ----------------------------------------------------------------------------------------------

    def sent(self, zone: int, now: int) -> None:
        """Record that an attempt or a probe goes to a server of a zone."""
        health = self.zones[zone]
        health.unanswered_since = health.unanswered_since or now
        health.unanswered += 1

    def ended(self, zone: int, result: Result, now: int) -> None:
        """Record how it ended; any answer is a sign of life."""
        health = self.zones[zone]
        if result in ANSWERED:
            if not self._has_answer_lately(now):
                self._forget_unanswered()
            health.unanswered_since = 0
            health.unanswered = 0
            health.answered_at = now
        elif result is Result.MOOT and health.unanswered:
            health.unanswered -= 1  # it was never sent

    def _forget_unanswered(self) -> None:
        """Drop the evidence on all zones: this member was cut off itself, and zones it did not reach may be well."""
        for health in self.zones:
            health.unanswered_since = 0
            health.unanswered = 0

    def _is_failed(self, health: ZoneHealth, now: int) -> bool:
        if not health.unanswered_since or health.unanswered < self.settings.least_tries:
            return False
        return now - health.unanswered_since >= self.settings.evidence_s * NANOSECONDS

    def _has_answer_lately(self, now: int) -> bool:
        """Return whether any zone has answered within half of the evidence's time."""
        half_ns = self.settings.evidence_s * NANOSECONDS / 2
        return any(health.answered_at >= now - half_ns for health in self.zones)

    def failing(self, now: int) -> list[int]:
        """Return the zones failed to this member; none unless another answered lately: else this one is cut off."""
        if not self._has_answer_lately(now):
            return []
        return [zone for zone, health in enumerate(self.zones) if self._is_failed(health, now)]

    # -- probes ------------------------------------------------------------------------------------------------

    def probes(self, now: int) -> list[int]:
        """Return the zones to probe now; asked four times a period.

        These are the doubted zones (see `_is_doubted`) and, once a period, those ejected.  While there is a doubt, also
        the others whose last answer is not new: one that answers shows that this member is not the one cut off.
        """
        period_ns = int(self.period_s * NANOSECONDS)
        evidence_ns = int(self.settings.evidence_s * NANOSECONDS)
        doubted = [health for health in self.zones if self._is_doubted(health, now, period_ns, evidence_ns)]
        due = []
        for zone, health in enumerate(self.zones):
            is_stale = bool(doubted) and health.answered_at < now - evidence_ns // 4
            is_due = now - health.probed_at >= period_ns if health.is_ejected else is_stale
            if health in doubted or is_due:
                health.probed_at = now
                due.append(zone)
        return due

    @staticmethod
    def _is_doubted(health: ZoneHealth, now: int, period_ns: int, evidence_ns: int) -> bool:
        """Return whether a zone has answered nothing for a quarter of a period, or others suspect it.

        The module soon asks little of servers that fail, so that the evidence has to come from probes.
        """
        if health.is_ejected:
            return False
        is_silent = 0 < health.unanswered_since <= now - period_ns // 4
        return is_silent or (health.is_suspected and health.answered_at < now - evidence_ns)

    # -- the fleet's decision ----------------------------------------------------------------------------------

    def hold_s(self, health: ZoneHealth) -> float:
        """Return for how many seconds a zone has to be up before the fleet readmits it."""
        return min(self.settings.hold_most_s, self.settings.hold_s * 2.0**health.hold_doublings)

    def count_reports(self, zone: int, reports: int, alive: int, now: int) -> bool | None:
        """Take the number of a whole period: `reports` of `alive` members reported the zone failed.

        Returns:
            True where the fleet ejects the zone now, False where it readmits it, None where nothing changes.
        """
        health = self.zones[zone]
        has_quorum = reports > alive / 2
        health.is_suspected = reports > 0
        if health.is_ejected:
            return self._readmit(health, has_quorum, now)
        if not has_quorum or sum(not other.is_ejected for other in self.zones) == 1:
            return None
        self._eject(health, now)
        return True

    def _eject(self, health: ZoneHealth, now: int) -> None:
        """Eject a zone; the hold doubles if it flaps, and each calm spell since its return halves it."""
        calm_s = (now - health.readmitted_at) / NANOSECONDS
        calm_spells = int(min(MOST_CALM_SPELLS, calm_s / self.settings.flap_s))
        if calm_spells == 0:
            health.hold_doublings += self.hold_s(health) < self.settings.hold_most_s
        else:
            health.hold_doublings = max(0, health.hold_doublings - calm_spells)
        health.is_ejected = True
        health.good_periods = 0

    def _readmit(self, health: ZoneHealth, has_quorum: bool, now: int) -> bool | None:
        """Readmit an ejected zone once its hold has passed without a quorum against it."""
        health.good_periods = 0 if has_quorum else health.good_periods + 1
        if health.good_periods * self.period_s < self.hold_s(health):
            return None
        health.is_ejected = False
        health.readmitted_at = now
        health.unanswered_since = 0
        health.unanswered = 0
        return False
