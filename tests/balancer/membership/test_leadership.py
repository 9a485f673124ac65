"""Leader election: no term may have two leaders, and a leader that shuts down must have a successor."""

import unittest

from mapleline.balancer.membership.leadership import Leadership, choose_successor
from mapleline.balancer.membership.member import Member, MemberFlags

VOTERS = [1, 2, 3, 4]


class TestLeadership(unittest.TestCase):
    def test_a_majority_elects_a_leader_and_the_leader_names_its_successor(self):
        first, second, third = Leadership(1), Leadership(2), Leadership(3)
        term = first.start_election()
        won = [first.receive_vote(term, voter, VOTERS) for voter in (1, 9, 2, 2, 3)]
        self.assertEqual(won, [False, False, False, False, True])
        self.assertTrue(second.observe_leader(first.term, first.leader_ip))
        self.assertFalse(second.observe_leader(first.term, first.leader_ip))
        first.transfer_leadership(3)
        first.transfer_leadership(2)  # has no effect: it is not the leader any more
        self.assertTrue(second.observe_leader(first.term, first.leader_ip))
        self.assertTrue(third.observe_leader(first.term, first.leader_ip))
        self.assertTrue(third.is_leader)
        self.assertFalse(third.observe_leader(2, 1))  # a delayed message with an older term

    def test_a_voter_that_knows_a_live_leader_grants_no_vote(self):
        voter = Leadership(2)
        voter.observe_leader(2, 3)
        self.assertFalse(voter.grant_vote(voter.start_election(), is_leader_lost=False))

    def test_a_voter_votes_once_per_term(self):
        voter = Leadership(2)
        voter.observe_leader(2, 3)
        self.assertTrue(voter.grant_vote(3, is_leader_lost=True))
        self.assertFalse(voter.grant_vote(3, is_leader_lost=True))

    def test_two_candidates_of_one_term_never_both_win(self):
        members = {ip: Leadership(ip) for ip in VOTERS}
        terms = {ip: members[ip].start_election() for ip in (1, 2)}
        for voter, requests in ((1, (1, 2)), (2, (2, 1)), (3, (1, 2)), (4, (2, 1))):
            for candidate in requests:
                if members[voter].grant_vote(terms[candidate], is_leader_lost=True):
                    members[candidate].receive_vote(terms[candidate], voter, VOTERS)
        self.assertEqual(
            [members[ip].is_leader for ip in (1, 2)], [False, False]
        )  # each has two of four votes, no majority
        self.assertGreater(members[1].start_election(), terms[1])


class TestChooseSuccessor(unittest.TestCase):
    def test_members_with_a_disk_come_first_then_the_ring_decides(self):
        candidates = [Member(5, 0, 0), Member(6, 0, MemberFlags.HAS_DISK), Member(7, 0, MemberFlags.HAS_DISK)]
        self.assertEqual(choose_successor(candidates), 7)

    def test_without_candidates_there_is_none(self):
        self.assertEqual(choose_successor([]), 0)
