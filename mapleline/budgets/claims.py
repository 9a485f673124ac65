"""One budget as one member holds it: claims per epoch, what they are granted, and when a grant may be used (pure).

The counter adds every claim of epoch e to one number, in one order.  A claim of `want` units whose answer is the
total `t` was preceded by `t - want`: it is granted what is left of the budget, at most `want`.  Grants are so many
prefixes of one sum, and never add up to more than the budget, whatever each member believes.

A grant of epoch e is used while the member's own clock reads within [e*T + m, (e+1)*T - m], for a lease of T and a
clock margin of m seconds: two members whose clocks differ by less than m never use grants of two epochs at one instant.
The epoch number is the fencing token: a member that wakes from a stall reads its clock first, and a grant whose epoch
has ended allows nothing.  Bounds: docs/design/fleet.md.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

EPOCHS_KEPT = 2  #: grants of epochs before these are forgotten


def epoch_of(now_s: float, lease_s: float) -> int:
    """Return the epoch that holds `now_s`, in seconds of a member's own clock."""
    return math.floor(now_s / lease_s)


def granted(want: float, total: float, whole: float) -> float:
    """Return what a claim of `want` units is granted of `whole` when the counter's total after it is `total`."""
    return min(want, max(0.0, whole - (total - want)))


@dataclass(slots=True)
class Budget:
    """One fleet-wide budget.

    Attributes:
        name: the budget's name in the counter's keys and in the log.
        whole: units an epoch for the whole fleet.
        lease_s: the length of an epoch, in seconds.
        clock_margin_s: what is kept clear at both ends of an epoch, in seconds; half the largest clock error.
        grants: units granted to this member, by epoch.
    """

    name: str
    whole: float
    lease_s: float
    clock_margin_s: float
    grants: dict[int, float] = field(default_factory=dict)

    def claim_size(self, demand: float, total_demand: float | None, members: int) -> float:
        """Return the units to claim: the budget in proportion to this member's demand among the fleet's.

        Every member adds its demand to one number first and reads the sum back, so that the claims add up to the
        budget and their order does not decide who gets what.  Without that sum (its call was lost, or no member had
        demand): an even share of all `members` that may exist, so that a claim whose answer is lost wastes no more.
        """
        if total_demand is None or total_demand <= 0 or demand <= 0:
            return self.whole / max(1, members)
        return self.whole * min(1.0, demand / total_demand)

    def record_claim(self, epoch: int, want: float, total: float) -> float:
        """Record the counter's total after a claim of `want` units for `epoch`, and return the units granted."""
        grant = granted(want, total, self.whole)
        self.grants[epoch] = self.grants.get(epoch, 0.0) + grant
        for old in [known for known in self.grants if known < epoch - EPOCHS_KEPT]:
            del self.grants[old]
        return grant

    def lease_window(self, epoch: int) -> tuple[float, float]:
        """Return from when and until when a grant of `epoch` may be used, in seconds of the member's own clock."""
        start = epoch * self.lease_s + self.clock_margin_s
        end = (epoch + 1) * self.lease_s - self.clock_margin_s
        return start, end

    def usable(self, now_s: float) -> float:
        """Return the units that may be used now: the current epoch's grant, inside its lease."""
        epoch = epoch_of(now_s, self.lease_s)
        start, end = self.lease_window(epoch)
        return self.grants.get(epoch, 0.0) if start <= now_s < end else 0.0
