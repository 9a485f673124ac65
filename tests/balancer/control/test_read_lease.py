"""The read lease: as old as the slowest question of a majority."""

import unittest

from mapleline.balancer.control.read_lease import NEVER, ReadLease
from mapleline.balancer.control.state import ReplicaId, begin_reconfiguration
from tests.balancer.control.builders import replicas, state_of


class TestReadLease(unittest.TestCase):
    def setUp(self):
        self.lease = ReadLease()
        self.state = state_of(1, 2, 3, 4)
        self.joint = begin_reconfiguration(self.state, replicas(3, 4, 5))

    def agree(self, **asked_at):
        """Voters agree: `ip3=9.0` was asked at 9.0."""
        for name, at in asked_at.items():
            ip = int(name.removeprefix("ip"))
            self.lease.on_agreement(ReplicaId(ip, ip), at)

    def test_there_is_none_before_a_majority_agrees(self):
        self.assertEqual(NEVER, float("-inf"))
        self.assertEqual(self.lease.valid_since(self.state), NEVER)
        self.agree(ip1=10.0, ip2=8.0)
        self.assertEqual(self.lease.valid_since(self.state), NEVER)

    def test_another_disk_than_the_voters_does_not_count(self):
        self.agree(ip1=10.0, ip2=8.0)
        self.lease.on_agreement(ReplicaId(3, 99), 11.0)
        self.assertEqual(self.lease.valid_since(self.state), NEVER)

    def test_it_counts_from_the_oldest_question_of_the_newest_majority(self):
        self.agree(ip1=10.0, ip2=8.0, ip3=9.0)
        self.assertEqual(self.lease.valid_since(self.state), 8.0)

    def test_a_delayed_answer_to_an_older_question_takes_nothing_away(self):
        self.agree(ip1=10.0, ip2=8.0, ip3=9.0)
        self.agree(ip1=7.0)
        self.assertEqual(self.lease.valid_since(self.state), 8.0)

    def test_a_joint_state_needs_both_majorities(self):
        self.agree(ip1=10.0, ip2=8.0, ip3=9.0)
        self.assertEqual(self.lease.valid_since(self.joint), NEVER)
        self.agree(ip5=9.5)
        self.assertEqual(self.lease.valid_since(self.joint), 8.0)

    def test_a_relayed_lease_counts_by_its_age_from_the_question(self):
        """Of a node that is cut off from the voters, by way of one that is not."""
        self.agree(ip1=10.0, ip2=8.0, ip3=9.0, ip5=9.5)
        self.lease.on_relayed_lease(asked_at=12.0, age_s=2.5)
        self.assertEqual(self.lease.valid_since(self.joint), 9.5)
