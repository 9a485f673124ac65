"""One member's claims of one budget: the grants for each epoch, and when a grant may be used (pure).

The counter adds all claims of epoch e to one number, one after another.  If the total after a claim of `u` units is
`t`, the claims before it add up to `t - u`: it is granted what is left of the budget, at most `u`.  So the grants never
add up to more than the budget, even if members disagree about the fleet.

A grant of epoch e is used while the member's own clock reads within [e*T + m, (e+1)*T - m], for a lease of T and a
clock margin of m seconds: two members whose clocks differ by less than m never use grants of two epochs at one instant.
The epoch number is the fencing token: a member that resumes after a stall reads its clock first, and a grant whose
epoch has ended allows nothing.  The bounds are in docs/design/fleet.md.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

EPOCHS_KEPT = 2  #: grants of older epochs are forgotten


def epoch_of(now_s: float, lease_s: float) -> int:
    """Return the number of the epoch at `now_s`, in seconds of a member's own clock."""
    return math.floor(now_s / lease_s)


def granted(claimed: float, total: float, units_per_epoch: float) -> float:
    """Return the units granted to a claim of `claimed` units if the counter's total after it is `total`."""
    return min(claimed, max(0.0, units_per_epoch - (total - claimed)))


@dataclass(slots=True)
class Budget:
    """One fleet-wide budget.

    Attributes:
        name: The budget's name in the counter's keys and in the log.
        units_per_epoch: The units of an epoch for the whole fleet.
        lease_s: The length of an epoch, in seconds.
        clock_margin_s: The time at both ends of an epoch in which its grant is not used, in seconds; half of the
            largest clock error.
        grants: The units granted to this member, by epoch.
    """

    name: str
    units_per_epoch: float
    lease_s: float
    clock_margin_s: float
    grants: dict[int, float] = field(default_factory=dict)

    def claim_size(self, demand: float, total_demand: float | None, members: int) -> float:
        """Return the units to claim: the part of the budget that matches this member's part of the fleet's demand.

        Every member first adds its demand to one number and reads the sum, so that the claims add up to the budget and
        the grants do not depend on their order.  Without a sum (its call was lost, or no member had demand), the claim
        is an even share for all `members` that may exist, so that a claim whose answer is lost wastes no more.
        """
        if total_demand is None or total_demand <= 0 or demand <= 0:
            return self.units_per_epoch / max(1, members)
        return self.units_per_epoch * min(1.0, demand / total_demand)

    def record_claim(self, epoch: int, claimed: float, total: float) -> float:
        """Record the counter's total after a claim of `claimed` units for `epoch`, and return the units granted."""
        grant = granted(claimed, total, self.units_per_epoch)
        self.grants[epoch] = self.grants.get(epoch, 0.0) + grant
        for old in [known for known in self.grants if known < epoch - EPOCHS_KEPT]:
            del self.grants[old]
        return grant

    def lease_window(self, epoch: int) -> tuple[float, float]:
        """Return the start and end of the use of a grant of `epoch`, in seconds of the member's own clock."""
        start = epoch * self.lease_s + self.clock_margin_s
        end = (epoch + 1) * self.lease_s - self.clock_margin_s
        return start, end

    def usable(self, now_s: float) -> float:
        """Return the units that may be used now: the current epoch's grant while its lease holds, else 0."""
        epoch = epoch_of(now_s, self.lease_s)
        start, end = self.lease_window(epoch)
        return self.grants.get(epoch, 0.0) if start <= now_s < end else 0.0
