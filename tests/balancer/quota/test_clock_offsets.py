"""Clock offsets between counter replicas.

Guards against shifting a peer's rows by a wrong number of slots: because the offset changes while both processes run,
because it outlives a restart of the peer, or because the peer never gets the time of day.
"""

import unittest
from unittest import mock

from mapleline.balancer.quota.clock_offsets import MAX_TIMES_SENT, ClockOffsets
from mapleline.balancer.quota.slots import SlotClock

PEER = 7


class TestClockOffsets(unittest.TestCase):
    def setUp(self):
        self.incarnation = 1
        membership = mock.Mock(incarnation=lambda ip: self.incarnation)
        slots = SlotClock(mock.Mock(seconds=lambda: 50.0), lambda: 1000.0, 5.0)
        self.offsets = ClockOffsets(membership, slots)

    def test_each_incarnation_is_sent_the_time_of_day_in_a_few_messages(self):
        for _ in range(2):
            sent_ms = [self.offsets.unix_ms_for(PEER) for _ in range(MAX_TIMES_SENT + 2)]
            self.assertEqual(sent_ms, [1_000_000] * MAX_TIMES_SENT + [0, 0])
            self.incarnation += 1

    def test_an_offset_is_measured_once_per_incarnation_and_kept(self):
        self.assertEqual(self.offsets.offset_of(PEER, 0), 0)
        self.assertEqual(self.offsets.offset_of(PEER, 970_000), 60)
        self.assertEqual(self.offsets.offset_of(PEER, 960_000), 60)
        self.assertEqual(self.offsets.offset_of(PEER, 0), 60)
        self.incarnation += 1
        self.assertEqual(self.offsets.offset_of(PEER, 0), 0)
        self.assertEqual(self.offsets.offset_of(PEER, 1_000_200), 0)  # less than half a slot
