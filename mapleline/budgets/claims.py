"""One budget as one member holds it: claims per epoch, what the counter's answers grant, what may be used.

The counter adds every claim of epoch e to one number, in one order.  A claim of `want` whose answer is the
total `t` was preceded by t - want: it is granted what is left of the whole, at most `want`.  Grants are so
many prefixes of one sum, and never add up to more than the whole, whatever each member believes.

A part of epoch e is used while the member's own clock reads within [e*T + m, (e+1)*T - m]: two members whose
clocks differ by less than m never use parts of two epochs at one instant.  The epoch number is the fence: a
member that wakes from a stall reads its clock first, and a part whose epoch has ended grants nothing.
See docs/design/fleet.md for the bounds.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field


def epoch_of(now_s: float, lease_s: float) -> int:
    """The epoch that holds `now_s`, seconds of a member's own clock."""
    return math.floor(now_s / lease_s)


def granted(want: float, total: float, whole: float) -> float:
    """What a claim of `want` is granted when the counter's total after it is `total`."""
    return min(want, max(0.0, whole - (total - want)))


@dataclass(slots=True)
class Budget:
    """`whole` units an epoch for the fleet; `lease_s` an epoch's length; `margin_s` half the clock error."""

    name: str
    whole: float
    lease_s: float
    margin_s: float
    parts: dict[int, float] = field(default_factory=dict)  #: epoch -> part granted

    def want(self, demand: float, demands: float | None, members: int) -> float:
        """What to claim: the whole in proportion to this member's demand among the fleet's `demands`.

        Every member adds its demand to one number first and reads the sum back, so that the wants add up to
        the whole and the order of the claims does not decide who gets what.  Without that sum (its call was
        lost, or no member had demand): an even share of all `members` that may be, so that a claim whose
        answer is lost wastes no more than that.
        """
        if demands is None or demands <= 0 or demand <= 0:
            return self.whole / max(1, members)
        return self.whole * min(1.0, demand / demands)

    def answered(self, epoch: int, want: float, total: float) -> float:
        """The counter's total after a claim of `want` for `epoch`; returns the part granted."""
        part = granted(want, total, self.whole)
        self.parts[epoch] = self.parts.get(epoch, 0.0) + part
        for old in [e for e in self.parts if e < epoch - 2]:
            del self.parts[old]
        return part

    def window(self, epoch: int) -> tuple[float, float]:
        """When a part of `epoch` may be used, on the member's own clock."""
        return epoch * self.lease_s + self.margin_s, (epoch + 1) * self.lease_s - self.margin_s

    def usable(self, now_s: float) -> float:
        """What may be granted now, on the member's own clock: the current epoch's part, inside its window."""
        epoch = epoch_of(now_s, self.lease_s)
        start, end = self.window(epoch)
        return self.parts.get(epoch, 0.0) if start <= now_s < end else 0.0
