"""The sliding-window estimate of a tenant's use, and the limits derived from its quota (`mapleline.policy.window`).

Guards against limits that let the quota be exceeded in its own window, limits that reject a tenant within its rate, and
waits that bring rejected requests back too early.
"""

import unittest

from mapleline.policy.estimate import weighted
from mapleline.policy.window import SLOTS_PER_QUOTA_WINDOW, TenantLimit, WindowUsage


class TestTenantLimit(unittest.TestCase):
    def test_requests_above_the_limit_are_rejected_with_the_wait_until_there_is_room(self):
        self.assertEqual(weighted(10, 0.25, 3), 5.5)
        tenant_limit = TenantLimit("t", 18, 18, 5.0, 0.1, 20)
        self.assertIsNone(tenant_limit.excess_wait_s(WindowUsage(tenant_limit.limit, 0, 0.5)))
        self.assertAlmostEqual(
            tenant_limit.excess_wait_s(WindowUsage(tenant_limit.limit + 1, 0, 0.5)), 0.5 * tenant_limit.window_s
        )
        self.assertAlmostEqual(
            tenant_limit.excess_wait_s(WindowUsage(tenant_limit.limit - 5, 10, 0.6)), 0.1 * tenant_limit.window_s
        )

    def test_the_limit_admits_the_rate_and_keeps_the_quota(self):
        for rate, burst in ((0.5, 1), (4, 4), (18, 18), (59, 59), (59, 10), (300, 900)):
            tenant_limit = TenantLimit("t", rate, burst, 5.0, 0.1, 20)
            self.assertGreaterEqual(tenant_limit.limit / tenant_limit.window_s, min(rate, 1.05 * rate) * 0.99, rate)
            self.assertLess((5 / tenant_limit.window_s + 1) * tenant_limit.limit, (rate * 5 + burst) * 1.1 + 20)

    def test_the_wait_grows_with_the_requests_rejected_before(self):
        tenant_limit, waits = TenantLimit("t", 18, 18, 5.0, 0.1, 20), []
        for count in range(6):
            self.assertIsNone(tenant_limit.decide(WindowUsage(count, 0, 0.5), 100.0))
        for _ in range(12):
            waits.append(tenant_limit.decide(WindowUsage(tenant_limit.limit + 1, 0, 0.5), 100.0))
        self.assertAlmostEqual(waits[0], 0.5 * tenant_limit.window_s)
        self.assertAlmostEqual(waits[6], 1.5 * tenant_limit.window_s)
        last = tenant_limit.decide(WindowUsage(tenant_limit.limit + 1, 0, 0.5), 100.0 + 9 * tenant_limit.window_s)
        self.assertLess(last, 0.6 * tenant_limit.window_s)

    def test_the_quota_window_is_limited_even_if_the_estimate_is_low(self):
        tenant_limit = TenantLimit("t", 18, 18, 5.0, 0.1, 20)
        self.assertIsNone(tenant_limit.excess_wait_s(WindowUsage(0, 0, 0.5, tenant_limit.quota_limit)))
        self.assertAlmostEqual(
            tenant_limit.excess_wait_s(WindowUsage(0, 0, 0.5, tenant_limit.quota_limit + 1)),
            0.5 * tenant_limit.window_s,
        )
        self.assertLess(tenant_limit.quota_limit, (18 * 5 + 18) * 1.1 + 20)

    def test_windows_are_whole_slots_and_at_most_half_of_the_quota_window(self):
        for rate, burst in ((0.5, 1), (4, 4), (18, 18), (59, 59), (59, 10), (300, 900)):
            tenant_limit = TenantLimit("t", rate, burst, 5.0, 0.1, 20)
            self.assertIn(tenant_limit.window_slots, range(1, SLOTS_PER_QUOTA_WINDOW // 2 + 1))
            self.assertEqual(tenant_limit.window_s, tenant_limit.window_slots * 0.5)
            self.assertEqual(tenant_limit.limit, tenant_limit.limit_for_window(tenant_limit.window_slots))
