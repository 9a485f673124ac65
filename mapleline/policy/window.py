"""The sliding-window estimate of a tenant's use, and the decision on a request that follows from it.

The estimate is made from two windows, the current one and the previous one.  Their length is about the time in which
the tenant's rate amounts to its burst: the greatest number of whole slots with which the limit of a window still admits
the whole rate.  The limit of a window is what the quota's own window may hold, divided by the number of windows that
can overlap it (one more than fit into it).  A part of the permitted overshoot and slack is kept for increments that
the replicas have not exchanged yet.

Slots are the same for all tenants and limits: a limit decides how counts are read, but not the slots that they are
stored under.  The units in the quota's own window are checked as well, independently of the two windows.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from .estimate import weighted

#: Share of the permitted overshoot and slack that the limit uses.  The rest is kept because distant replicas do not see
#: each other's latest increments.
USED_MARGIN_SHARE = 0.6

#: Multiple of the tenant's rate that full windows have to admit; it bounds the length of the windows.
MIN_RATE_FACTOR = 1.05

#: Slots in a quota's own window; the longest window of an estimate is half of it.
SLOTS_PER_QUOTA_WINDOW = 10


class WindowUsage(NamedTuple):
    """A tenant's units before a request.

    Attributes:
        current: Units in the current window.
        previous: Units in the previous window.
        remaining_share: Share of the current window that is left, from 0 to 1.
        quota_window_units: Units in the current slot and in as many slots before it as the quota's own window has.
    """

    current: float
    previous: float
    remaining_share: float
    quota_window_units: float = 0.0

    @property
    def estimate(self) -> float:
        """The units in a sliding window; the previous window is weighted by the share of the current one left."""
        return weighted(self.previous, self.remaining_share, self.current)


def share_until_room(usage: WindowUsage, limit: float) -> float:
    """Return the share of a window after which the estimate has fallen to the limit.

    It is the remaining share of the current window if the estimate stays above the limit until the window ends.
    """
    if usage.current > limit or usage.previous <= 0:
        return usage.remaining_share
    return min(usage.remaining_share, max(0.0, (usage.estimate - limit) / usage.previous))


class TenantLimit:
    """One tenant's limit, expressed in windows.

    Attributes:
        name: The tenant's name.
        rate_and_burst: Its rate in requests per second, and its burst in requests.
        quota_limit: Units permitted in any period as long as the quota's own window.
        window_slots: Length of the estimate's window, in slots.
        window_s: The same length in seconds.
        limit: Units permitted in one window.
        admitted: Requests admitted on this node; the number halves with each window length that passes.
        rejected: Requests rejected on this node, with the same decay.
    """

    def __init__(
        self, name: str, rate: float, burst: float, quota_window_s: float, overshoot: float, slack: float
    ) -> None:
        """Derive the windows from the tenant's quota and the bounds of the rule QUOTA.

        Args:
            name: The tenant's name.
            rate: Requests per second, above 0.
            burst: Requests.
            quota_window_s: Length of the quota's own window.
            overshoot: Share by which the rule lets the quota be exceeded.
            slack: Requests by which the rule lets the quota be exceeded in addition.
        """
        self.name = name
        self.rate_and_burst = (rate, burst)
        used_overshoot = 1 + USED_MARGIN_SHARE * overshoot
        self.quota_limit = (rate * quota_window_s + burst) * used_overshoot + USED_MARGIN_SHARE * slack
        # A longer window tolerates more random variation of arrivals, but its limit admits less of the rate.
        max_window_s = self.quota_limit / (MIN_RATE_FACTOR * rate) - quota_window_s
        slot_s = quota_window_s / SLOTS_PER_QUOTA_WINDOW
        self.window_slots = min(max(int(max_window_s / slot_s), 1), SLOTS_PER_QUOTA_WINDOW // 2)
        self.window_s = self.window_slots * slot_s
        self.limit = self.limit_for_window(self.window_slots)
        self.admitted = 0.0
        self.rejected = 0.0
        self._last_decision_at = 0.0

    def limit_for_window(self, window_slots: int) -> float:
        """Return the units permitted in one window of this length."""
        return self.quota_limit / (SLOTS_PER_QUOTA_WINDOW / window_slots + 1)

    def decide(self, usage: WindowUsage, now: float) -> float | None:
        """Decide on a request, and record the decision.

        The wait takes requests that were rejected before into account, because they are retried as well: each window
        is taken to have room for as many of them as were admitted lately.

        Args:
            usage: The tenant's units before the request.
            now: Time on the steady clock, in seconds.

        Returns:
            None if the request is admitted, otherwise the seconds after which to retry it.
        """
        decay = 0.5 ** ((now - self._last_decision_at) / self.window_s)
        self.admitted *= decay
        self.rejected *= decay
        self._last_decision_at = now
        wait_s = self.excess_wait_s(usage)
        if wait_s is None:
            self.admitted += 1
            return None
        wait_s += self.window_s * self.rejected / max(1.0, self.admitted)
        self.rejected += 1
        return wait_s

    def excess_wait_s(self, usage: WindowUsage) -> float | None:
        """Return None if the usage is within the limit, otherwise the seconds until it may be within it again."""
        if usage.quota_window_units > self.quota_limit:
            return self.window_s * usage.remaining_share
        # Units of the previous window above the limit belong to rejected requests that are not reverted yet.
        capped_usage = usage._replace(previous=min(usage.previous, self.limit))
        if capped_usage.estimate <= self.limit:
            return None
        return self.window_s * share_until_room(capped_usage, self.limit)


@dataclass(slots=True)
class QuotaConsultation:
    """A request for a tenant's usage, made at the counter replicas.

    Attributes:
        tenant_limit: The tenant's limit.
        home_regions: The tenant's home regions; empty for everywhere.
        on_answer: Called with the usage, or with None if no replica answered in time; returns whether the request's
            units stay counted.
    """

    tenant_limit: TenantLimit
    home_regions: list[str]
    on_answer: Callable[[WindowUsage | None], bool]
