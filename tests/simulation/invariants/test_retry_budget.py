"""BUDGET on synthetic histories."""

from mapleline.simulation.invariants import Rule

from ..history_builder import HistoryBuilder, InvariantTestCase


class TestRetryBudget(InvariantTestCase):
    def retried(self, requests, retries, retried_at=20.0):
        builder = HistoryBuilder()
        for index in range(requests):
            builder.request(f"q{index}", 20.0, status=503).arrival(f"q{index}", 20.0)
        for _ in range(retries):
            builder.arrival("q0", retried_at)
        return builder

    def test_more_retries_than_the_budget(self):
        bounds = HistoryBuilder().history.bounds
        requests = 50
        allowed = int(bounds.retry_budget_ratio * requests + bounds.retry_budget_slack)
        self.assert_holds(self.retried(requests, allowed))
        self.assert_breaks(Rule.RETRY_BUDGET, self.retried(requests, allowed + 1))

    def test_requests_of_the_window_before_count_and_older_ones_do_not(self):
        bounds = HistoryBuilder().history.bounds
        requests = 50
        allowed = int(bounds.retry_budget_ratio * requests + bounds.retry_budget_slack)
        window_s = bounds.retry_window
        self.assert_holds(self.retried(requests, allowed, 20.0 + window_s))
        self.assert_breaks(Rule.RETRY_BUDGET, self.retried(requests, allowed, 20.1 + window_s))
