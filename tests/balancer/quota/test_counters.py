"""Replicated counters: repeats, reverts, and what replicas merge."""

import unittest

from mapleline.balancer.quota.counters import CounterTable

SENDER = 9


class TestCounterTable(unittest.TestCase):
    def test_a_repeat_adds_nothing_and_a_revert_counts_once_in_any_order(self):
        table = CounterTable(1)
        self.assertEqual(table.add(1, 1, "t", 8, 1.0), (0.0, 0.0))
        self.assertEqual(table.add(2, 1, "t", 8, 1.0), (1.0, 0.0))
        self.assertEqual(table.add(2, 1, "t", 8, 1.0), (1.0, 0.0))
        for _ in range(2):  # once, however often it comes
            table.revert(2, 1, "t", 8)
        self.assertEqual(table.add(1, 2, "t", 9, 1.0), (0.0, 1.0))
        table.revert(2, 3, "t", 9)  # the increment comes later, or never
        self.assertEqual(table.add(2, 3, "t", 9, 1.0), (1.0, 1.0))
        self.assertEqual(table.add(2, 4, "t", 9, 1.0), (1.0, 1.0))

    def test_replicas_synchronise_and_a_new_one_gets_what_the_lost_one_had(self):
        first, second, third = CounterTable(1), CounterTable(2), CounterTable(3)
        for nonce in range(4):
            first.add(SENDER, nonce, "t", 8, 1.0)
        second.add(SENDER, 9, "t", 8, 1.0)
        second.merge(first.updates_for(0.0, 2, {"t"}))
        first.merge(second.updates_for(0.0, 1, {"t"}))
        readings = (first.add(SENDER, 10, "t", 8, 0), second.add(SENDER, 10, "t", 8, 0))
        self.assertEqual(readings, ((5, 0), (5, 0)))
        third.merge(second.updates_for(1.0, 3, {"t"}))  # the first is lost, the third in its place
        self.assertEqual(third.add(SENDER, 11, "t", 8, 1.0), (5.0, 0.0))
        for _ in range(5):  # sent round and round, nothing counts twice
            second.merge(third.updates_for(1.0, 2, {"t"}, complete=True))
            first.merge(second.updates_for(1.0, 1, {"t"}, complete=True))
            third.merge(first.updates_for(1.0, 3, {"t"}, complete=True))
        readings = [table.add(SENDER, 12, "t", 8, 0) for table in (first, second, third)]
        self.assertEqual(readings, [(6.0, 0.0)] * 3)
        restarted = CounterTable(1)  # the first is back, empty, and has counted one since
        restarted.add(SENDER, 13, "t", 8, 1.0)
        restarted.merge(second.updates_for(2.0, 1, {"t"}, complete=True))
        second.merge(restarted.updates_for(2.0, 2, {"t"}))
        readings = [table.add(SENDER, 14, "t", 8, 0) for table in (restarted, second)]
        self.assertEqual(readings, [(7.0, 0.0)] * 2)
