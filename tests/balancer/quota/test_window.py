"""The sliding-window estimate of a tenant's use, and the limits derived from its quota (`mapleline.policy.window`).

Guards against limits that let the quota be exceeded in its own window, limits that reject a tenant within its rate, and
waits that bring rejected requests back too early.
"""

import unittest

from mapleline.policy.estimate import weighted
from mapleline.policy.window import SLOTS, Tenancy, WindowUsage


class TestTenancy(unittest.TestCase):
    def test_requests_above_the_limit_are_rejected_with_the_wait_until_there_is_room(self):
        self.assertEqual(weighted(10, 0.25, 3), 5.5)
        tenancy = Tenancy("t", 18, 18, 5.0, 0.1, 20)
        self.assertIsNone(tenancy.excess_wait_s(WindowUsage(tenancy.limit, 0, 0.5)))
        self.assertAlmostEqual(tenancy.excess_wait_s(WindowUsage(tenancy.limit + 1, 0, 0.5)), 0.5 * tenancy.window_s)
        self.assertAlmostEqual(tenancy.excess_wait_s(WindowUsage(tenancy.limit - 5, 10, 0.6)), 0.1 * tenancy.window_s)

    def test_the_limit_admits_the_rate_and_keeps_the_quota(self):
        for rate, burst in ((0.5, 1), (4, 4), (18, 18), (59, 59), (59, 10), (300, 900)):
            tenancy = Tenancy("t", rate, burst, 5.0, 0.1, 20)
            self.assertGreaterEqual(tenancy.limit / tenancy.window_s, min(rate, 1.05 * rate) * 0.99, rate)
            self.assertLess((5 / tenancy.window_s + 1) * tenancy.limit, (rate * 5 + burst) * 1.1 + 20)

    def test_the_wait_grows_with_the_requests_rejected_before(self):
        tenancy, waits = Tenancy("t", 18, 18, 5.0, 0.1, 20), []
        for count in range(6):
            self.assertIsNone(tenancy.judge(WindowUsage(count, 0, 0.5), 100.0))
        for _ in range(12):
            waits.append(tenancy.judge(WindowUsage(tenancy.limit + 1, 0, 0.5), 100.0))
        self.assertAlmostEqual(waits[0], 0.5 * tenancy.window_s)
        self.assertAlmostEqual(waits[6], 1.5 * tenancy.window_s)
        last = tenancy.judge(WindowUsage(tenancy.limit + 1, 0, 0.5), 100.0 + 9 * tenancy.window_s)
        self.assertLess(last, 0.6 * tenancy.window_s)

    def test_the_quota_window_is_limited_even_if_the_estimate_is_low(self):
        tenancy = Tenancy("t", 18, 18, 5.0, 0.1, 20)
        self.assertIsNone(tenancy.excess_wait_s(WindowUsage(0, 0, 0.5, tenancy.quota_limit)))
        self.assertAlmostEqual(
            tenancy.excess_wait_s(WindowUsage(0, 0, 0.5, tenancy.quota_limit + 1)), 0.5 * tenancy.window_s
        )
        self.assertLess(tenancy.quota_limit, (18 * 5 + 18) * 1.1 + 20)

    def test_windows_are_whole_slots_and_at_most_half_of_the_quota_window(self):
        for rate, burst in ((0.5, 1), (4, 4), (18, 18), (59, 59), (59, 10), (300, 900)):
            tenancy = Tenancy("t", rate, burst, 5.0, 0.1, 20)
            self.assertIn(tenancy.window_slots, range(1, SLOTS // 2 + 1))
            self.assertEqual(tenancy.window_s, tenancy.window_slots * 0.5)
            self.assertEqual(tenancy.limit, tenancy.limit_for_window(tenancy.window_slots))
