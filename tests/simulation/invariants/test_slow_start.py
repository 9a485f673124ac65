"""FAILBACK on synthetic histories."""

from mapleline.simulation.history import SlowStart
from mapleline.simulation.invariants import Rule, check

from ..history_builder import HistoryBuilder, InvariantTestCase

RATE_S = 2.0


class TestSlowStart(InvariantTestCase):
    def got(self, count, at=20.0, within_s=1.0, took_s=0.01):
        builder = HistoryBuilder()
        builder.history.slow_start_rate_s = RATE_S
        builder.history.slow_starts.append(SlowStart("i1", 20.0, 23.0))
        for index in range(count):
            sent_at = at + within_s * index / count
            builder.request(f"q{index}", sent_at, status=503).arrival(f"q{index}", sent_at, took_s=took_s)
        return builder

    def test_a_server_gets_more_than_its_slow_start_rate(self):
        bounds = HistoryBuilder().history.bounds
        allowed = int(RATE_S * bounds.cold_overshoot + bounds.cold_slack)
        self.assert_holds(
            self.got(allowed),
            self.got(allowed + 1, at=24.1),
            self.got(allowed + 1, within_s=2.0),
            self.got(allowed + 1, took_s=1.0),  # none of them arrived inside the second
        )
        self.assert_breaks(Rule.FAILBACK, self.got(allowed + 1), self.got(allowed + 1, at=22.9))
        self.assertEqual([violation.subject for violation in check(self.got(allowed + 1).history)], ["i1"])
