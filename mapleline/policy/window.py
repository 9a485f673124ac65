"""The two-window estimate of a tenant's use, and what it says of a request.

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

#: Of overshoot and slack that are used: replicas far apart do not see each other's last increments.
USED_SPARE_SHARE = 0.6

#: Of the rate goes on through full windows.
MIN_RATE_FACTOR = 1.05

#: That a quota's own window is divided into; the longest window of an estimate is half of it.
SLOTS = 10


class WindowUsage(NamedTuple):
    """A tenant's units in the current window before a request, in the previous one, and the share of it left.

    `in_quota_window`: the units of the current slot and of as many before as a quota's own window has.
    """

    current: float
    previous: float
    remaining_share: float
    in_quota_window: float = 0.0

    @property
    def estimate(self) -> float:
        """The units of a sliding window: the previous one counts by the share of the current one that is left."""
        return weighted(self.previous, self.remaining_share, self.current)


def room_after(usage: WindowUsage, limit: float) -> float:
    """Return after which share of the window the estimate is down at the limit; what is left if only its end helps."""
    if usage.current > limit or usage.previous <= 0:
        return usage.remaining_share
    return min(usage.remaining_share, max(0.0, (usage.estimate - limit) / usage.previous))


class Tenancy:
    """One tenant's limit, in windows (times in seconds).

    Attributes:
        name: Of the tenant.
        limits: Its rate a second and burst, in requests.
        quota_limit: Units in any time as long as the quota's own window.
        window_slots: The length of the estimate's window.
        window_s: The same in seconds.
        limit: Units in one window.
        admitted: Requests that were admitted here, each window worth half of the one after it.
        rejected: The same of those that were rejected.
    """

    def __init__(
        self, name: str, rate: float, burst: float, quota_window_s: float, overshoot: float, slack: float
    ) -> None:
        """Derive the windows from a rate above 0 and a burst, and the rule's window, overshoot and slack."""
        self.name = name
        self.limits = (rate, burst)
        used_overshoot = 1 + USED_SPARE_SHARE * overshoot
        self.quota_limit = (rate * quota_window_s + burst) * used_overshoot + USED_SPARE_SHARE * slack
        # a longer window bears more chance, and less of the rate
        longest_s = self.quota_limit / (MIN_RATE_FACTOR * rate) - quota_window_s
        slot_s = quota_window_s / SLOTS
        self.window_slots = min(max(int(longest_s / slot_s), 1), SLOTS // 2)
        self.window_s = self.window_slots * slot_s
        self.limit = self.limit_of(self.window_slots)
        self.admitted = 0.0
        self.rejected = 0.0
        self._judged_at = 0.0

    def limit_of(self, slots: int) -> float:
        """Return the units in one window of so many slots."""
        return self.quota_limit / (SLOTS / slots + 1)

    def judge(self, usage: WindowUsage, now: float) -> float | None:
        """Return as `excess_wait_s`, and remember the decision.

        The wait counts those rejected before, who will come back as well: each window has room for so many of them.
        """
        fade = 0.5 ** ((now - self._judged_at) / self.window_s)
        self.admitted *= fade
        self.rejected *= fade
        self._judged_at = now
        wait_s = self.excess_wait_s(usage)
        if wait_s is None:
            self.admitted += 1
            return None
        wait_s += self.window_s * self.rejected / max(1.0, self.admitted)
        self.rejected += 1
        return wait_s

    def excess_wait_s(self, usage: WindowUsage) -> float | None:
        """Return None inside the limit; else in how many seconds there may be room."""
        if usage.in_quota_window > self.quota_limit:
            return self.window_s * usage.remaining_share
        # what lies beyond was rejected, and not taken off yet
        counted = usage._replace(previous=min(usage.previous, self.limit))
        if counted.estimate <= self.limit:
            return None
        return self.window_s * room_after(counted, self.limit)


@dataclass(slots=True)
class Ask:
    """A consultation: `done` gets the usage, or None; it returns whether the request's units stay counted."""

    tenancy: Tenancy
    homes: list[str]
    done: Callable[[WindowUsage | None], bool]
