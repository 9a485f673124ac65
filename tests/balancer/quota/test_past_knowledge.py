"""What a replica assumes of tenants whose past it does not know."""

import unittest

from mapleline.balancer.quota.past_knowledge import MAX_IDLE_SLOTS, PastKnowledge, UnknownPast
from mapleline.balancer.quota.slots import KEPT_SLOTS

WINDOW_SLOTS = 2
LIMIT = 10.0


class TestUnknownPast(unittest.TestCase):
    def test_all_that_the_limit_allows_is_assumed_of_unknown_slots_alone(self):
        unknown = UnknownPast(101)
        self.assertEqual(unknown.reading(101, WINDOW_SLOTS, LIMIT), (5.0, 10.0, 5.0 * (KEPT_SLOTS - 1)))
        self.assertEqual(unknown.reading(102, WINDOW_SLOTS, LIMIT), (0.0, 5.0, 5.0 * (KEPT_SLOTS - 2)))
        self.assertEqual(unknown.reading(104, WINDOW_SLOTS, LIMIT), (0.0, 0.0, 5.0 * (KEPT_SLOTS - 4)))

    def test_it_has_passed_once_every_slot_that_counts_is_known(self):
        unknown = UnknownPast(101)
        last = 101 + KEPT_SLOTS
        self.assertEqual([unknown.has_passed(slot) for slot in (last - 1, last)], [False, True])
        self.assertEqual(unknown.reading(last, WINDOW_SLOTS, LIMIT), (0.0, 0.0, 0.0))


class TestPastKnowledge(unittest.TestCase):
    def setUp(self):
        self.was_replica = True

    def knowledge(self, first_slot=100, *, is_first_start=False):
        return PastKnowledge(first_slot, lambda tenant: self.was_replica, is_first_start=is_first_start)

    def test_a_replica_that_was_there_all_the_time_knows(self):
        self.assertIsNone(self.knowledge().unknown_past("t", 100 + KEPT_SLOTS))

    def test_one_that_has_just_started_does_not_unless_the_whole_system_has(self):
        self.assertEqual(self.knowledge().unknown_past("t", 101), UnknownPast(101))
        self.assertIsNone(self.knowledge(is_first_start=True).unknown_past("t", 101))

    def test_one_that_was_no_replica_does_not(self):
        self.was_replica = False
        self.assertEqual(self.knowledge().unknown_past("t", 300), UnknownPast(300))
        self.assertEqual(self.knowledge(is_first_start=True).unknown_past("t", 101), UnknownPast(101))

    def test_it_learns_from_one_that_knows(self):
        knowledge = self.knowledge()
        knowledge.unknown_past("t", 101)
        self.assertFalse(knowledge.is_known("t", 101))
        knowledge.learn("t")
        self.assertTrue(knowledge.is_known("t", 102))
        self.assertIsNone(knowledge.unknown_past("t", 102))

    def test_what_is_asked_for_until_the_past_has_passed_is_known(self):
        knowledge = self.knowledge()
        found = [knowledge.unknown_past("t", slot) for slot in range(101, 102 + KEPT_SLOTS)]
        self.assertEqual(found, [UnknownPast(101)] * KEPT_SLOTS + [None])

    def test_who_is_no_replica_and_was_not_asked_for_a_while_may_have_missed_something(self):
        self.was_replica = False
        knowledge = self.knowledge()
        knowledge.unknown_past("t", 300)
        knowledge.learn("t")
        self.assertIsNone(knowledge.unknown_past("t", 300 + MAX_IDLE_SLOTS))
        self.assertEqual(knowledge.unknown_past("t", 400), UnknownPast(400))

    def test_tenants_that_nobody_asks_for_are_forgotten(self):
        knowledge = self.knowledge()
        knowledge.unknown_past("t", 101)
        knowledge.expire(100 + KEPT_SLOTS)
        self.assertFalse(knowledge.is_known("t", 102))
        knowledge.expire(101 + KEPT_SLOTS)
        self.assertTrue(knowledge.is_known("t", 101 + KEPT_SLOTS))
