"""Slow-start leases: a lease never has two holders, under lost and late messages, frozen and restarted nodes.

Mutants of the protocol show that each of its rules is needed.
"""

import random
import unittest
from unittest import mock

from mapleline.balancer.proxy.slow_start_leases import LEASE_S, LeaseHolder, LeaseVoter, SlowStartLeases
from mapleline.balancer.proxy.upstream_pool import CONNECT_TIMEOUT_S
from mapleline.balancer.transport.messages import LeaseGrant
from mapleline.simulation.event_loop import EventLoop
from tests.balancer.proxy.lease_cluster import LEASE_ID, LeaseCluster

SEEDS = range(40)
OBSERVATION_ERROR_S = 0.11  # samples are 0.02 s apart, and the earlier holder's term may have begun between two
RULE_WINDOW_S = 1.0


def run_clusters():
    return [LeaseCluster(seed).run() for seed in SEEDS]


def grants_after_a_restart(self, now, owner, lease_ids, grant=LeaseVoter.grant):
    """A voter that does not wait after a restart until its earlier grants have expired."""
    self.started_at = -1e9
    return grant(self, now, owner, lease_ids)


def grants_to_all(self, now, owner, lease_ids):
    """A voter that does not remember its grants."""
    return lease_ids


def counts_from_the_grant(self, ip, grant, handle_grant=SlowStartLeases.handle_grant):
    """A holder that counts a lease from when the grant arrives instead of when the request was sent."""
    requested_at = self.holder.requested_at
    if grant.nonce in requested_at:
        requested_at[grant.nonce] = self.clock.seconds()
    handle_grant(self, ip, grant)


def is_held_by_two_grants(self, lease_id, now, voters):
    """A holder that treats two grants as a majority, also of four voters."""
    granted_at = self.granted_at.get(lease_id, {})
    return sum(now - sent_at < LEASE_S for sent_at in granted_at.values()) >= 2


class TestSlowStartLeases(unittest.TestCase):
    def test_a_lease_has_one_holder_at_a_time_and_terms_start_a_lease_apart(self):
        histories = run_clusters()
        self.assertEqual(max(history.max_holders for history in histories), 1)
        self.assertGreater(min(history.min_gap_s for history in histories), LEASE_S - OBSERVATION_ERROR_S)
        self.assertGreater(sum(history.term_count for history in histories), 60)
        # a window of the rule FAILBACK plus the time to establish a connection then overlaps two holders at most
        self.assertGreater(LEASE_S, RULE_WINDOW_S + CONNECT_TIMEOUT_S)

    def test_without_any_one_of_the_rules_a_lease_has_two_holders(self):
        for mutant in (
            mock.patch.object(LeaseVoter, "grant", grants_after_a_restart),
            mock.patch.object(LeaseVoter, "grant", grants_to_all),
            mock.patch.object(SlowStartLeases, "handle_grant", counts_from_the_grant),
            mock.patch.object(LeaseHolder, "is_held", is_held_by_two_grants),
        ):
            with self.subTest(mutant=mutant.new.__name__), mutant:
                self.assertGreater(max(history.max_holders for history in run_clusters()), 1)

    def test_a_majority_is_counted_of_the_largest_reported_number_of_voters(self):
        leases = SlowStartLeases(
            EventLoop(1000.0), 9, random.Random(1), lambda *_: None, lambda: [1, 2, 3], lambda now: [LEASE_ID], False
        )
        leases.request_leases()
        for voter, voter_count in ((1, 3), (2, 5)):
            leases.handle_grant(voter, LeaseGrant(1, voter_count, [LEASE_ID]))
        self.assertFalse(leases.is_held(LEASE_ID, 1000.0))
        leases.handle_grant(3, LeaseGrant(1, 5, [LEASE_ID]))
        self.assertTrue(leases.is_held(LEASE_ID, 1000.0))
