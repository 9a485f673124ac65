"""Tests of the quorums of a control state and of the change of its voters."""

import unittest

from mapleline.balancer.control.state import (
    ReplicaId,
    begin_reconfiguration,
    finish_reconfiguration,
    initial_state,
)
from tests.balancer.control.builders import replicas, state_of


def ids(*ips):
    """Return the identities of replicas whose disks have the numbers of their addresses."""
    return {ReplicaId(ip, ip) for ip in ips}


class TestQuorum(unittest.TestCase):
    def test_more_than_half_of_the_voters_is_a_quorum_and_half_is_not(self):
        state = state_of(1, 2, 3, 4)
        self.assertFalse(state.has_quorum(ids(1, 2)))
        self.assertTrue(state.has_quorum(ids(1, 2, 3)))

    def test_another_disk_at_a_voters_address_does_not_count(self):
        self.assertFalse(state_of(1, 2, 3, 4).has_quorum(ids(1, 2) | {ReplicaId(3, 99)}))

    def test_a_joint_state_needs_a_majority_of_both_sets(self):
        joint = begin_reconfiguration(state_of(1, 2, 3, 4), replicas(3, 4, 5, 6, 7))
        self.assertFalse(joint.has_quorum(ids(3, 4, 5, 6, 7)))
        self.assertTrue(joint.has_quorum(ids(2, 3, 4, 5)))

    def test_seeds_vote_on_the_first_voters_with_any_disk(self):
        self.assertTrue(initial_state([7, 8, 9]).has_quorum({ReplicaId(7, 123), ReplicaId(9, 5)}))


class TestReconfiguration(unittest.TestCase):
    def setUp(self):
        self.state = state_of(1, 2, 3, 4)
        self.joint = begin_reconfiguration(self.state, replicas(3, 4, 5, 6, 7))

    def test_a_change_begins_with_the_old_and_the_new_voters(self):
        self.assertEqual((self.joint.number, self.joint.epoch, self.joint.former), (6, 2, self.state.voters))

    def test_nothing_changes_while_another_change_is_in_progress(self):
        self.assertIs(begin_reconfiguration(self.joint, self.state.voters), self.joint)

    def test_a_change_ends_without_the_old_voters(self):
        finished = finish_reconfiguration(self.joint)
        self.assertEqual((finished.former, finished.epoch), ((), 3))
