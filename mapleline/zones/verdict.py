"""The fleet's verdict on each zone as one member holds it (pure: told attempts, counts and times).

A zone is failed to this member when nothing came back for `evidence_s` although `least_tries` attempts or
probes went there since the last answer.  The fleet leaves a zone when more than half of the members alive
said failed in one period, and returns once fewer did for a hold of whole periods running.  Bounds, and why:
docs/design/zones.md.  Times are integer nanoseconds of the decision module's clock.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..policy.interface import Result

SIGNS = frozenset({Result.OK, Result.ERROR, Result.REJECTED})  #: something came back
LONG_AGO = -(1 << 62)


@dataclass(slots=True)
class Zone:
    """One zone as this member knows it."""

    since: int = 0  #: when the first attempt went after the last answer; 0: none has
    tries: int = 0  #: attempts since the last answer
    answered: int = LONG_AGO
    probed: int = LONG_AGO
    suspected: bool = False  #: some member said failed in the last period heard of
    left: bool = False
    good: int = 0  #: periods running without a quorum, while left
    holds: int = 0  #: how often the hold is doubled
    turned: int = LONG_AGO  #: when it was last regained


class Zones:
    """`evidence_s`, `least_tries`, `hold_s`, `hold_most_s`, `flap_s`: settings; `beat_s`: a period."""

    def __init__(self, zones: int, told: object, beat_s: float) -> None:
        self.told, self.beat_s = told, beat_s
        self.zones = [Zone() for _ in range(zones)]

    def sent(self, zone: int, now: int) -> None:
        """An attempt or a probe goes to a server of `zone`."""
        at = self.zones[zone]
        at.since, at.tries = at.since or now, at.tries + 1

    def ended(self, zone: int, result: Result, now: int) -> None:
        """It ended; any answer is a sign of life."""
        if result in SIGNS:
            at = self.zones[zone]
            if not self._reached(now):  # this member was cut off: what was silent meanwhile may be well
                for other in self.zones:
                    other.since, other.tries = 0, 0
            at.since, at.tries, at.answered = 0, 0, now
        elif result is Result.MOOT and self.zones[zone].tries:
            self.zones[zone].tries -= 1  # it never went

    def _failed(self, at: Zone, now: int) -> bool:
        return bool(at.since) and at.tries >= self.told.least_tries and (now - at.since >= self.told.evidence_s * 1e9)

    def _reached(self, now: int) -> bool:
        """Whether any zone has answered lately: within half of the evidence."""
        return any(at.answered >= now - self.told.evidence_s * 5e8 for at in self.zones)

    def failing(self, now: int) -> list[int]:
        """The zones failed to this member; none unless another has answered lately: else this one is the
        one cut off."""
        if not self._reached(now):
            return []
        return [n for n, at in enumerate(self.zones) if self._failed(at, now)]

    def probes(self, now: int) -> list[int]:
        """The zones to probe now, asked four times a period: those that answered nothing for a quarter of one
        though asked (the module soon asks little of servers that fail), those that others suspect and that
        said nothing here, and, once a period, those left.  In doubt the others too, where their last answer
        is not new: one that answers shows that this member is not the one cut off."""
        beat, evidence = int(self.beat_s * 1e9), int(self.told.evidence_s * 1e9)
        doubted = [
            at
            for at in self.zones
            if not at.left and (0 < at.since <= now - beat // 4 or (at.suspected and at.answered < now - evidence))
        ]
        out = []
        for n, at in enumerate(self.zones):
            stale = doubted and at.answered < now - evidence // 4
            if at in doubted or (now - at.probed >= beat if at.left else stale):
                at.probed = now
                out.append(n)
        return out

    def hold_s(self, at: Zone) -> float:
        """How long the zone is to be up before the fleet returns."""
        return min(self.told.hold_most_s, self.told.hold_s * 2**at.holds)

    def heard(self, zone: int, count: int, alive: int, now: int) -> bool | None:
        """The number of a whole period: `count` of `alive` members said failed.  True: the fleet has left;
        False: it is back; None: as before."""
        at = self.zones[zone]
        quorum = count > alive / 2
        at.suspected = count > 0
        if not at.left:
            if not quorum or sum(not z.left for z in self.zones) == 1:
                return None
            away_s = (now - at.turned) / 1e9
            calm = int(min(64, away_s / self.told.flap_s))  # spells without a flap, each halves the hold
            doubled = at.holds + (self.hold_s(at) < self.told.hold_most_s)
            at.holds = doubled if calm == 0 else max(0, at.holds - calm)
            at.left, at.good = True, 0
            return True
        at.good = 0 if quorum else at.good + 1
        if at.good * self.beat_s < self.hold_s(at):
            return None
        at.left, at.turned, at.since, at.tries = False, now, 0, 0
        return False
