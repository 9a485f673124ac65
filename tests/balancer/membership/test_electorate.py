"""Votes must count for the committed voters only, and for every member while no voters are known."""

import unittest

from mapleline.balancer.membership.electorate import Electorate
from mapleline.balancer.membership.member import Member
from mapleline.balancer.membership.table import MembershipTable


class TestElectorate(unittest.TestCase):
    def setUp(self):
        self.voters: list[int] = []
        membership = MembershipTable(Member(7, 0, 0), 0.5)
        membership.members[3] = Member(3, 0, 0)
        self.electorate = Electorate(lambda: self.voters, membership)

    def test_without_committed_voters_every_member_votes(self):
        self.assertFalse(self.electorate.is_committed())
        self.assertEqual(self.electorate.addresses(), [3, 7])

    def test_committed_voters_vote_alone(self):
        self.voters = [9, 8]
        self.assertTrue(self.electorate.is_committed())
        self.assertEqual(self.electorate.addresses(), [9, 8])
