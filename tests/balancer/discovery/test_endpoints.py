"""The endpoint list: how new it is, and the ends of warm-ups as peers learn them."""

import unittest

from mapleline.balancer.discovery.endpoints import EndpointList, ListedInstance
from mapleline.balancer.membership.member import Member
from mapleline.balancer.membership.table import MembershipTable


class TestListAge(unittest.TestCase):
    def test_a_list_is_not_newer_for_a_heartbeat_that_was_delayed(self):
        one, other = (MembershipTable(Member(ip, 0, 0, incarnation=5), 0.5) for ip in (1, 2))
        one.record_heartbeat(10.0, 0)
        other.merge(10.02, one.encode(10.0))
        heartbeat = other.encode(10.30)
        one.merge(10.32, heartbeat)
        self.assertTrue(10.25 < one.last_merge_sent_at <= 10.30)
        one.record_heartbeat(13.0, 0)
        one.merge(13.0, heartbeat)  # it lay here while this process stood still
        self.assertTrue(10.25 < one.last_merge_sent_at <= 10.30)
        one.local_member.incarnation = 6  # another incarnation has made other heartbeats
        one.merge(13.0, heartbeat)
        self.assertLess(one.last_merge_sent_at, 0.0)


class TestWarmUps(unittest.TestCase):
    def setUp(self):
        self.fetching, self.peer = EndpointList(), EndpointList()

    def fetch(self, at, remaining_s):
        """One node fetches the list, and its peer hears of it."""
        cold_left = f"{remaining_s:.3f}s"
        self.fetching.update_from_platform(at, [ListedInstance("i-a", "s1", "10.0.0.1:80", "z1", cold_left=cold_left)])
        if self.fetching.digest == self.peer.digest:
            self.peer.confirm(at, self.fetching.digest)
        else:
            self.peer.update_from_peer(at, self.fetching.body)

    def warming_until(self):
        return self.peer.instances["i-a"].warming_until

    def test_a_peer_learns_of_each_later_end_but_not_of_late_reports(self):
        self.fetch(100.0, 3.0)
        self.fetch(100.8, 2.2)
        self.assertEqual(self.warming_until(), 103.0)
        self.fetch(101.6, 4.0)
        self.assertGreaterEqual(self.warming_until(), 105.6)
        body = self.peer.body
        for at in (102.4, 103.2):
            self.fetch(at, 105.6 + 0.7 - at)  # reported late: nothing new
        self.assertIs(self.peer.body, body)
        self.fetch(104.0, 0.0)
        self.assertLess(self.warming_until(), 104.0)
