"""The fleet's view of its members (pure: told what the counter answered, with the time).

Each member adds 1 a period to the fleet's number `hb.<fleet>.<period>`, and the total, read again
at the period's end, says how many beat in that period.  Who beat is known of the members one watches (its
predecessor on the ring, for handoff): each adds 1 to `hb.<fleet>.<member>.<period>` as well.  A member is
alive while it beat in this period or the one before, suspect after one period missed, dead after two.  A
restart is a new incarnation: a beat of an older one counts for nothing.

Periods are numbered from Unix time (`period_of`), so that all members agree on them without a message.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field


def period_of(now_s: float, beat_s: float) -> int:
    """The number of the heartbeat period that holds `now_s` (Unix seconds)."""
    return math.floor(now_s / beat_s)


@dataclass(slots=True)
class View:
    """What one member knows; `members` is the roster of possible members, from the settings."""

    members: int
    me: int
    beat_s: float
    counts: dict[int, int] = field(default_factory=dict)  #: period -> members that beat in it
    beats: dict[int, tuple[int, int]] = field(default_factory=dict)  #: member -> (incarnation, last period)

    def counted(self, period: int, total: float) -> None:
        """The fleet's number for `period` read as `total`: at least that many beat in it."""
        self.counts[period] = max(self.counts.get(period, 0), int(total))
        for old in [p for p in self.counts if p < period - 4]:
            del self.counts[old]

    def beat(self, member: int, incarnation: int, period: int) -> None:
        """`member` beat in `period` as `incarnation`; an older incarnation's beat is ignored."""
        known = self.beats.get(member)
        if known is None or incarnation > known[0] or (incarnation == known[0] and period > known[1]):
            self.beats[member] = (incarnation, period)

    def alive(self, now_s: float) -> int:
        """Members alive now, at least 1 (this one): the larger count of the last two whole periods."""
        period = period_of(now_s, self.beat_s)
        return max(1, self.counts.get(period - 1, 0), self.counts.get(period, 0))

    def state(self, member: int, now_s: float) -> str:
        """`alive`, `suspect` or `dead`, of a member whose beats are watched."""
        if member == self.me:
            return "alive"
        known = self.beats.get(member)
        missed = period_of(now_s, self.beat_s) - known[1] if known else math.inf
        return "alive" if missed <= 1 else "suspect" if missed == 2 else "dead"

    def predecessor(self) -> int:
        """The member this one watches and takes over from: the one before it on the ring."""
        return (self.me - 1) % self.members
