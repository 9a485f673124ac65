"""Tests of the decision which change of the voters is due."""

import unittest

from mapleline.balancer.control.reconfiguration import FaultTolerance, ReplicaStatus, next_voters
from mapleline.balancer.control.state import begin_reconfiguration, finish_reconfiguration
from tests.balancer.control.builders import replica, state_of

TOLERANCE = FaultTolerance(machine_losses=1, zones=1)
LOST_AFTER_S = 8.0


def due(state, *statuses):
    """Return the voters that are due if all present voters are complete, except for the given statuses."""
    by_ip = {voter.ip: ReplicaStatus(voter, is_complete=True) for voter in state.voters}
    by_ip |= {status.replica.ip: status for status in statuses}
    return next_voters(state, by_ip.values(), TOLERANCE, LOST_AFTER_S)


class TestNextVoters(unittest.TestCase):
    def setUp(self):
        self.state = state_of(1, 2, 3, 4)
        self.learner = replica(5)

    def test_no_change_is_due_while_all_voters_are_healthy(self):
        self.assertIsNone(due(self.state))

    def test_a_learner_is_added_once_it_is_complete(self):
        self.assertIsNone(due(self.state, ReplicaStatus(self.learner, is_complete=False)))
        self.assertEqual(
            due(self.state, ReplicaStatus(self.learner, is_complete=True)), (*self.state.voters, self.learner)
        )

    def test_a_leaving_learner_is_not_added(self):
        self.assertIsNone(due(self.state, ReplicaStatus(self.learner, True, is_leaving=True)))

    def test_no_change_is_due_while_another_is_in_progress(self):
        joint = begin_reconfiguration(self.state, (*self.state.voters, self.learner))
        self.assertIsNone(due(joint, ReplicaStatus(replica(6), True)))

    def test_a_voter_with_another_disk_is_replaced_first(self):
        replaced = replica(2, disk_id=22)
        expected = {*self.state.voters} - {self.state.voters[1]} | {replaced}
        self.assertEqual(
            due(self.state, ReplicaStatus(replaced, True), ReplicaStatus(self.learner, True)),
            tuple(sorted(expected)),
        )

    def test_a_voter_is_removed_once_it_was_unreachable_for_long(self):
        voter = self.state.voters[0]
        self.assertIsNone(due(self.state, ReplicaStatus(voter, True, unreachable_s=7.9)))
        self.assertEqual(due(self.state, ReplicaStatus(voter, True, unreachable_s=8.1)), self.state.voters[1:])

    def test_a_leaving_voter_is_removed(self):
        voter = self.state.voters[3]
        self.assertEqual(due(self.state, ReplicaStatus(voter, True, is_leaving=True)), self.state.voters[:3])

    def test_a_voter_stays_if_the_others_could_not_tolerate_a_loss(self):
        state = state_of(1, 2, 3)
        self.assertIsNone(due(state, ReplicaStatus(state.voters[0], True, is_leaving=True)))

    def test_a_majority_never_depends_on_one_zone(self):
        second_of_zone, third_of_zone = replica(5, zone=4), replica(6, zone=4)
        with_second = due(self.state, ReplicaStatus(second_of_zone, True))
        self.assertEqual(len(with_second), 5)
        state = finish_reconfiguration(begin_reconfiguration(self.state, with_second))
        self.assertIsNone(due(state, ReplicaStatus(third_of_zone, True)))  # three of six voters would be in one zone
