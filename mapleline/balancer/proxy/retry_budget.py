"""The retry budget: limits further attempts to a share of the requests (rule BUDGET)."""

from __future__ import annotations

from typing import TYPE_CHECKING

from . import counters

if TYPE_CHECKING:
    from ..membership.table import MembershipTable
    from ..settings import Bounds
    from .counters import RequestCounters

USED_RATIO = 0.7
"""Share of the allowed ratio that is used; the request count that the rule is checked against may lag."""

USED_SLACK = 0.5
"""Share of the allowed slack that is used."""


class RetryBudget:
    """Credit for attempts by service: each request earns a fraction, each retry or hedged attempt spends 1."""

    def __init__(self, bounds: Bounds, membership: MembershipTable, counters: RequestCounters) -> None:
        """Start each service with half of the maximum credit."""
        self._bounds = bounds
        self._membership = membership
        self._counters = counters
        self._credit: dict[str, float] = {}

    def earn(self, service: str) -> None:
        """Add the credit for one request to the service."""
        earned = USED_RATIO * self._bounds.retry_budget_ratio
        self._credit[service] = min(self._max_credit(), self._current_credit(service) + earned)

    def try_spend(self, service: str) -> bool:
        """Spend credit for one attempt; return False if there is not enough."""
        credit = self._current_credit(service)
        if credit < 1.0:
            self._counters.increment(counters.NO_RETRY_BUDGET)
            return False
        self._credit[service] = credit - 1.0
        return True

    def _current_credit(self, service: str) -> float:
        return self._credit.get(service, self._max_credit() / 2)

    def _max_credit(self) -> float:
        """Return this node's share of the fleet's slack, at least 1; all known members have equal shares."""
        node_count = max(1, len(self._membership.members))
        return max(1.0, USED_SLACK * self._bounds.retry_budget_slack / node_count)
