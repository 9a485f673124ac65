"""Fetching the past of tenants: once for each past, again a few times, of a few peers."""

import unittest

from mapleline.balancer.quota.past_fetcher import MAX_PEERS, MAX_TRIES, PAST_TIMEOUT_S, PastFetcher
from mapleline.balancer.quota.past_knowledge import UnknownPast


class TestPastFetcher(unittest.TestCase):
    def setUp(self):
        self.peers = [1, 2, 3, 4]
        self.requests = []
        self.fetcher = PastFetcher(lambda tenant: self.peers, lambda peer, tenant: self.requests.append(peer))

    def test_a_past_is_fetched_once_and_waited_for_as_long_as_is_left(self):
        self.assertAlmostEqual(self.fetcher.fetch("t", UnknownPast(7), 10.0), PAST_TIMEOUT_S)
        self.assertAlmostEqual(self.fetcher.fetch("t", UnknownPast(7), 10.03), PAST_TIMEOUT_S - 0.03)
        self.assertLess(self.fetcher.fetch("t", UnknownPast(7), 10.2), 0.0)
        self.assertEqual(self.requests, self.peers[:MAX_PEERS])
        self.assertAlmostEqual(self.fetcher.fetch("t", UnknownPast(9), 11.0), PAST_TIMEOUT_S)
        self.assertEqual(len(self.requests), 2 * MAX_PEERS)

    def test_nobody_is_waited_for_where_there_is_nobody(self):
        self.peers = []
        self.assertEqual(self.fetcher.fetch("t", UnknownPast(7), 10.0), 0.0)

    def test_what_stays_unknown_is_asked_for_ever_later_and_a_few_times(self):
        self.peers = [1]
        self.fetcher.fetch("t", UnknownPast(7), 10.0)
        times = []
        for tick in range(1, 200):
            now = 10.0 + 0.05 * tick
            count = len(self.requests)
            self.fetcher.retry(now, lambda tenant: False)
            if len(self.requests) > count:
                times.append(round(now, 2))
        self.assertEqual(len(self.requests), MAX_TRIES)
        gaps = [later - earlier for earlier, later in zip([10.0, *times], times, strict=False)]
        self.assertEqual(sorted(gaps), gaps)

    def test_what_is_known_is_asked_for_no_more(self):
        self.fetcher.fetch("t", UnknownPast(7), 10.0)
        self.fetcher.retry(10.5, lambda tenant: True)
        self.fetcher.retry(11.5, lambda tenant: False)
        self.assertEqual(len(self.requests), MAX_PEERS)
