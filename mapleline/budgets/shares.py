"""What one member may use now of each fleet-wide budget (pure): intervals of [0, 1), as shares of the budgets.

The fleet's claims give every member an interval of [floor, 1) for an epoch, under a lease; [0, floor) is cut into even
pieces over the roster, held for good.  Intervals never overlap, so neither do the shares:

- of a rate: at most share x rate x (time since the interval was held), nothing saved up from one epoch to the next;
- of a number of slots: those whose points on the line lie inside the member's intervals.

`take` and `slots` are asked with the time, and read the lease's end before anything else: a member that was stalled
finds its interval gone.  Times are integer nanoseconds of the decision module's clock.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

#: Budgets with a claim of their own: the members that need them are not those with the most requests.
CLAIMED_APART = ("spill",)
#: The claim that divides all other budgets.
FLEET_CLAIM = "fleet"
#: Budgets that exist once for each server, keyed by the server's number.
PER_SERVER = ("cold",)
#: The golden ratio less one: offsets of consecutive servers lie well spread over [0, 1).
GOLDEN_SECTION = 0.6180339887498949
NANOSECONDS = 1e9


@dataclass(frozen=True, slots=True)
class LeasedInterval:
    """An interval [low, high) of a claim, usable from `since_ns` until `until_ns`."""

    low: float
    high: float
    since_ns: int
    until_ns: int


NO_INTERVAL = LeasedInterval(0.0, 0.0, 0, 0)


@dataclass(slots=True)
class Spending:
    """Units of one budget taken in an epoch, and the fleet's units in that epoch."""

    units: float = 0.0
    whole: float = 0.0


@dataclass(frozen=True, slots=True)
class EndedEpoch:
    """What an epoch that is over took of each budget."""

    epoch: int
    spent: dict[str, Spending]


@dataclass(slots=True)
class BudgetShares:
    """This member's shares of the fleet's budgets.

    Attributes:
        own_index: this member's place in the roster.
        members: the size of the roster.
        lease_ns: the length of an epoch.
        floor: the part of each budget that is divided evenly, without claims.
        rates: units a second over the fleet, by budget; 0 or absent: not divided.
        limit: attempts in flight at one server over the fleet; 0: not divided.
        server_ids: the number by which all members know a server, by its number here.
        intervals: the interval held of each claim.
        requested: units asked for, by budget, since the start.
        epoch: the epoch that the ledgers below belong to.
        claimed: units spent of the claimed interval, by budget and key.
        floored: units spent of the floor, likewise.
        spent: what this epoch took, by budget.
        ended: epochs that are over and were not reported yet.
    """

    own_index: int
    members: int
    lease_ns: int
    floor: float
    rates: dict[str, float]
    limit: int = 0
    server_ids: dict[int, int] = field(default_factory=dict)
    intervals: dict[str, LeasedInterval] = field(default_factory=dict)
    requested: dict[str, int] = field(default_factory=dict)
    epoch: int = -1
    claimed: dict[tuple[str, int], float] = field(default_factory=dict)
    floored: dict[tuple[str, int], float] = field(default_factory=dict)
    spent: dict[str, Spending] = field(default_factory=dict)
    ended: list[EndedEpoch] = field(default_factory=list)

    def hold(self, low: float, high: float, since_ns: int, until_ns: int, claim: str = FLEET_CLAIM) -> None:
        """Hold the interval [low, high) of a claim under its lease; the one held before is dropped."""
        scale = 1.0 - self.floor
        self.intervals[claim] = LeasedInterval(self.floor + low * scale, self.floor + high * scale, since_ns, until_ns)
        self.claimed = {ledger: units for ledger, units in self.claimed.items() if self._claim_of(ledger[0]) != claim}

    @staticmethod
    def _claim_of(budget: str) -> str:
        """Return the claim that divides a budget: its own, or the one in proportion to all requests."""
        return budget if budget in CLAIMED_APART else FLEET_CLAIM

    def take(self, budget: str, now_ns: int, key: int = 0, size: float = 1.0, part: float = 1.0) -> bool:
        """Take one unit of a budget, if this member's share allows it now.

        Args:
            budget: the budget's name.
            now_ns: the time.
            key: the server or zone, where the budget exists once for each.
            size: a factor on the budget's rate.
            part: below 1, leaves the rest of the share to what is worth more.

        Returns:
            Whether the unit was taken; always True for a budget that is not divided.
        """
        rate = self.rates.get(budget, 0.0) * size
        if rate <= 0:
            return budget not in self.rates or self.rates[budget] <= 0
        self.start_epoch(now_ns)
        self.requested[budget] = self.requested.get(budget, 0) + 1
        ledger = budget, key
        whole = rate * self.lease_ns / NANOSECONDS
        rate_per_ns = rate * part / NANOSECONDS
        floor = self._floor_credit(ledger, rate_per_ns, now_ns)
        claim = self._claim_credit(ledger, rate_per_ns, now_ns)
        if claim + floor < 1:
            return False
        # A unit may be made up of both: neither ledger passes what it allows, and less is lost to fractions.
        self.claimed[ledger] = self.claimed.get(ledger, 0.0) + claim
        self.floored[ledger] = self.floored.get(ledger, 0.0) + 1 - claim
        spending = self.spent.setdefault(self._label(budget, key), Spending())
        spending.units += 1
        spending.whole = max(spending.whole, whole)
        return True

    def _floor_credit(self, ledger: tuple[str, int], rate_per_ns: float, now_ns: int) -> float:
        """Return the units of the even part that are left since the epoch began."""
        since_ns = self.epoch * self.lease_ns
        return self.floor / self.members * rate_per_ns * (now_ns - since_ns) - self.floored.get(ledger, 0.0)

    def _claim_credit(self, ledger: tuple[str, int], rate_per_ns: float, now_ns: int) -> float:
        """Return the units of the claimed interval that are left, between 0 and 1; 0 outside its lease."""
        interval = self.intervals.get(self._claim_of(ledger[0]), NO_INTERVAL)
        if not interval.since_ns <= now_ns < interval.until_ns:
            return 0.0
        earned = (interval.high - interval.low) * rate_per_ns * (now_ns - interval.since_ns)
        return min(1.0, max(0.0, earned - self.claimed.get(ledger, 0.0)))

    def _label(self, budget: str, key: int) -> str:
        """Return the name under which a budget's spending is reported."""
        if not key:
            return budget
        return f"{budget}:{self.server_ids.get(key, key) if budget in PER_SERVER else key}"

    def start_epoch(self, now_ns: int) -> None:
        """Begin the epoch that holds `now_ns`, unless it began: nothing is spent in it and nothing saved."""
        epoch = now_ns // self.lease_ns
        if epoch == self.epoch:
            return
        if self.spent:
            self.ended.append(EndedEpoch(self.epoch, self.spent))
        self.epoch = epoch
        self.spent = {}
        self.floored.clear()

    def slots(self, server: int, now_ns: int) -> int:
        """Return how many attempts this member may have in flight at a server."""
        offset = (self.server_ids.get(server, server) * GOLDEN_SECTION) % 1.0
        step = 1 / self.members
        intervals = [(self.floor * self.own_index * step, self.floor * (self.own_index + 1) * step)]
        leased = self.intervals.get(FLEET_CLAIM, NO_INTERVAL)
        if leased.since_ns <= now_ns < leased.until_ns:
            intervals.append((leased.low, leased.high))
        return sum(
            math.ceil(high * self.limit - offset) - math.ceil(low * self.limit - offset) for low, high in intervals
        )
