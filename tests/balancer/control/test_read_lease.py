"""Tests that the read lease starts at the oldest query of the most recently queried majority."""

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
        """Record agreements of voters: `ip3=9.0` means that the voter with address 3 was queried at 9.0 s."""
        for name, queried_at in asked_at.items():
            ip = int(name.removeprefix("ip"))
            self.lease.on_agreement(ReplicaId(ip, ip), queried_at)

    def test_there_is_no_lease_before_a_majority_agrees(self):
        self.assertEqual(NEVER, float("-inf"))
        self.assertEqual(self.lease.valid_since(self.state), NEVER)
        self.agree(ip1=10.0, ip2=8.0)
        self.assertEqual(self.lease.valid_since(self.state), NEVER)

    def test_an_agreement_of_another_disk_than_the_voters_does_not_count(self):
        self.agree(ip1=10.0, ip2=8.0)
        self.lease.on_agreement(ReplicaId(3, 99), 11.0)
        self.assertEqual(self.lease.valid_since(self.state), NEVER)

    def test_it_starts_at_the_oldest_query_of_the_newest_majority(self):
        self.agree(ip1=10.0, ip2=8.0, ip3=9.0)
        self.assertEqual(self.lease.valid_since(self.state), 8.0)

    def test_a_delayed_reply_to_an_older_query_does_not_shorten_it(self):
        self.agree(ip1=10.0, ip2=8.0, ip3=9.0)
        self.agree(ip1=7.0)
        self.assertEqual(self.lease.valid_since(self.state), 8.0)

    def test_a_joint_state_needs_both_majorities(self):
        self.agree(ip1=10.0, ip2=8.0, ip3=9.0)
        self.assertEqual(self.lease.valid_since(self.joint), NEVER)
        self.agree(ip5=9.5)
        self.assertEqual(self.lease.valid_since(self.joint), 8.0)

    def test_the_age_of_a_relayed_lease_counts_from_the_query(self):
        """A node that is partitioned from the voters gets the lease of a node that is not."""
        self.agree(ip1=10.0, ip2=8.0, ip3=9.0, ip5=9.5)
        self.lease.on_relayed_lease(asked_at=12.0, age_s=2.5)
        self.assertEqual(self.lease.valid_since(self.joint), 9.5)
