"""The membership table must neither count a live member as failed nor keep a failed one alive.

Rows reach a table directly or relayed, late, and from earlier incarnations of a member.
"""

import random
import unittest

from mapleline.balancer.membership.member import Member, MemberFlags
from mapleline.balancer.membership.table import MembershipTable

READY, HAS_DISK = MemberFlags.READY, MemberFlags.HAS_DISK
INTERVAL_S = 0.5
ZONES = 4


def ready_tables(count):
    """Return the tables of `count` ready members in four zones, by address; all members know each other."""
    tables = {ip: MembershipTable(Member(ip, ip % ZONES, 0, incarnation=1), INTERVAL_S) for ip in range(1, count + 1)}
    for table in tables.values():
        for other in tables.values():
            table.add_member(other.local_member.ip, other.local_member.zone, READY)
            table.members[other.local_member.ip].last_heartbeat = 100.0
    return tables


def oldest_row_s(tables):
    """Return the greatest age of a row in any table while each member sends 40 heartbeats and none is lost."""
    oldest_s, phases = 0.0, {ip: random.Random(ip).random() for ip in tables}
    for heartbeat in range(40):
        for ip, table in sorted(tables.items(), key=lambda item: phases[item[0]]):
            now = 100.0 + INTERVAL_S * (heartbeat + phases[ip])
            table.record_heartbeat(now, READY)
            region = {zone for zone in range(ZONES) if zone % 2 == table.local_member.zone % 2}
            for target in table.heartbeat_targets(now, region, heartbeat, (heartbeat + ip) % 2 == 0):
                tables[target].merge(now, table.encode(now))
            if heartbeat > 10:
                oldest_s = max(oldest_s, now - min(member.last_heartbeat for member in table.members.values()))
    return oldest_s


class TestMembershipTable(unittest.TestCase):
    def test_a_relayed_row_is_as_old_as_its_heartbeat(self):
        first, second, third = (
            MembershipTable(Member(ip, 0, HAS_DISK if ip == 1 else 0, incarnation=5), 0.85) for ip in (1, 2, 3)
        )
        first.record_heartbeat(100.0, HAS_DISK | READY)
        second.merge(100.1, first.encode(100.1))
        second.record_heartbeat(102.0, READY)
        third.record_heartbeat(102.5, READY)
        self.assertTrue(third.merge(102.5, second.encode(102.5)))
        self.assertEqual([member.ip for member in third.live_members(102.5, READY)], [3, 2, 1])
        # three seconds after its heartbeat
        self.assertEqual([member.ip for member in third.live_members(103.2)], [3, 2])
        self.assertEqual(third.unreachable_ips(103.2), [1])

    def test_a_retained_member_is_kept_and_another_is_removed(self):
        table = MembershipTable(Member(3, 0, 0, incarnation=5), 0.85)
        for ip in (1, 2):
            table.add_member(ip, 0, 0)
            table.members[ip].last_heartbeat = 100.0
        table.retained_ips = {1}
        table.record_heartbeat(200.0, READY)
        self.assertEqual(sorted(table.members), [1, 3])

    def test_a_restart_outranks_a_delayed_row_of_the_earlier_incarnation(self):
        table = MembershipTable(Member(1, 0, 0, incarnation=5), 3.0)
        earlier = MembershipTable(Member(2, 0, 0, incarnation=1), 3.0)
        earlier.record_heartbeat(10.0, READY)
        table.merge(10.0, earlier.encode(10.0))
        restarted = MembershipTable(Member(2, 0, 0, incarnation=9), 3.0)
        restarted.record_heartbeat(11.0, 0)
        table.merge(11.0, restarted.encode(11.0))
        self.assertEqual((table.members[2].incarnation, table.members[2].flags), (9, 0))
        earlier.record_heartbeat(11.0, READY)
        table.merge(11.1, earlier.encode(11.0))
        self.assertEqual(table.members[2].incarnation, 9)

    def test_heartbeats_go_to_two_members_of_the_region_and_at_times_to_one_elsewhere(self):
        table = MembershipTable(Member(1, 0, 0, incarnation=5), 3.0)
        others = [MembershipTable(Member(ip, 0, 0, incarnation=1), 3.0) for ip in range(2, 12)]
        for other in others:
            other.record_heartbeat(10.0, READY)
            table.merge(10.0, other.encode(10.0))
        table.record_heartbeat(10.0, READY)
        self.assertEqual([len(table.heartbeat_targets(10.0, {0}, 0, is_remote)) for is_remote in (False, True)], [2, 2])
        for other in others[:2]:
            other.local_member.zone = 1
            other.record_heartbeat(10.1, READY)
            table.merge(10.1, other.encode(10.1))
        self.assertEqual([len(table.heartbeat_targets(10.1, {0}, 0, is_remote)) for is_remote in (False, True)], [2, 3])

    def test_an_isolated_member_counts_the_members_of_the_last_minute(self):
        table = MembershipTable(Member(1, 0, READY, last_heartbeat=100.0), INTERVAL_S)
        for ip in range(2, 12):
            table.add_member(ip, 0, READY)
            table.members[ip].last_heartbeat = 100.0
        factors = [table.isolation_factor(now) for now in (101.0, 120.0, 170.0)]
        self.assertEqual(factors, [1.0, 11.0, 1.0])
        table.record_heartbeat(120.0, READY)  # 11 known, only itself live
        self.assertEqual(table.isolation_factor(120.0), 11.0)

    def test_rows_reach_every_member_before_any_counts_as_failed(self):
        for count in (11, 40, 82):
            with self.subTest(count):
                tables = ready_tables(count)
                self.assertLess(oldest_row_s(tables), tables[1].failure_timeout_s)
