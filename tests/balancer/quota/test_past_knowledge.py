"""What a replica assumes about tenants whose past it does not know.

Guards against a fresh burst: a replica that has restarted, or that was not asked before, has no counts of what other
replicas have admitted, and must not take the tenant for unused.
"""

import unittest

from mapleline.balancer.quota.past_knowledge import MAX_IDLE_SLOTS, PastKnowledge, UnknownPast
from mapleline.balancer.quota.slots import KEPT_SLOTS

WINDOW_SLOTS = 2
LIMIT = 10.0


class TestUnknownPast(unittest.TestCase):
    def test_only_unknown_slots_are_assumed_to_be_used_up_to_the_limit(self):
        unknown = UnknownPast(101)
        self.assertEqual(unknown.reading(101, WINDOW_SLOTS, LIMIT), (5.0, 10.0, 5.0 * (KEPT_SLOTS - 1)))
        self.assertEqual(unknown.reading(102, WINDOW_SLOTS, LIMIT), (0.0, 5.0, 5.0 * (KEPT_SLOTS - 2)))
        self.assertEqual(unknown.reading(104, WINDOW_SLOTS, LIMIT), (0.0, 0.0, 5.0 * (KEPT_SLOTS - 4)))

    def test_it_has_expired_once_every_kept_slot_is_known(self):
        unknown = UnknownPast(101)
        last = 101 + KEPT_SLOTS
        self.assertEqual([unknown.has_expired(slot) for slot in (last - 1, last)], [False, True])
        self.assertEqual(unknown.reading(last, WINDOW_SLOTS, LIMIT), (0.0, 0.0, 0.0))


class TestPastKnowledge(unittest.TestCase):
    def setUp(self):
        self.was_replica = True

    def knowledge(self, first_slot=100, *, is_first_start=False):
        return PastKnowledge(first_slot, lambda tenant: self.was_replica, is_first_start=is_first_start)

    def test_a_replica_that_ran_throughout_knows_the_past(self):
        self.assertIsNone(self.knowledge().unknown_past("t", 100 + KEPT_SLOTS))

    def test_a_restarted_replica_does_not_know_it_unless_the_whole_system_started(self):
        self.assertEqual(self.knowledge().unknown_past("t", 101), UnknownPast(101))
        self.assertIsNone(self.knowledge(is_first_start=True).unknown_past("t", 101))

    def test_a_node_that_was_not_a_replica_does_not_know_it(self):
        self.was_replica = False
        self.assertEqual(self.knowledge().unknown_past("t", 300), UnknownPast(300))
        self.assertEqual(self.knowledge(is_first_start=True).unknown_past("t", 101), UnknownPast(101))

    def test_a_past_is_known_once_a_replica_that_knows_it_has_sent_it(self):
        knowledge = self.knowledge()
        knowledge.unknown_past("t", 101)
        self.assertFalse(knowledge.is_known("t", 101))
        knowledge.mark_known("t")
        self.assertTrue(knowledge.is_known("t", 102))
        self.assertIsNone(knowledge.unknown_past("t", 102))

    def test_a_past_is_known_once_all_unknown_slots_have_expired(self):
        knowledge = self.knowledge()
        unknown_pasts = [knowledge.unknown_past("t", slot) for slot in range(101, 102 + KEPT_SLOTS)]
        self.assertEqual(unknown_pasts, [UnknownPast(101)] * KEPT_SLOTS + [None])

    def test_a_node_that_is_not_a_replica_may_miss_counts_while_it_is_not_asked(self):
        self.was_replica = False
        knowledge = self.knowledge()
        knowledge.unknown_past("t", 300)
        knowledge.mark_known("t")
        self.assertIsNone(knowledge.unknown_past("t", 300 + MAX_IDLE_SLOTS))
        self.assertEqual(knowledge.unknown_past("t", 400), UnknownPast(400))

    def test_tenants_that_are_not_asked_for_are_dropped(self):
        knowledge = self.knowledge()
        knowledge.unknown_past("t", 101)
        knowledge.expire(100 + KEPT_SLOTS)
        self.assertFalse(knowledge.is_known("t", 102))
        knowledge.expire(101 + KEPT_SLOTS)
        self.assertTrue(knowledge.is_known("t", 101 + KEPT_SLOTS))
