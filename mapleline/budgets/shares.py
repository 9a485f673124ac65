"""One member's current shares of the fleet-wide budgets (pure).  Each budget is the interval [0, 1).

The fleet's claims give every member an interval of [floor, 1) for an epoch, under a lease; [0, floor) is divided evenly
over the roster and needs no lease.  Intervals never overlap, so neither do the shares:

- of a rate: at most share x rate x (time since the interval was held), without carry-over to the next epoch;
- of a number of slots: the slots whose points in [0, 1) lie inside the member's intervals.

`take` and `slots` get the time and check the lease first: a member that was stalled past its end has no interval.
Times are integer nanoseconds of the decision module's clock.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

#: Budgets with a claim of their own, since the members that need them are not those with the most requests.
SEPARATELY_CLAIMED = ("spill",)
#: The claim that divides all other budgets, in proportion to requests.
FLEET_CLAIM = "fleet"
#: Budgets that each server has separately, keyed by the server's number.
PER_SERVER = ("cold",)
#: The golden ratio less one; its multiples modulo 1 spread the offsets of consecutive servers over [0, 1).
GOLDEN_SECTION = 0.6180339887498949
NS_PER_S = 1e9


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
    """The units of one budget that this member took in an epoch, and the fleet's units in that epoch."""

    units: float = 0.0
    fleet_units: float = 0.0


@dataclass(frozen=True, slots=True)
class EndedEpoch:
    """The units taken of each budget in an epoch that has ended."""

    epoch: int
    spent: dict[str, Spending]


@dataclass(slots=True)
class BudgetShares:
    """This member's shares of the fleet's budgets.

    Attributes:
        own_index: This member's place in the roster, from 0.
        members: The size of the roster.
        lease_ns: The length of an epoch.
        floor: The share of each budget that is divided evenly without claims, 0 to 1.
        rates: The units per second over the fleet, by budget; a budget that is 0 or absent is not divided.
        limit: The attempts in flight at one server over the fleet; not divided at 0.
        server_ids: The number of a server that all members share, by its number at this member.
        intervals: The interval held of each claim.
        requested: The units requested since the start, by budget.
        epoch: The epoch that the fields below belong to.
        claim_spent: The units spent of the claimed interval, by budget and key.
        floor_spent: The units spent of the floor, by budget and key.
        spent: The units taken in this epoch, by budget.
        ended: The epochs that have ended and are not reported yet.
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
    claim_spent: dict[tuple[str, int], float] = field(default_factory=dict)
    floor_spent: dict[tuple[str, int], float] = field(default_factory=dict)
    spent: dict[str, Spending] = field(default_factory=dict)
    ended: list[EndedEpoch] = field(default_factory=list)

    def hold(self, low: float, high: float, since_ns: int, until_ns: int, claim: str = FLEET_CLAIM) -> None:
        """Hold the interval [low, high) of a claim under its lease, in place of the previous one."""
        scale = 1.0 - self.floor
        self.intervals[claim] = LeasedInterval(self.floor + low * scale, self.floor + high * scale, since_ns, until_ns)
        self.claim_spent = {
            ledger: units for ledger, units in self.claim_spent.items() if self._claim_of(ledger[0]) != claim
        }

    @staticmethod
    def _claim_of(budget: str) -> str:
        """Return the claim that divides a budget: its own claim, or the one in proportion to all requests."""
        return budget if budget in SEPARATELY_CLAIMED else FLEET_CLAIM

    def take(self, budget: str, now_ns: int, key: int = 0, rate_factor: float = 1.0, share: float = 1.0) -> bool:
        """Take one unit of a budget, if this member's share allows it now.

        Args:
            budget: The budget's name.
            now_ns: The time.
            key: The number of the server or zone, for a budget that each of them has separately.
            rate_factor: Multiplies the budget's rate.
            share: The share of this member's rate that may be used; the rest is left to more valuable requests.

        Returns:
            Whether the unit was taken; always True for a budget that is not divided.
        """
        rate = self.rates.get(budget, 0.0) * rate_factor
        if rate <= 0:
            return budget not in self.rates or self.rates[budget] <= 0
        self.start_epoch(now_ns)
        self.requested[budget] = self.requested.get(budget, 0) + 1
        ledger = budget, key
        fleet_units = rate * self.lease_ns / NS_PER_S
        rate_per_ns = rate * share / NS_PER_S
        floor_credit = self._floor_credit(ledger, rate_per_ns, now_ns)
        claim_credit = self._claim_credit(ledger, rate_per_ns, now_ns)
        if claim_credit + floor_credit < 1:
            return False
        # A unit may be taken from both: neither exceeds its credit, and fewer fractions of units are lost.
        self.claim_spent[ledger] = self.claim_spent.get(ledger, 0.0) + claim_credit
        self.floor_spent[ledger] = self.floor_spent.get(ledger, 0.0) + 1 - claim_credit
        spending = self.spent.setdefault(self._label(budget, key), Spending())
        spending.units += 1
        spending.fleet_units = max(spending.fleet_units, fleet_units)
        return True

    def _floor_credit(self, ledger: tuple[str, int], rate_per_ns: float, now_ns: int) -> float:
        """Return the units of the floor that have accrued since the epoch began and are not spent."""
        since_ns = self.epoch * self.lease_ns
        return self.floor / self.members * rate_per_ns * (now_ns - since_ns) - self.floor_spent.get(ledger, 0.0)

    def _claim_credit(self, ledger: tuple[str, int], rate_per_ns: float, now_ns: int) -> float:
        """Return the accrued units of the claimed interval that are not spent, 0 to 1; 0 outside its lease."""
        interval = self.intervals.get(self._claim_of(ledger[0]), NO_INTERVAL)
        if not interval.since_ns <= now_ns < interval.until_ns:
            return 0.0
        earned = (interval.high - interval.low) * rate_per_ns * (now_ns - interval.since_ns)
        return min(1.0, max(0.0, earned - self.claim_spent.get(ledger, 0.0)))

    def _label(self, budget: str, key: int) -> str:
        """Return the name that a budget's spending is reported by."""
        if not key:
            return budget
        return f"{budget}:{self.server_ids.get(key, key) if budget in PER_SERVER else key}"

    def start_epoch(self, now_ns: int) -> None:
        """Begin the epoch at `now_ns`, unless it has begun: nothing is spent in it, and nothing is carried over."""
        epoch = now_ns // self.lease_ns
        if epoch == self.epoch:
            return
        if self.spent:
            self.ended.append(EndedEpoch(self.epoch, self.spent))
        self.epoch = epoch
        self.spent = {}
        self.floor_spent.clear()

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
