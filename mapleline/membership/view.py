"""One member's view of the fleet, from the answers of the shared counter (pure; the time is an argument).

Each member adds 1 to the fleet's number `hb.<fleet>.<period>` in each heartbeat period.  The total, read again at the
period's end, is the number of members that sent a heartbeat in that period.  Each member also adds to its own number
`hb.<fleet>.<member>.<period>`, so that a member can check single others (its predecessor on the ring, for handoff).  A
restart is a new incarnation: heartbeats of an older one are ignored.

Periods are numbered from Unix time (`period_of`), so that all members agree on them without a message.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import StrEnum

PERIODS_KEPT = 4  #: totals of older periods are forgotten


def period_of(now_s: float, heartbeat_s: float) -> int:
    """Return the number of the heartbeat period at `now_s` (Unix seconds)."""
    return math.floor(now_s / heartbeat_s)


class MemberState(StrEnum):
    """The state of a watched member by its heartbeats: suspect after one missed period, dead after two in a row."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"


@dataclass(frozen=True, slots=True, order=True)
class LastHeartbeat:
    """The newest heartbeat of a member; a higher incarnation is newer regardless of the period."""

    incarnation: int
    period: int


@dataclass(slots=True)
class MembershipView:
    """One member's knowledge of the others.

    Attributes:
        members: The size of the roster of possible members, from the settings.
        own_index: This member's place in the roster, from 0.
        heartbeat_s: The length of a heartbeat period, in seconds.
        counts: How many members sent a heartbeat, by period.
        last_heartbeats: The newest heartbeat of each watched member.
    """

    members: int
    own_index: int
    heartbeat_s: float
    counts: dict[int, int] = field(default_factory=dict)
    last_heartbeats: dict[int, LastHeartbeat] = field(default_factory=dict)

    def record_count(self, period: int, total: float) -> None:
        """Record a reading of the fleet's number for `period`: at least `total` members sent a heartbeat."""
        self.counts[period] = max(self.counts.get(period, 0), int(total))
        for old in [known for known in self.counts if known < period - PERIODS_KEPT]:
            del self.counts[old]

    def record_heartbeat(self, member: int, incarnation: int, period: int) -> None:
        """Record a heartbeat of a watched member, unless it is older than the newest known one."""
        heartbeat = LastHeartbeat(incarnation, period)
        known = self.last_heartbeats.get(member)
        if known is None or heartbeat > known:
            self.last_heartbeats[member] = heartbeat

    def alive_count(self, now_s: float) -> int:
        """Return the number of members alive, at least 1 (this one): the larger count of the last two periods."""
        period = period_of(now_s, self.heartbeat_s)
        return max(1, self.counts.get(period - 1, 0), self.counts.get(period, 0))

    def state_of(self, member: int, now_s: float) -> MemberState:
        """Return the state of a member whose heartbeats are watched."""
        if member == self.own_index:
            return MemberState.ALIVE
        known = self.last_heartbeats.get(member)
        if known is None:
            return MemberState.DEAD
        periods_missed = period_of(now_s, self.heartbeat_s) - known.period
        if periods_missed <= 1:
            return MemberState.ALIVE
        return MemberState.SUSPECT if periods_missed == 2 else MemberState.DEAD

    def predecessor(self) -> int:
        """Return the member that this one watches and takes over from: the one before it on the ring."""
        return (self.own_index - 1) % self.members
