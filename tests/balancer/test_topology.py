"""Members of the own zone must count as nearest, then those of the region."""

import unittest

from mapleline.balancer.membership.member import Member
from mapleline.balancer.topology import Topology


class TestTopology(unittest.TestCase):
    def setUp(self):
        self.topology = Topology(["a", "b", "c"], {"a": "east", "b": "east", "c": "west"}, "east")

    def test_local_zones_are_those_of_the_own_region(self):
        self.assertEqual(self.topology.local_zones(), {0, 1})
        self.assertTrue(self.topology.is_local(Member(1, self.topology.zone_index("b"), 0)))
        self.assertFalse(self.topology.is_local(Member(1, self.topology.zone_index("c"), 0)))

    def test_distance_orders_by_region_then_zone_then_ring_position(self):
        member = Member(1, 0, 0)
        same_zone, same_region, other_region = Member(2, 0, 0), Member(3, 1, 0), Member(4, 2, 0)
        members = [other_region, same_region, same_zone]
        nearest_first = sorted(members, key=lambda other: self.topology.distance(member, other))
        self.assertEqual(nearest_first, [same_zone, same_region, other_region])
        self.assertEqual(
            self.topology.distance(member, same_zone),
            (False, False, member.ring_position ^ same_zone.ring_position),
        )
