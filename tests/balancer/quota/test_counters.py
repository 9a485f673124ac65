"""Replicated counters.

Guards against units that are counted twice or lost: because increments or reverts are repeated or come in another
order, because replicas merge each other's rows again and again, or because their clocks differ.
"""

import unittest

from mapleline.balancer.quota.counters import MAX_SLOTS_AHEAD, CounterTable, Operation
from mapleline.balancer.quota.slots import KEPT_SLOTS

SENDER = 9


def add(table, sender, nonce, slot, units=1.0):
    """Add to the tenant's counter, and return the units before it in this slot and in the previous one."""
    operation = Operation(sender, nonce)
    table.add(operation, "t", slot, units)
    current, previous, _ = table.read("t", slot, without=operation)
    return current, previous


class TestCounterTable(unittest.TestCase):
    def test_a_repeat_adds_nothing_and_a_revert_counts_once_in_any_order(self):
        table = CounterTable(1)
        self.assertEqual(add(table, 1, 1, 8), (0.0, 0.0))
        self.assertEqual(add(table, 2, 1, 8), (1.0, 0.0))
        self.assertEqual(add(table, 2, 1, 8), (1.0, 0.0))
        for _ in range(2):  # a repeated revert subtracts nothing
            table.revert(Operation(2, 1), "t")
        self.assertEqual(add(table, 1, 2, 9), (0.0, 1.0))
        table.revert(Operation(2, 3), "t")  # before its increment, which may also never arrive
        self.assertEqual(add(table, 2, 3, 9), (1.0, 1.0))
        self.assertEqual(add(table, 2, 4, 9), (1.0, 1.0))

    def test_a_revert_subtracts_in_the_slot_of_the_increment(self):
        table = CounterTable(1)
        add(table, SENDER, 1, 8)
        table.revert(Operation(SENDER, 1), "t")  # the slot does not depend on the time of the revert
        self.assertEqual(add(table, SENDER, 2, 9), (0.0, 0.0))

    def test_counts_can_be_read_in_windows_of_any_length(self):
        table = CounterTable(1)
        for slot in range(30, 41):
            add(table, SENDER, slot, slot)
        self.assertEqual(table.read("t", 40, 1), (1.0, 1.0, 11.0))
        self.assertEqual(table.read("t", 40, 2), (1.0, 2.0, 11.0))
        self.assertEqual(table.read("t", 39, 5), (6.0, 5.0, 11.0))  # slots ahead of the current one count as well
        self.assertEqual(table.read("t", 44, 5), (1.0, 5.0, 7.0))

    def test_counts_expire_by_the_own_clock_only(self):
        table, ahead = CounterTable(1), CounterTable(2)
        add(table, SENDER, 1, 100)
        for number, slot in enumerate((100 + MAX_SLOTS_AHEAD + 1, 5000, 100 - KEPT_SLOTS)):
            add(ahead, SENDER, number, slot)
            table.merge(ahead.updates_for(0.0, 1, {"t"}, complete=True), 100)
        self.assertEqual(table.read("t", 100), (1.0, 0.0, 1.0))
        table.expire(100 + KEPT_SLOTS)
        self.assertEqual(table.tenants(), ["t"])
        table.expire(100 + KEPT_SLOTS + 1)
        self.assertEqual(table.tenants(), [])

    def test_rows_of_a_peer_whose_clock_is_off_are_shifted(self):
        table, ahead = CounterTable(1), CounterTable(2)
        add(table, SENDER, 1, 100)
        add(ahead, SENDER, 2, 160)
        table.merge(ahead.updates_for(0.0, 1, {"t"}), 100, offset=-60)
        self.assertEqual(table.read("t", 100), (2.0, 0.0, 2.0))
        ahead.merge(table.updates_for(0.0, 2, {"t"}), 160, offset=60)
        self.assertEqual(ahead.read("t", 160), (2.0, 0.0, 2.0))

    def test_replicas_synchronise_and_a_new_one_gets_what_the_lost_one_had(self):
        first, second, third = CounterTable(1), CounterTable(2), CounterTable(3)
        for nonce in range(4):
            add(first, SENDER, nonce, 8)
        add(second, SENDER, 9, 8)
        second.merge(first.updates_for(0.0, 2, {"t"}), 8)
        first.merge(second.updates_for(0.0, 1, {"t"}), 8)
        readings = (add(first, SENDER, 10, 8, 0), add(second, SENDER, 10, 8, 0))
        self.assertEqual(readings, ((5, 0), (5, 0)))
        third.merge(second.updates_for(1.0, 3, {"t"}), 8)  # the third replica takes the place of the first one
        self.assertEqual(add(third, SENDER, 11, 8), (5.0, 0.0))
        for _ in range(5):  # rows that are sent again are not counted twice
            second.merge(third.updates_for(1.0, 2, {"t"}, complete=True), 8)
            first.merge(second.updates_for(1.0, 1, {"t"}, complete=True), 8)
            third.merge(first.updates_for(1.0, 3, {"t"}, complete=True), 8)
        readings = [add(table, SENDER, 12, 8, 0) for table in (first, second, third)]
        self.assertEqual(readings, [(6.0, 0.0)] * 3)
        restarted = CounterTable(1)  # the first replica restarts without counts, and counts one unit
        add(restarted, SENDER, 13, 8)
        restarted.merge(second.updates_for(2.0, 1, {"t"}, complete=True), 8)
        second.merge(restarted.updates_for(2.0, 2, {"t"}), 8)
        readings = [add(table, SENDER, 14, 8, 0) for table in (restarted, second)]
        self.assertEqual(readings, [(7.0, 0.0)] * 2)

    def test_only_slots_that_changed_are_sent_again(self):
        table = CounterTable(1)
        add(table, SENDER, 1, 8)
        add(table, SENDER, 2, 9)
        self.assertEqual([row.slot for row in table.updates_for(0.0, 2, {"t"})], [8, 9])
        add(table, SENDER, 3, 9)
        self.assertEqual(table.updates_for(0.1, 2, {"t"}), [])  # one change is not yet due
        self.assertEqual([row.slot for row in table.updates_for(0.4, 2, {"t"})], [9])
        table.revert(Operation(SENDER, 1), "t")
        add(table, SENDER, 4, 9)
        self.assertEqual([row.slot for row in table.updates_for(0.5, 2, {"t"})], [8, 9])
