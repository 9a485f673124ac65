"""The retry budget: further attempts are bounded by a share of the requests (rule BUDGET)."""

from __future__ import annotations

from typing import TYPE_CHECKING

from . import counters

if TYPE_CHECKING:
    from ..membership.table import MembershipTable
    from ..settings import Bounds
    from .counters import RequestCounters

USED_RATIO = 0.7
"""Share of the allowed ratio that is used: the rule's own count of requests may lag."""

USED_SLACK = 0.5
"""Share of the allowed slack that is used."""


class RetryBudget:
    """Credit by service: each request earns a part of an attempt, each retry or hedged request spends one."""

    def __init__(self, bounds: Bounds, membership: MembershipTable, counters: RequestCounters) -> None:
        """Begin with half of the most that may be saved up."""
        self._bounds = bounds
        self._membership = membership
        self._counters = counters
        self._credit: dict[str, float] = {}

    def earn(self, service: str) -> None:
        """Count a request of the service."""
        earned = USED_RATIO * self._bounds.retry_budget_ratio
        self._credit[service] = min(self._max_credit(), self._current_credit(service) + earned)

    def try_spend(self, service: str) -> bool:
        """Spend one attempt, or return False if there is not enough credit."""
        credit = self._current_credit(service)
        if credit < 1.0:
            self._counters.increment(counters.NO_RETRY_BUDGET)
            return False
        self._credit[service] = credit - 1.0
        return True

    def _current_credit(self, service: str) -> float:
        return self._credit.get(service, self._max_credit() / 2)

    def _max_credit(self) -> float:
        """Return this node's part of the fleet's slack: an equal one for each known member."""
        node_count = max(1, len(self._membership.members))
        return max(1.0, USED_SLACK * self._bounds.retry_budget_slack / node_count)
