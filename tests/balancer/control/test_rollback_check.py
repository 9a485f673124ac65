"""Tests when a restarted replica may vote, depending on the confirmations of its peers."""

import unittest

from mapleline.balancer.control.rollback_check import MAX_WAIT_S, RollbackCheck

STARTED_AT = 100.0
LONG_AFTER = STARTED_AT + 1000.0


class TestRollbackCheck(unittest.TestCase):
    def setUp(self):
        self.check = RollbackCheck()

    def test_without_a_confirmation_it_stays_incomplete(self):
        self.assertFalse(self.check.is_complete(LONG_AFTER, [{2, 3}]))

    def test_without_peers_it_is_complete(self):
        self.assertTrue(self.check.is_complete(STARTED_AT, []))

    def test_half_of_the_peers_are_enough_only_after_the_maximum_wait(self):
        self.check.record_confirmation(2, STARTED_AT)
        self.assertFalse(self.check.is_complete(STARTED_AT + MAX_WAIT_S, [{2, 3}]))
        self.assertTrue(self.check.is_complete(STARTED_AT + MAX_WAIT_S + 0.01, [{2, 3}]))

    def test_the_wait_counts_from_the_first_confirmation(self):
        self.check.record_confirmation(2, STARTED_AT)
        self.check.record_confirmation(2, STARTED_AT + 0.9)
        self.assertTrue(self.check.is_complete(STARTED_AT + MAX_WAIT_S + 0.01, [{2, 3}]))

    def test_more_than_half_of_the_peers_complete_it_at_once(self):
        self.check.record_confirmation(2, STARTED_AT)
        self.check.record_confirmation(3, STARTED_AT)
        self.assertTrue(self.check.is_complete(STARTED_AT, [{2, 3, 4}]))

    def test_each_set_of_voters_needs_its_majority(self):
        self.check.record_confirmation(2, STARTED_AT)
        self.check.record_confirmation(3, STARTED_AT)
        self.assertFalse(self.check.is_complete(STARTED_AT, [{2, 3}, {4, 5}]))
        self.check.record_confirmation(4, STARTED_AT)
        self.check.record_confirmation(5, STARTED_AT)
        self.assertTrue(self.check.is_complete(STARTED_AT, [{2, 3}, {4, 5}]))

    def test_an_unrelated_node_does_not_count_for_a_majority(self):
        self.check.record_confirmation(9, STARTED_AT)
        self.assertFalse(self.check.is_complete(STARTED_AT, [{2, 3}]))
