"""The simulated network: overlapping partitions, and faults that draw no random number while they are disabled."""

import random
import unittest

from mapleline.simulation.network import LateCopies, Network

REGIONS = {"a1": "a", "a2": "a", "b1": "b"}


class TestNetwork(unittest.TestCase):
    def setUp(self):
        self.rng = random.Random(7)
        self.network = Network(self.rng, REGIONS)

    def test_delays_grow_from_zone_to_region_to_other_regions(self):
        near, region, far = (self.network.delay_s("a1", zone) for zone in ("a1", "a2", "b1"))
        self.assertLess(near, region)
        self.assertLess(region, far)

    def test_partitions_overlap_and_end_one_by_one(self):
        pair = ("x", "y")
        self.network.block({pair})
        self.network.block({pair})
        self.network.unblock({pair})
        self.assertTrue(self.network.is_partitioned(*pair))
        self.assertFalse(self.network.is_partitioned("y", "x"))
        self.network.unblock({pair})
        self.assertFalse(self.network.is_partitioned(*pair))
        self.assertFalse(self.network.has_partitions)

    def test_disabled_faults_change_nothing_and_draw_no_random_number(self):
        state = self.rng.getstate()
        self.assertEqual(self.network.copies(), 1)
        self.assertEqual(self.network.extra_delay_s(), 0.0)
        self.assertIsNone(self.network.late_copy_delay_s())
        self.assertEqual(self.network.route_reply("x", b"reply"), b"reply")
        self.assertEqual(self.rng.getstate(), state)

    def test_faults_that_are_certain_happen_each_time(self):
        self.network.duplicate_rate = self.network.delayed_rate = self.network.misrouted_reply_rate = 1.0
        self.network.late_copies = LateCopies(rate=1.0, max_delay_s=4.0)
        self.assertEqual(self.network.copies(), 2)
        self.assertTrue(0.0 < self.network.extra_delay_s() <= self.network.max_extra_delay_s)
        self.assertTrue(0.01 <= self.network.late_copy_delay_s() <= 4.0)

    def test_a_misrouted_reply_is_an_earlier_one_to_the_same_receiver(self):
        self.network.misrouted_reply_rate = 1.0
        self.assertEqual(self.network.route_reply("x", b"1"), b"1")
        self.assertEqual(self.network.route_reply("y", b"2"), b"2")
        self.assertEqual(self.network.route_reply("x", b"3"), b"1")
