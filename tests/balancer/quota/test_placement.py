"""The choice of a shard's replicas."""

import unittest

from mapleline.balancer.quota.placement import Candidate, choose_replicas

REGIONS = ("east", "east", "west")


class TestChooseReplicas(unittest.TestCase):
    def test_replicas_are_in_different_regions(self):
        candidates = [Candidate(ip, ip % 3, REGIONS[ip % 3], has_disk=False) for ip in range(1, 10)]
        for shard in range(5):
            first, second = choose_replicas(shard, "", candidates)
            self.assertNotEqual(REGIONS[first % 3], REGIONS[second % 3])

    def test_in_one_region_replicas_are_in_different_zones_and_without_a_disk(self):
        candidates = [Candidate(ip, ip % 2, "east", has_disk=ip < 3) for ip in range(1, 10)]
        for shard in range(5):
            first, second = choose_replicas(shard, "east", candidates)
            self.assertNotEqual(first % 2, second % 2)
            self.assertGreater(min(first, second), 2)

    def test_in_one_zone_there_is_one_replica(self):
        candidates = [Candidate(1, 0, "east", has_disk=True), Candidate(2, 0, "east", has_disk=False)]
        self.assertEqual(len(choose_replicas(0, "", candidates)), 1)
