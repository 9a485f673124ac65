"""Tests the recovery of control replicas after restarts, wiped disks, upgrades and rollbacks of the disk.

The cost of a recovery must not depend on the number of past changes, and a rolled-back replica must never vote.
"""

import logging
import unittest
from unittest import mock

from mapleline.balancer.control import migration
from mapleline.balancer.control.replica import LocalReplica
from mapleline.balancer.control.snapshot import FileFault, LoadedSnapshot
from mapleline.balancer.transport.messages import encode
from mapleline.simulation.scenario import ZONES
from mapleline.simulation.world import Topology, World

from .recovery_cluster import (
    CONFIGURATION_BYTES,
    THREE_MACHINES,
    RecoveryCluster,
    RecoveryCost,
    RolledBackReplica,
    ring_position,
)

STATE_COPIES = 24  # copies of the state that are sent in two changes of the voters
MAX_STATE_GROWTH_BYTES = 8000  # between 10 and 1,000 changes: a state remembers 512 versions at most
ROLLBACK_SEEDS = range(11, 17)


class RecoveryCase(unittest.TestCase):
    """A test case with the log disabled."""

    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)


class TestRecovery(RecoveryCase):
    def test_time_bytes_and_calls_do_not_grow_with_the_number_of_changes(self):
        """Compare recoveries after 10, 100, 600 and 1,000 changes.

        Only the newest state is fetched, and it remembers 512 versions at most.
        """
        costs: dict[str, list[RecoveryCost]] = {"restarted": [], "wiped": [], "away": []}
        cluster = RecoveryCluster(5)
        state_sizes = []
        for changes in (10, 100, 600, 1000):
            cluster.replace_configuration(changes - cluster.version - 5)
            for kind, machine in zip(costs, cluster.machines[:3], strict=True):
                costs[kind].append(self.recovery_cost(cluster, kind, machine))
            cluster.replace_configuration(2)
            cluster.world.run(5.0)
            self.assertEqual(cluster.version, changes)
            state = cluster.machines[3].node.control_plane.state
            state_sizes.append(len(encode(state)))
            voter_ips = {voter.ip for voter in state.voters}
            self.assertEqual(voter_ips, {machine.ip for machine in cluster.machines})
        growth = state_sizes[3] - state_sizes[0]
        self.assertLess(growth, MAX_STATE_GROWTH_BYTES)
        for kind, (after_10, _, after_600, after_1000) in costs.items():
            with self.subTest(kind, costs=costs[kind]):
                self.assertLess(after_1000.seconds, after_10.seconds + 1.0)
                self.assertLess(after_1000.calls, after_10.calls + 12)
                self.assertLess(after_1000.bytes, 1.5 * after_10.bytes + STATE_COPIES * growth)
                self.assertLess(after_1000.bytes, 1.5 * after_600.bytes + CONFIGURATION_BYTES)

    def recovery_cost(self, cluster, kind, machine):
        """Return the cost of recovery of a machine that was killed and is at least one change behind."""
        machine.kill()
        if kind == "wiped":
            machine.wipe_disk()
        cluster.replace_configuration(1)
        if kind == "away":
            cluster.world.run(12.0)  # long enough for it to lose its vote
        return cluster.recover(machine)

    def test_a_replica_that_missed_three_hundred_changes_fetches_only_the_newest_state(self):
        cluster = RecoveryCluster(7)
        machine = cluster.machines[0]
        cluster.replace_configuration(2)
        machine.kill()
        cluster.replace_configuration(300)
        cost = cluster.recover(machine)
        self.assertLess(cost.seconds, 4.0)
        self.assertLess(cost.bytes, 12 * CONFIGURATION_BYTES)  # far fewer than 300 configurations
        self.assertEqual(machine.node.proxy.table.version, 303)

    def test_replicas_that_all_lose_power_continue_with_the_last_state(self):
        cluster = RecoveryCluster(8)
        cluster.replace_configuration(200)
        for machine in cluster.machines:
            machine.kill()
        cluster.machines[1].wipe_disk()
        restarted_at = cluster.world.now
        for machine in cluster.machines:
            machine.start()
        while not all(cluster.is_recovered(machine) for machine in cluster.machines):
            self.assertLess(cluster.world.now, restarted_at + 6.0)
            cluster.world.run(0.05)
        cluster.replace_configuration(1)

    def test_machines_that_lose_their_disks_in_turn_all_regain_their_votes(self):
        """Each disk is lost as soon as the previous one has recovered, shortly after a report of the old disk."""
        for seed in range(31, 39):
            with self.subTest(seed=seed):
                cluster = RecoveryCluster(seed, THREE_MACHINES)
                cluster.replace_configuration(2)
                for index in range(9):
                    machine = cluster.machines[index % 3]
                    machine.kill()
                    machine.wipe_disk()
                    self.assertLess(cluster.recover(machine).seconds, 6.0)
                cluster.replace_configuration(1)


