"""Claims one of the fleet's budgets on the counter, epoch by epoch (a driver of `mapleline.budgets`).

A member adds its demand in the epoch that has ended to the fleet's demand for the next epoch, reads that sum, and
claims its share of the budget.  A claim without an answer grants nothing.  Rules and bounds are in
docs/design/fleet.md.

Log events: `budget claimed`, `budget claim failed`, and `budget held` when a grant comes into use.  The field `until`
of `budget held` is the end of the lease on the log's clock; the checker of the fault rig sums these events.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..budgets import Budget, epoch_of
from ..telemetry import COUNTS, log
from .fleet_counter import count_lost_call

if TYPE_CHECKING:
    from twisted.python.failure import Failure

    from .fleet_member import FleetMember

EPOCHS_KEPT = 4  #: claims are forgotten after this many epochs
AMOUNT_DIGITS = 3  #: decimal places of amounts on the counter
CLAIM_AHEAD_SHARE = 0.5  #: the next epoch is claimed after this share of the current one
BASE_DEMAND = 1.0  #: units added to each demand, so that an idle member claims something
NS_PER_S = 1e9


@dataclass(frozen=True, slots=True)
class Claim:
    """A claim in flight.

    Attributes:
        epoch: The epoch that it is for.
        units: The units claimed.
        fleet_demand: The sum of the members' demands; None if it could not be read.
    """

    epoch: int
    units: float
    fleet_demand: float | None


@dataclass(frozen=True, slots=True)
class GrantedInterval:
    """The part of the budget that a claim was granted: [low, low + share) of the whole budget, [0, 1)."""

    low: float
    share: float


class BudgetClaims:
    """One member's claims of one budget, in proportion to its demand."""

    def __init__(self, member: FleetMember, budget_name: str, requested: Callable[[], float]) -> None:
        """Start with no claims.

        Args:
            member: This member; claims are made through its counter client.
            budget_name: The budget's name in the counter's keys and in the log.
            requested: Returns a running total of requested units; an epoch's demand is its increase in that epoch.
        """
        settings = member.settings
        self._member = member
        self._requested = requested
        self._budget = Budget(budget_name, settings.whole, settings.lease_s, settings.clock_margin_s)
        self._claimed_epochs: set[int] = set()
        self._reported_epochs: set[int] = set()
        self._granted: dict[int, GrantedInterval] = {}
        self._demand = 0.0
        self._demand_epoch = 0
        self._requested_at_epoch_start = requested()

    def update(self, now_s: float) -> None:
        """Make the claims that are due; called several times an epoch with the time on the member's own clock."""
        lease_s = self._budget.lease_s
        epoch = epoch_of(now_s, lease_s)
        if epoch != self._demand_epoch:
            self._send_demand(epoch)
        if epoch not in self._claimed_epochs:  # at the start, or if the epoch was not claimed ahead
            self._claim(epoch)
        is_time_for_next = now_s - epoch * lease_s >= lease_s * CLAIM_AHEAD_SHARE
        if is_time_for_next and epoch + 1 not in self._claimed_epochs:
            self._claim(epoch + 1)
        self._use_grant(now_s)

    def _send_demand(self, epoch: int) -> None:
        """Compute the demand in the epoch that has ended, and add it to the fleet's demand for the next."""
        requested = self._requested()
        self._demand = requested - self._requested_at_epoch_start + BASE_DEMAND
        self._demand_epoch = epoch
        self._requested_at_epoch_start = requested
        amount = round(self._demand, AMOUNT_DIGITS)
        self._member.counter.add(self._demand_key(epoch + 1), amount).addErrback(count_lost_call)

    def _demand_key(self, epoch: int) -> str:
        return f"dem.{self._member.settings.fleet}.{self._budget.name}.{epoch}"

    def _claim_key(self, epoch: int) -> str:
        return f"bud.{self._member.settings.fleet}.{self._budget.name}.{epoch}"

    def _claim(self, epoch: int) -> None:
        """Read the fleet's demand for an epoch, then claim this member's share of the budget."""
        self._claimed_epochs.add(epoch)
        self._claimed_epochs.discard(epoch - EPOCHS_KEPT)
        self._reported_epochs.discard(epoch - EPOCHS_KEPT)
        self._member.counter.add(self._demand_key(epoch), 0).addCallbacks(
            lambda fleet_demand: self._claim_share(epoch, fleet_demand),
            lambda failure: self._claim_share(epoch, None),
        )

    def _claim_share(self, epoch: int, fleet_demand: float | None) -> None:
        size = self._budget.claim_size(self._demand, fleet_demand, self._member.view.members)
        claim = Claim(epoch, round(size, AMOUNT_DIGITS), fleet_demand)
        self._member.counter.add(self._claim_key(epoch), claim.units).addCallbacks(
            lambda total: self._on_claimed(claim, total),
            lambda failure: self._on_claim_failed(claim, failure),
        )

    def _on_claimed(self, claim: Claim, total: float) -> None:
        budget = self._budget
        grant = budget.record_claim(claim.epoch, claim.units, total)
        self._granted[claim.epoch] = GrantedInterval(
            (total - claim.units) / budget.units_per_epoch, grant / budget.units_per_epoch
        )
        COUNTS["budget.claimed"] += 1
        log(
            "budget claimed",
            budget=budget.name,
            epoch=claim.epoch,
            want=claim.units,
            part=grant,
            total=total,
            demand=self._demand,
            demands=claim.fleet_demand,
        )
        self._use_grant(self._member.now())

    def _on_claim_failed(self, claim: Claim, failure: Failure) -> None:
        COUNTS["budget.claim_failed"] += 1
        log("budget claim failed", budget=self._budget.name, epoch=claim.epoch, why=failure.getErrorMessage())

    def _use_grant(self, now_s: float) -> None:
        """Use the current epoch's grant once its lease has begun, and log that."""
        budget = self._budget
        epoch = epoch_of(now_s, budget.lease_s)
        grant = budget.usable(now_s)
        if grant <= 0 or epoch in self._reported_epochs:
            return
        self._reported_epochs.add(epoch)
        lease_end_s = self._hold_interval(epoch, now_s)
        log(
            "budget held",
            budget=budget.name,
            whole=budget.units_per_epoch,
            part=grant,
            epoch=epoch,
            until=time.time() + (lease_end_s - now_s),
        )

    def _hold_interval(self, epoch: int, now_s: float) -> float:
        """Set the epoch's interval in the shares; return the lease's end in seconds of the member's own clock."""
        start_s, end_s = self._budget.lease_window(epoch)
        interval = self._granted.pop(epoch)
        self._granted = {known: granted for known, granted in self._granted.items() if known > epoch}
        offset_s = time.time() - now_s  # to the decision module's clock, which has no `clock_offset_s`
        since_ns = int((start_s + offset_s) * NS_PER_S)
        until_ns = int((end_s + offset_s) * NS_PER_S)
        self._member.shares.hold(interval.low, interval.low + interval.share, since_ns, until_ns, self._budget.name)
        return end_s
