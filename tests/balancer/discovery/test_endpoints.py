"""The endpoint list: delayed heartbeats must not make it seem fresh, and peers must learn later ends of warm-ups."""

import unittest

from mapleline.balancer.discovery.endpoints import EndpointList, ListedInstance
from mapleline.balancer.membership.member import Member
from mapleline.balancer.membership.table import MembershipTable


class TestListAge(unittest.TestCase):
    def test_a_delayed_heartbeat_does_not_make_a_list_newer(self):
        table, peer = (MembershipTable(Member(ip, 0, 0, incarnation=5), 0.5) for ip in (1, 2))
        table.record_heartbeat(10.0, 0)
        peer.merge(10.02, table.encode(10.0))
        heartbeat = peer.encode(10.30)
        table.merge(10.32, heartbeat)
        self.assertTrue(10.25 < table.last_merge_sent_at <= 10.30)
        table.record_heartbeat(13.0, 0)
        table.merge(13.0, heartbeat)  # it was queued while this process was suspended
        self.assertTrue(10.25 < table.last_merge_sent_at <= 10.30)
        table.local_member.incarnation = 6  # now the row names a heartbeat of an earlier incarnation
        table.merge(13.0, heartbeat)
        self.assertLess(table.last_merge_sent_at, 0.0)


class TestWarmUps(unittest.TestCase):
    def setUp(self):
        self.fetcher, self.peer = EndpointList(), EndpointList()

    def fetch(self, now, remaining_s):
        """Fetch the list at one node, and update its peer."""
        cold_left = f"{remaining_s:.3f}s"
        self.fetcher.update_from_platform(now, [ListedInstance("i-a", "s1", "10.0.0.1:80", "z1", cold_left=cold_left)])
        if self.fetcher.digest == self.peer.digest:
            self.peer.confirm(now, self.fetcher.digest)
        else:
            self.peer.update_from_peer(now, self.fetcher.body)

    def warming_until(self):
        return self.peer.instances["i-a"].warming_until

    def test_a_peer_learns_of_each_later_end_but_not_of_late_reports(self):
        self.fetch(100.0, 3.0)
        self.fetch(100.8, 2.2)
        self.assertEqual(self.warming_until(), 103.0)
        self.fetch(101.6, 4.0)
        self.assertGreaterEqual(self.warming_until(), 105.6)
        body = self.peer.body
        for now in (102.4, 103.2):
            self.fetch(now, 105.6 + 0.7 - now)  # a late report of the same warm-up
        self.assertIs(self.peer.body, body)
        self.fetch(104.0, 0.0)
        self.assertLess(self.warming_until(), 104.0)
