"""Quorums of a control state, and the change of its voters."""

import unittest

from mapleline.balancer.control.state import (
    ReplicaId,
    begin_reconfiguration,
    finish_reconfiguration,
    initial_state,
)
from tests.balancer.control.builders import replicas, state_of


def ids(*ips):
    """The identities of replicas whose disks are numbered as their addresses."""
    return {ReplicaId(ip, ip) for ip in ips}


class TestQuorum(unittest.TestCase):
    def test_half_of_the_voters_is_no_quorum_and_more_is_one(self):
        state = state_of(1, 2, 3, 4)
        self.assertFalse(state.has_quorum(ids(1, 2)))
        self.assertTrue(state.has_quorum(ids(1, 2, 3)))

    def test_another_disk_at_a_voters_address_does_not_count(self):
        self.assertFalse(state_of(1, 2, 3, 4).has_quorum(ids(1, 2) | {ReplicaId(3, 99)}))

    def test_a_joint_state_needs_a_majority_of_both_sets(self):
        joint = begin_reconfiguration(state_of(1, 2, 3, 4), replicas(3, 4, 5, 6, 7))
        self.assertFalse(joint.has_quorum(ids(3, 4, 5, 6, 7)))
        self.assertTrue(joint.has_quorum(ids(2, 3, 4, 5)))

    def test_seeds_vote_on_the_first_voters_whatever_their_disks(self):
        self.assertTrue(initial_state([7, 8, 9]).has_quorum({ReplicaId(7, 123), ReplicaId(9, 5)}))


class TestReconfiguration(unittest.TestCase):
    def setUp(self):
        self.state = state_of(1, 2, 3, 4)
        self.joint = begin_reconfiguration(self.state, replicas(3, 4, 5, 6, 7))

    def test_it_begins_with_the_old_voters_beside_the_new_ones(self):
        self.assertEqual((self.joint.number, self.joint.epoch, self.joint.former), (6, 2, self.state.voters))

    def test_nothing_changes_while_another_is_under_way(self):
        self.assertIs(begin_reconfiguration(self.joint, self.state.voters), self.joint)

    def test_it_ends_without_the_old_voters(self):
        finished = finish_reconfiguration(self.joint)
        self.assertEqual((finished.former, finished.epoch), ((), 3))
