"""QUOTA on synthetic histories."""

from mapleline.simulation.invariants import Rule

from ..history_builder import HistoryBuilder, InvariantTestCase

RATE_S = 2.0
BURST = 4.0


class TestQuota(InvariantTestCase):
    def ran(self, count, within_s, rate_s=RATE_S):
        builder = HistoryBuilder()
        builder.history.limits["t1"] = (rate_s, BURST)
        for index in range(count):
            at = 10.0 + within_s * index / count
            builder.request(f"q{index}", at).run(f"q{index}", at)
        return builder

    def test_a_tenant_runs_more_than_its_limit(self):
        bounds = HistoryBuilder().history.bounds
        window_s = bounds.quota_window
        allowed = int((RATE_S * window_s + BURST) * (1 + bounds.quota_overshoot) + bounds.quota_slack)
        self.assert_holds(self.ran(allowed, window_s))
        self.assert_holds(self.ran(allowed + 1, 2 * window_s))
        self.assert_breaks(Rule.QUOTA, self.ran(allowed + 1, window_s))
        self.assert_holds(self.ran(allowed + 1, window_s, rate_s=0.0))  # no limit
