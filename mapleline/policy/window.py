"""The two-window estimate of a tenant's use, and what it says of a try.

The window is about one burst time long: the longest whose limit lets the whole rate through, in whole slots.  The
limit is what the quota's own window may hold, spread over the windows that can lie in it (one more than fit); a part
of the slack is left for what replicas do not see of each other.

Slots are the same for all tenants and limits: a limit says how counts are read, never how they are named.  Whatever the
windows were before, the quota's own window is checked as well.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from .estimate import weighted

SPARE = 0.6  # of overshoot and slack that are used: replicas far apart do not see each other's last increments
EVEN = 1.05  # of the rate goes on through full windows
SLOTS = 10  # that a quota's own window is divided into; the longest window of an estimate is half of it


def room_after(previous: float, left: float, current: float, limit: float) -> float:
    """After which share of the window the estimate is down at the limit; `left` if only its end helps."""
    if current > limit or previous <= 0:
        return left
    return min(left, max(0.0, (weighted(previous, left, current) - limit) / previous))


class WindowUsage(NamedTuple):
    """A tenant's units in the current window before a request, in the previous one, and the share of it left.

    `in_quota_window`: the units of the current slot and of as many before as a quota's own window has.
    """

    current: float
    previous: float
    remaining_share: float
    in_quota_window: float = 0.0


class Tenancy:
    """One tenant's limit, in windows (times in seconds).

    `window_slots`: the length of the window; `limit`: of units in one window; `quota_limit`: of those in any time as
    long as the quota's own window.
    """

    def __init__(
        self, name: str, rate: float, burst: float, quota_window: float, overshoot: float, slack: float
    ) -> None:
        self.name, self.limits = name, (rate, burst)
        self.quota_limit = (rate * quota_window + burst) * (1 + SPARE * overshoot) + SPARE * slack
        # a longer window bears more chance, and less of the rate
        longest = self.quota_limit / (EVEN * rate) - quota_window
        slot = quota_window / SLOTS
        self.window_slots = min(max(int(longest / slot), 1), SLOTS // 2)
        self.window = self.window_slots * slot
        self.limit = self.limit_of(self.window_slots)
        self.let_in = self.turned_away = 0.0  #: tries here, each window worth half of the one after it
        self._at = 0.0

    def limit_of(self, slots: int) -> float:
        """Units in one window of so many slots."""
        return self.quota_limit / (SLOTS / slots + 1)

    def judge(self, usage: WindowUsage, now: float) -> float | None:
        """As `over`, and remembers.  The wait counts those turned away before, who will come back as well: each
        window has room for so many of them.
        """
        fade = 0.5 ** ((now - self._at) / self.window)
        self.let_in, self.turned_away, self._at = self.let_in * fade, self.turned_away * fade, now
        wait = self.over(usage)
        if wait is None:
            self.let_in += 1
            return None
        wait += self.window * self.turned_away / max(1.0, self.let_in)
        self.turned_away += 1
        return wait

    def over(self, usage: WindowUsage) -> float | None:
        """None inside the limit; else seconds until there may be room."""
        before, previous, left, in_quota_window = usage
        previous = min(previous, self.limit)  # what lies beyond was refused, and not taken off yet
        if in_quota_window > self.quota_limit:
            return self.window * left
        if weighted(previous, left, before) <= self.limit:
            return None
        return self.window * room_after(previous, left, before, self.limit)


@dataclass(slots=True)
class Ask:
    """A consultation: `done` gets the usage, or None; it returns whether the request's units stay counted."""

    tenancy: Tenancy
    homes: list[str]
    done: Callable[[WindowUsage | None], bool]
