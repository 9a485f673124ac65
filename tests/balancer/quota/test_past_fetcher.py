"""Fetching the pasts of tenants from other replicas.

Guards against answers that are delayed longer than the timeout, or although there is no peer, and against requests that
are repeated for a known past or without a bound.
"""

import unittest

from mapleline.balancer.quota.past_fetcher import MAX_ATTEMPTS, MAX_PEERS, PAST_TIMEOUT_S, PastFetcher
from mapleline.balancer.quota.past_knowledge import UnknownPast


class TestPastFetcher(unittest.TestCase):
    def setUp(self):
        self.peers = [1, 2, 3, 4]
        self.requests = []
        self.fetcher = PastFetcher(lambda tenant: self.peers, lambda peer, tenant: self.requests.append(peer))

    def test_a_past_is_requested_once_and_waited_for_until_the_timeout(self):
        self.assertAlmostEqual(self.fetcher.fetch("t", UnknownPast(7), 10.0), PAST_TIMEOUT_S)
        self.assertAlmostEqual(self.fetcher.fetch("t", UnknownPast(7), 10.03), PAST_TIMEOUT_S - 0.03)
        self.assertLess(self.fetcher.fetch("t", UnknownPast(7), 10.2), 0.0)
        self.assertEqual(self.requests, self.peers[:MAX_PEERS])
        self.assertAlmostEqual(self.fetcher.fetch("t", UnknownPast(9), 11.0), PAST_TIMEOUT_S)
        self.assertEqual(len(self.requests), 2 * MAX_PEERS)

    def test_there_is_no_wait_without_a_peer(self):
        self.peers = []
        self.assertEqual(self.fetcher.fetch("t", UnknownPast(7), 10.0), 0.0)

    def test_an_unknown_past_is_requested_a_few_times_at_growing_intervals(self):
        self.peers = [1]
        self.fetcher.fetch("t", UnknownPast(7), 10.0)
        times = []
        for tick in range(1, 200):
            now = 10.0 + 0.05 * tick
            count = len(self.requests)
            self.fetcher.retry(now, lambda tenant: False)
            if len(self.requests) > count:
                times.append(round(now, 2))
        self.assertEqual(len(self.requests), MAX_ATTEMPTS)
        gaps = [later - earlier for earlier, later in zip([10.0, *times], times, strict=False)]
        self.assertEqual(sorted(gaps), gaps)

    def test_a_known_past_is_not_requested_again(self):
        self.fetcher.fetch("t", UnknownPast(7), 10.0)
        self.fetcher.retry(10.5, lambda tenant: True)
        self.fetcher.retry(11.5, lambda tenant: False)
        self.assertEqual(len(self.requests), MAX_PEERS)
