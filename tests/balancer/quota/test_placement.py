"""The choice of a shard's replicas, and of the peers that counts are shared with.

Guards against replicas that are lost together with one region or zone, against consulting a replica that does not
answer, and against counts that stay unknown to a node that is asked in place of a suspected replica.
"""

import unittest
from unittest import mock

from mapleline.balancer.membership.member import Member, MemberFlags
from mapleline.balancer.membership.table import MembershipTable
from mapleline.balancer.quota.placement import (
    MAX_MISSES,
    MAX_PREFERRED_PEERS,
    SHARDS_PER_ZONE,
    SUSPECT_S,
    VIEW_MAX_AGE_S,
    Candidate,
    ReplicaPlacement,
    choose_replicas,
    rank_candidates,
    shard_of,
)

REGIONS = ("east", "east", "west")
REGION_BY_ZONE = {"a1": "a", "a2": "a", "b1": "b", "b2": "b"}


class TestChooseReplicas(unittest.TestCase):
    def test_replicas_are_in_different_regions(self):
        candidates = [Candidate(ip, ip % 3, REGIONS[ip % 3], has_disk=False) for ip in range(1, 10)]
        for shard in range(5):
            first, second = choose_replicas(rank_candidates(shard, "", candidates))
            self.assertNotEqual(REGIONS[first % 3], REGIONS[second % 3])

    def test_in_one_region_replicas_are_in_different_zones_and_without_a_disk(self):
        candidates = [Candidate(ip, ip % 2, "east", has_disk=ip < 3) for ip in range(1, 10)]
        for shard in range(5):
            first, second = choose_replicas(rank_candidates(shard, "east", candidates))
            self.assertNotEqual(first % 2, second % 2)
            self.assertGreater(min(first, second), 2)

    def test_in_one_zone_there_is_one_replica(self):
        candidates = [Candidate(1, 0, "east", has_disk=True), Candidate(2, 0, "east", has_disk=False)]
        self.assertEqual(len(choose_replicas(rank_candidates(0, "", candidates))), 1)


class TestReplicaPlacement(unittest.TestCase):
    HISTORY_S = 5.5
    HOME_REGIONS = ()

    def setUp(self):
        self.now = 100.0
        clock = mock.Mock(seconds=lambda: self.now)
        settings = mock.Mock(zones=REGION_BY_ZONE, zone="a1", region="a")
        self.membership = MembershipTable(Member(1, 0, 0, 1, 1, 1e9), 0.5)
        for ip in range(2, 13):
            self.membership.members[ip] = Member(ip, ip % 4, 0, 1, 1, 1e9)
        self.placement = ReplicaPlacement(clock, settings, self.membership, self.HISTORY_S)

    def suspect(self, ip):
        for _ in range(MAX_MISSES):
            self.placement.suspects.record_miss(ip)

    def ranked(self, tenant):
        candidates = [
            Candidate(member.ip, member.zone, "aabb"[member.zone], has_disk=False)
            for member in self.membership.members.values()
        ]
        return [
            candidate.ip
            for candidate in rank_candidates(shard_of(tenant, SHARDS_PER_ZONE * len(REGION_BY_ZONE)), "", candidates)
        ]

    def test_a_suspected_replica_is_not_used_until_the_suspicion_ends(self):
        first, second = self.placement.replicas_of("t", self.HOME_REGIONS)
        self.suspect(first)
        self.assertNotIn(first, self.placement.replicas_of("t", self.HOME_REGIONS))
        self.now += SUSPECT_S + VIEW_MAX_AGE_S
        self.assertEqual(self.placement.replicas_of("t", self.HOME_REGIONS), [first, second])

    def test_a_node_that_leaves_is_not_used_after_the_next_refresh(self):
        first, _ = self.placement.replicas_of("t", self.HOME_REGIONS)
        self.membership.members[first].flags = int(MemberFlags.LEAVING)
        self.now += 2 * VIEW_MAX_AGE_S
        self.assertNotIn(first, self.placement.replicas_of("t", self.HOME_REGIONS))

    def test_was_replica_requires_the_whole_period_and_ignores_suspicions(self):
        first, second = self.placement.replicas_of("t", self.HOME_REGIONS)
        self.suspect(first)
        self.assertTrue(self.placement.was_replica(first, "t", self.HOME_REGIONS))
        self.membership.members[first].flags = int(MemberFlags.LEAVING)
        self.now += 1.0
        new = next(ip for ip in self.placement.replicas_of("t", self.HOME_REGIONS) if ip != second)
        self.assertFalse(self.placement.was_replica(new, "t", self.HOME_REGIONS))
        self.now += self.HISTORY_S - 0.1
        self.assertFalse(self.placement.was_replica(new, "t", self.HOME_REGIONS))
        self.now += 0.2
        self.assertTrue(self.placement.was_replica(new, "t", self.HOME_REGIONS))

    def test_a_replica_shares_counts_with_the_other_one_even_while_suspecting_it(self):
        tenant = next(f"t{n}" for n in range(99) if self.placement.replicas_of(f"t{n}", self.HOME_REGIONS)[0] == 1)
        other = self.placement.replicas_of(tenant, self.HOME_REGIONS)[1]
        self.assertEqual(self.placement.peers_of(tenant, self.HOME_REGIONS), [other])
        self.suspect(other)
        self.assertIn(other, self.placement.peers_of(tenant, self.HOME_REGIONS))

    def test_a_node_that_is_not_a_replica_shares_counts_with_nodes_that_the_shard_prefers(self):
        tenants = (f"t{number}" for number in range(99))
        tenant = next(name for name in tenants if 1 not in self.placement.replicas_of(name, self.HOME_REGIONS))
        rank = self.ranked(tenant).index(1)
        peers = self.placement.peers_of(tenant, self.HOME_REGIONS)
        preferred = self.ranked(tenant)[:rank][-MAX_PREFERRED_PEERS:]
        self.assertEqual(set(peers), {*self.placement.replicas_of(tenant, self.HOME_REGIONS), *preferred})
