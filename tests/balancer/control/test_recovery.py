"""A control replica that comes back recovers in the same time whatever was changed, and never with old votes."""

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

STATE_COPIES = 24  # of the state, sent to and fro in two changes of the voters
MAX_STATE_GROWTH_BYTES = 8000  # from 10 changes to 1,000: a state remembers 512 versions at most
SEEDS_OF_A_ROLLBACK = range(11, 17)


class RecoveryCase(unittest.TestCase):
    """Without the log."""

    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)


class TestRecovery(RecoveryCase):
    def test_time_bytes_and_calls_do_not_grow_with_the_number_of_changes(self):
        """After 10, 100, 600 and 1,000: what is fetched is the state, which remembers 512 versions at most."""
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
        """Return what it takes a machine that was killed, and is at least one change behind, to recover."""
        machine.kill()
        if kind == "wiped":
            machine.wipe_disk()
        cluster.replace_configuration(1)
        if kind == "away":
            cluster.world.run(12.0)  # until it has lost its vote
        return cluster.recover(machine)

    def test_a_replica_that_missed_three_hundred_changes_fetches_the_newest_state_alone(self):
        cluster = RecoveryCluster(7)
        machine = cluster.machines[0]
        cluster.replace_configuration(2)
        machine.kill()
        cluster.replace_configuration(300)
        cost = cluster.recover(machine)
        self.assertLess(cost.seconds, 4.0)
        self.assertLess(cost.bytes, 12 * CONFIGURATION_BYTES)  # not 300 of them
        self.assertEqual(machine.node.proxy.table.version, 303)

    def test_replicas_that_all_lose_power_after_many_changes_go_on_with_the_last(self):
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

    def test_disks_that_are_lost_one_after_the_other_all_get_their_votes_again(self):
        """Each is lost as soon as the last has recovered, while its old disk was reported a moment ago."""
        for seed in range(31, 39):
            with self.subTest(seed=seed):
                cluster = RecoveryCluster(seed, THREE_MACHINES)
                cluster.replace_configuration(2)
                for nth in range(9):
                    machine = cluster.machines[nth % 3]
                    machine.kill()
                    machine.wipe_disk()
                    self.assertLess(cluster.recover(machine).seconds, 6.0)
                cluster.replace_configuration(1)


class TestUpgrade(RecoveryCase):
    def has_states(self, fault):
        """Return on which of the machines there is a state, where each finds such a fault in its folder."""
        world = World(9, Topology(ZONES, stateless_per_zone=0))
        for machine in world.control_replicas:
            machine.disk.load = lambda: LoadedSnapshot(None, {}, [fault])
        world.start()
        world.run(8.0)
        return {machine.node.control_plane.state is not None for machine in world.control_replicas}

    def test_machines_with_folders_of_the_legacy_format_bootstrap_a_system(self):
        """Nothing in these folders has voted on a state of this format."""
        fault = FileFault("core, r-636f6e666967", migration.LEGACY_FAULT, is_legacy=True)
        self.assertEqual(self.has_states(fault), {True})

    def test_machines_with_torn_folders_do_not_bootstrap_a_system(self):
        """What was there may have voted."""
        fault = FileFault("core, r-636f6e666967", "torn, empty or foreign")
        self.assertEqual(self.has_states(fault), {False})


class TestRollback(RecoveryCase):
    """A machine whose folder is put back as it was earlier, under the same identity."""

    def test_a_rolled_back_replica_never_votes_or_proposes_and_is_let_in_as_another(self):
        for seed in SEEDS_OF_A_ROLLBACK:
            for position in (0, -1):  # the coordinator, and who would be the last to coordinate
                with self.subTest(seed=seed, position=position):
                    self.check_rollback_of(RecoveryCluster(seed), position)

    def check_rollback_of(self, cluster, position):
        cluster.replace_configuration(5)
        began_at = cluster.world.now
        machine = sorted(cluster.machines, key=ring_position)[position]
        other = next(other for other in cluster.machines if other is not machine)
        replica = RolledBackReplica(cluster, machine)
        cluster.replace_configuration(20, at=other)  # ballots go out all the while
        cluster.world.run(8.0)
        self.assertGreater(cluster.world.now, began_at)
        self.assertEqual((replica.votes, replica.ballots), ([], []))
        disk_id = machine.disk.record.disk_id
        self.assertNotEqual(disk_id, replica.old_disk_id)
        self.assertTrue(cluster.is_recovered(machine))
        voters = cluster.machines[0].node.control_plane.state.voters
        self.assertIn((machine.ip, disk_id), {(voter.ip, voter.disk_id) for voter in voters})

    def test_a_replica_does_not_take_up_the_folder_of_another_machine(self):
        cluster = RecoveryCluster(13)
        cluster.replace_configuration(5)
        machine, other, *_ = cluster.machines
        machine.kill()
        machine.disk.record, machine.disk.contents = other.disk.record, dict(other.disk.contents)
        cluster.recover(machine)
        others = [other for other in cluster.machines if other is not machine]
        self.assertNotIn(machine.disk.record.disk_id, {other.disk.record.disk_id for other in others})
        self.assertEqual(machine.disk.record.ip, machine.ip)

    def test_without_the_confirmation_of_peers_a_rolled_back_replica_would_vote(self):
        always_verified = property(lambda self: True, lambda self, value: None)
        without_confirmation = mock.patch.object(LocalReplica, "is_verified", always_verified, create=True)
        found = []
        for seed in SEEDS_OF_A_ROLLBACK:
            cluster = RecoveryCluster(seed)
            cluster.replace_configuration(5)
            coordinator = min(cluster.machines, key=ring_position)
            other = next(machine for machine in cluster.machines if machine is not coordinator)
            with without_confirmation, mock.patch.object(LocalReplica, "check_rollback"):
                replica = RolledBackReplica(cluster, coordinator)
                cluster.replace_configuration(20, at=other)
            found += replica.votes + replica.ballots
        self.assertTrue(found)

    def test_nothing_acknowledged_is_lost_when_a_replica_that_has_it_fails_during_a_rollback(self):
        """Of three: the second of two that have the newest state is away while the first comes back with an old one."""
        for seed in range(21, 27):
            with self.subTest(seed=seed):
                cluster = RecoveryCluster(seed, THREE_MACHINES)
                cluster.replace_configuration(5)
                machine, informed, _ = cluster.machines
                replica = RolledBackReplica(cluster, machine)
                cluster.world.run(0.3)
                informed.kill()
                newest = cluster.version
                cluster.world.run(4.0)
                self.assertEqual((replica.votes, replica.ballots), ([], []))
                informed.start()
                cluster.world.run(5.0)
                cluster.replace_configuration(1)
                self.assertEqual(cluster.version, newest + 1)
