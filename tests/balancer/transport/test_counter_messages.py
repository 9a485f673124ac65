"""Messages of the quota counters that are duplicated, delayed or reordered must not change a counter's value.

Each test also disables the protection and checks that the fault then shows.
"""

import random
import unittest
from itertools import permutations
from unittest import mock

from mapleline.balancer.membership.table import MembershipTable
from mapleline.balancer.quota.client import QuotaClient
from mapleline.balancer.quota.counters import CounterTable, Operation
from mapleline.balancer.settings import Bounds
from mapleline.balancer.transport.messages import CounterValue
from tests.balancer.transport.fences import INCREMENT, make_fence


class TestCounters(unittest.TestCase):
    """A counter's value does not depend on the number, delay or order of the messages."""

    FIRST, SECOND, CLIENT = 1 << 32 | 10, 2 << 32 | 20, 9 << 32 | 90  # session keys

    def test_an_increment_and_its_reversal_commute(self):
        def values_in_any_order():
            values = set()
            steps = ["add", "add", "revert", "revert", "add another"]
            for order in set(permutations(steps)) | set(permutations(steps[2:])):  # or the addition never comes
                table = CounterTable(self.FIRST)
                table.add(Operation(self.CLIENT, 1), "t", 8, 1.0)
                for step in order:
                    if step == "revert":
                        table.revert(Operation(self.CLIENT, 2), "t")
                    else:
                        table.add(Operation(self.CLIENT, 2 if step == "add" else 3), "t", 8, 1.0)
                values.add(table.read("t", 8).current)
            return values

        def revert_blindly(table, operation, tenant):
            table.add(Operation(operation.sender, operation.nonce + 1000), tenant, 8, -1.0)

        self.assertEqual(values_in_any_order(), {2.0})
        with mock.patch.object(CounterTable, "revert", revert_blindly):
            self.assertGreater(len(values_in_any_order()), 1)

    def test_duplicated_and_reordered_rows_count_once_also_those_of_a_restarted_replica(self):
        def values_after_random_messages(seed, session_keys):
            rng = random.Random(seed)
            replicas, sent, nonce = {1: CounterTable(session_keys[0]), 2: CounterTable(self.SECOND)}, [], 0
            for step in range(40):
                if step == 20:
                    sent += [(2, replicas[1].updates_for(0.0, 2, {"t"}, complete=True))]  # all, before its restart
                    replicas[1] = CounterTable(session_keys[1])
                nonce += 1
                replicas[rng.choice((1, 2))].add(Operation(self.CLIENT, nonce), "t", 8, 1.0)
                receiver = rng.choice((1, 2))
                sent.append((receiver, replicas[3 - receiver].updates_for(0.0, receiver, {"t"}, complete=True)))
                for _ in range(rng.randrange(3)):
                    receiver, parts = rng.choice(sent)
                    replicas[receiver].merge(parts, 8)
            for receiver, parts in rng.sample(sent, len(sent)):
                replicas[receiver].merge(parts, 8)
            for receiver in (2, 1, 2):
                replicas[receiver].merge(replicas[3 - receiver].updates_for(0.0, receiver, {"t"}, complete=True), 8)
            return {table.read("t", 8).current for table in replicas.values()}

        for seed in range(20):
            self.assertEqual(values_after_random_messages(seed, (self.FIRST, self.FIRST + 1)), {40.0}, f"seed {seed}")
        keyed_by_address = [values_after_random_messages(seed, (self.FIRST, self.FIRST)) for seed in range(20)]
        self.assertTrue([found for found in keyed_by_address if found != {40.0}])

    def test_increments_of_a_restarted_client_with_the_nonces_of_its_predecessor_count(self):
        def total(key):
            with mock.patch.object(MembershipTable, "session_key", key):
                client, replica = make_fence(1, 10), make_fence(2, 20)
                quota_client = QuotaClient(
                    mock.Mock(seconds=lambda: 0.0),
                    mock.Mock(zones={"z1": "r1"}, protocol_bounds=Bounds()),
                    mock.Mock(unix_time=lambda: 1.0),
                    replica.membership,
                    lambda tenant: None,
                )
                for sender in (client, client, make_fence(1, 11)):
                    message, _ = replica.receive_datagram(1, sender.stamp_datagram(2, INCREMENT))
                    quota_client.receive(1, message)
                slot = quota_client.slots.current()
                return quota_client.replica.table.read("t", slot, own=True).current

        self.assertEqual(total(MembershipTable.session_key), 2.0)
        self.assertEqual(total(lambda self, ip: ip), 1.0)

    def test_a_restarted_replica_is_sent_everything_at_once(self):
        table, row_counts = CounterTable(self.FIRST), []
        table.add(Operation(self.CLIENT, 1), "t", 8, 1.0)
        table.add(Operation(self.CLIENT, 2), "t", 8, 1.0)
        for now, key in ((0.0, self.SECOND), (0.01, self.SECOND), (0.02, self.SECOND + 1), (0.03, self.SECOND + 1)):
            row_counts.append(len(table.updates_for(now, key, {"t"})))
        self.assertEqual(row_counts, [1, 0, 1, 0])

    def test_a_value_counts_only_from_a_replica_that_was_asked(self):
        quota_client = QuotaClient(
            mock.Mock(seconds=lambda: 0.0),
            mock.Mock(zones={"z1": "r1"}, protocol_bounds=Bounds()),
            mock.Mock(unix_time=lambda: 1.0),
            make_fence(1, 10, {2: 20, 3: 30}).membership,
            lambda tenant: None,
        )
        got, tenant_limit = [], mock.Mock(limit=5.0, window_slots=2)
        tenant_limit.name = "t"
        request = mock.Mock(
            tenant_limit=tenant_limit, home_regions=[], on_answer=lambda answer: got.append(answer) or True
        )
        quota_client.placement.replicas_of = lambda *_: [2]
        quota_client.consult(request)
        for ip, nonce in (
            (3, quota_client.nonce),
            (2, quota_client.nonce - 1),
            (2, quota_client.nonce),
            (2, quota_client.nonce),
        ):
            quota_client.receive(ip, CounterValue(nonce, 1.0, 2.0, 500, 4))
        self.assertEqual(got, [(1.0, 2.0, 0.5, 4.0)])