class TestUpgrade(RecoveryCase):
    def has_states(self, fault):
        """Return the set of answers to whether a machine has a state, if each finds that fault in its folder."""
        world = World(9, Topology(ZONES, stateless_per_zone=0))
        for machine in world.control_replicas:
            machine.disk.load = lambda: LoadedSnapshot(None, {}, [fault])
        world.start()
        world.run(8.0)
        return {machine.node.control_plane.state is not None for machine in world.control_replicas}

    def test_machines_with_folders_of_the_legacy_format_bootstrap_a_system(self):
        """Legacy folders contain no vote on a state of the current format."""
        fault = FileFault("core, r-636f6e666967", migration.LEGACY_FAULT, is_legacy=True)
        self.assertEqual(self.has_states(fault), {True})

    def test_machines_with_torn_folders_do_not_bootstrap_a_system(self):
        """The replica that wrote the folder may have voted."""
        fault = FileFault("core, r-636f6e666967", "torn, empty or foreign")
        self.assertEqual(self.has_states(fault), {False})


class TestRollback(RecoveryCase):
    """Tests of a machine whose folder is restored from an older copy with the same identity."""

    def test_a_rolled_back_replica_never_votes_or_proposes_and_rejoins_as_a_new_one(self):
        for seed in ROLLBACK_SEEDS:
            for position in (0, -1):  # the coordinator, and the last machine in the order of coordinators
                with self.subTest(seed=seed, position=position):
                    self.check_rollback_of(RecoveryCluster(seed), position)

    def check_rollback_of(self, cluster, position):
        cluster.replace_configuration(5)
        began_at = cluster.world.now
        machine = sorted(cluster.machines, key=ring_position)[position]
        other = next(other for other in cluster.machines if other is not machine)
        replica = RolledBackReplica(cluster, machine)
        cluster.replace_configuration(20, preferred_machine=other)  # keeps ballots in flight
        cluster.world.run(8.0)
        self.assertGreater(cluster.world.now, began_at)
        self.assertEqual((replica.votes, replica.ballots), ([], []))
        disk_id = machine.disk.record.disk_id
        self.assertNotEqual(disk_id, replica.old_disk_id)
        self.assertTrue(cluster.is_recovered(machine))
        voters = cluster.machines[0].node.control_plane.state.voters
        self.assertIn((machine.ip, disk_id), {(voter.ip, voter.disk_id) for voter in voters})

    def test_a_replica_does_not_use_the_folder_of_another_machine(self):
        cluster = RecoveryCluster(13)
        cluster.replace_configuration(5)
        machine, other, *_ = cluster.machines
        machine.kill()
        machine.disk.record, machine.disk.contents = other.disk.record, dict(other.disk.contents)
        cluster.recover(machine)
        others = [other for other in cluster.machines if other is not machine]
        self.assertNotIn(machine.disk.record.disk_id, {other.disk.record.disk_id for other in others})
        self.assertEqual(machine.disk.record.ip, machine.ip)

    def test_without_confirmations_of_peers_a_rolled_back_replica_votes(self):
        always_verified = property(lambda self: True, lambda self, value: None)
        without_confirmation = mock.patch.object(LocalReplica, "is_verified", always_verified, create=True)
        old_votes_and_ballots = []
        for seed in ROLLBACK_SEEDS:
            cluster = RecoveryCluster(seed)
            cluster.replace_configuration(5)
            coordinator = min(cluster.machines, key=ring_position)
            other = next(machine for machine in cluster.machines if machine is not coordinator)
            with without_confirmation, mock.patch.object(LocalReplica, "check_rollback"):
                replica = RolledBackReplica(cluster, coordinator)
                cluster.replace_configuration(20, preferred_machine=other)
            old_votes_and_ballots += replica.votes + replica.ballots
        self.assertTrue(old_votes_and_ballots)

    def test_no_acknowledged_change_is_lost_if_another_replica_fails_during_a_rollback(self):
        """Two of three replicas have the newest state: one returns with an old state while the other is down."""
        for seed in range(21, 27):
            with self.subTest(seed=seed):
                cluster = RecoveryCluster(seed, THREE_MACHINES)
                cluster.replace_configuration(5)
                machine, up_to_date_machine, _ = cluster.machines
                replica = RolledBackReplica(cluster, machine)
                cluster.world.run(0.3)
                up_to_date_machine.kill()
                newest = cluster.version
                cluster.world.run(4.0)
                self.assertEqual((replica.votes, replica.ballots), ([], []))
                up_to_date_machine.start()
                cluster.world.run(5.0)
                cluster.replace_configuration(1)
                self.assertEqual(cluster.version, newest + 1)
