"""Scenarios of a whole site: each holds, and breaks its rule once the defence that it is about is taken out."""

import logging
import unittest
from unittest import mock

from mapleline.balancer.control import commands, state
from mapleline.balancer.control.consensus import Acceptor
from mapleline.balancer.membership.table import MembershipTable
from mapleline.balancer.proxy import outcome
from mapleline.balancer.proxy.endpoint_selection import EndpointSelection
from mapleline.balancer.proxy.slow_start import SlowStart
from mapleline.policy.window import TenantLimit
from mapleline.simulation.final_fault import RESTART_S, FinalFault, check_read_back
from mapleline.simulation.history import Acknowledged
from mapleline.simulation.invariants import Rule
from mapleline.simulation.runner import RunOptions, run_scenario
from mapleline.simulation.scenario import LARGE_SITE, SMALL_SITE, ZONES, Scenario

from . import mutants


def no_faults(scenario):
    """Traffic alone."""


def keys_revoked_behind_a_partition(scenario):
    """Isolate one ingress; keys are revoked, and its clients go on with them."""
    machines = list(scenario.world.machines.values())
    isolated = next(machine for machine in machines if machine.disk is None)
    scenario.faults.partition([isolated], machines, 9.0)

    def revoke_key(tenant):
        scenario.operators.replace_configuration(revoke=tenant, at=scenario.world.control_replicas[0])

    for index, tenant in enumerate(("t1", "t2")):
        scenario.world.after(0.5 + index, revoke_key, tenant)


def restarted_zone(scenario):
    """Restart a zone's servers under many short requests."""
    scenario.world.service_time_s = dict.fromkeys(scenario.world.service_time_s, 0.05)
    scenario.clients.load_factors["t4"] = 40.0  # it has no limit
    scenario.faults.restart_servers([server for server in scenario.world.servers.values() if server.zone == "a1"])


def slow_disks(scenario):
    """Let no disk answer until well after the last change was sent."""
    for machine in scenario.world.control_replicas:
        machine.disk.hangs_until = scenario.world.now + 5.0


def evacuated_zone(scenario):
    """Evacuate a zone."""
    scenario.operators.evacuate("a1", 9.0)


def overloading_tenant(scenario):
    """Let a tenant send many times its usual load."""
    scenario.clients.load_factors["t1"] = 8.0


def lost_server_responses(scenario):
    """Lose responses of servers to requests that have run."""
    for server in scenario.world.servers.values():
        server.response_loss_rate = 0.1


def overloaded_servers(scenario):
    """Send twice what the servers can serve."""
    lost_server_responses(scenario)
    scenario.clients.load_factors["t4"] = 30.0


def concurrent_configurations(scenario):
    """Let two operators change the configuration at once, and repeat older changes."""
    for index in range(6):
        scenario.world.after(0.3 + index, scenario.operators.replace_at_two_machines)
        scenario.world.after(0.9 + index, scenario.operators.repeat_older)


SEED = 3


class TestScenarios(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def holds(self, schedule, duration_s=6.0, final_fault=FinalFault.NONE, load=1.0):
        result = run_scenario(SEED, schedule, RunOptions(duration_s, final_fault, load))
        self.assertEqual(result.violations, [])
        return result.scenario

    def breaks(self, rule, schedule, mutant, duration_s=6.0, final_fault=FinalFault.NONE, load=1.0):
        """Check that the rule holds, and is found broken with the defence taken out."""
        self.holds(schedule, duration_s, final_fault, load)
        with mutant:
            violations = run_scenario(SEED, schedule, RunOptions(duration_s, final_fault, load)).violations
        self.assertIn(rule, {violation.rule for violation in violations}, violations[:3])

    def test_random_faults_break_no_rule(self):
        for seed, size in ((11, SMALL_SITE), (12, SMALL_SITE), (13, LARGE_SITE)):
            result = run_scenario(seed, options=RunOptions(size=size))
            self.assertEqual(result.violations, [], f"seed {seed}")

    def test_all_requests_are_served_without_faults(self):
        scenario = self.holds(no_faults, 10.0)
        attempts = [a for a in scenario.history.attempts.values() if 1007.0 < a.sent_at < 1013.0]
        ended = [attempt.status for attempt in attempts if attempt.status not in (401, 429)]
        self.assertGreater(ended.count(200) / len(ended), 0.99)
        asked = [at for at, _ in scenario.world.platform.list_calls if 1006.0 < at < 1016.0]
        self.assertLess(len(asked), 14)  # one asks the platform, each 0.8 s
        self.assertEqual(len(ZONES), len({m.zone for m in scenario.world.control_replicas}))

    def test_a_revoked_key_is_rejected_by_an_isolated_ingress(self):
        mutant = mutants.grant_every_read_lease()
        self.breaks(Rule.CONFIGURATION, keys_revoked_behind_a_partition, mutant, 10.0, load=3.0)

    def test_acknowledged_changes_survive_the_power_loss_of_all_and_a_wiped_disk(self):
        self.breaks(Rule.LOST, slow_disks, mutants.respond_before_writing(), 1.0, FinalFault.KILL)

    def test_a_change_on_a_single_disk_is_not_acknowledged(self):
        def lost():
            scenario = Scenario(SEED)
            world = scenario.world
            scenario.begin()
            first = next(
                m for m in world.control_replicas if m.node.control_plane.monitor.coordinator(world.now) == m.ip
            )
            for machine in world.control_replicas:
                machine.disk.hangs_until = 0.0 if machine is first else world.now + 9.0
            scenario.operators.replace_configuration(at=first)
            world.run(1.5)
            scenario.faults.kill(list(world.machines.values()), 0.5)
            first.wipe_disk()
            world.run(RESTART_S)
            return check_read_back(scenario)

        self.assertEqual(lost(), [])
        with mock.patch.object(state, "has_majority", lambda voters, heard: bool(heard)):
            self.assertIs(lost()[0].rule, Rule.LOST)

    def test_the_configuration_in_force_never_goes_back(self):
        def replaced(held, version, content):
            confirmed = state.ConfigurationRef(version, content)
            return state.remember_version(held, confirmed, confirmed), True

        self.breaks(
            Rule.CONFIGURATION,
            concurrent_configurations,
            mock.patch.object(commands, "replace_configuration", replaced),
        )

    def test_the_others_tolerate_a_loss_again_after_a_replica_was_removed(self):
        def schedule(scenario):
            world = scenario.world
            removed, killed, *_ = world.control_replicas

            def sample_voters():
                running = [machine for machine in world.machines.values() if machine.is_running]
                voters.extend(machine.node.control_plane.committed.voter_ips() for machine in running)

            scenario.faults.kill([removed], 60.0)
            world.after(3.0, scenario.operators.remove_replica, removed)
            world.after(5.0, scenario.faults.kill, [killed], 4.0)
            world.after(6.0, sample_voters)
            world.after(6.0, scenario.operators.replace_configuration, None, world.control_replicas[2])

        voters = []
        scenario = self.holds(schedule, 8.0)
        acknowledged = [(round(ack.at), ack.subject) for ack in scenario.history.acknowledgements]
        self.assertIn((1012, Acknowledged.CONFIGURATION), acknowledged)  # of four, two would be too few
        self.assertEqual({len(known) for known in voters}, {3})

    def test_a_full_disk_catches_up_once_it_has_room(self):
        def schedule(scenario):
            disk = scenario.world.control_replicas[0].disk
            disk.refuses_writes = True
            scenario.world.after(1.0, scenario.operators.replace_configuration)
            scenario.world.after(3.0, setattr, disk, "refuses_writes", False)

        scenario = self.holds(schedule, 10.0)
        kept = [Acceptor(replica.disk.record).chosen_state for replica in scenario.world.control_replicas]
        self.assertEqual({state.config.version for state in kept}, {scenario.operators.version})

    def test_every_machine_fetches_a_configuration_from_control_replicas(self):
        def schedule(scenario):
            receiver = next(machine for machine in scenario.world.machines.values() if machine.disk is None)
            # between two heartbeats: one might bring the state first
            scenario.world.after(2.2, scenario.operators.replace_configuration, None, receiver)

        scenario = self.holds(schedule, 5.0, load=0.3)
        calls = scenario.world.network.calls
        sources = [target for at, _, target, kind in calls if kind == "FetchState" and at > 1008.1]
        diskless = {machine.name for machine in scenario.world.machines.values() if machine.disk is None}
        self.assertEqual({source.partition("-")[0] for source in sources if source not in diskless}, set(ZONES))
        self.assertFalse([source for source in sources if source in diskless])
        [acknowledgement] = [ack for ack in scenario.history.acknowledgements if ack.at > 1007.0]
        first = {
            name: min(
                sample.at
                for sample in scenario.history.configurations
                if sample.machine == name and sample.version >= acknowledgement.version
            )
            for name in scenario.world.machines
        }
        self.assertLess(max(first.values()) - 1008.2, 0.4)

    def test_the_endpoint_list_is_fresh_though_its_leader_is_cut_off_from_the_replicas(self):
        def schedule(scenario):
            world = scenario.world
            leader = next(m for m in world.machines.values() if m.node.leadership.is_leader)
            leaders.append(leader)
            scenario.faults.partition([leader], world.control_replicas, 5.0)

            def sample_list_ages():
                ages.extend(world.now - m.node.endpoints.fetched_at for m in world.machines.values() if m is not leader)
                world.after(0.1, sample_list_ages)

            sample_list_ages()

        ages, leaders = [], []
        self.holds(schedule, 6.0, load=0.3)
        self.assertIsNotNone(leaders[0].disk)
        self.assertLess(max(ages), 2.6)  # and the time to reach all: under `drain_timeout`

    def test_slow_start_evacuation_and_home_regions(self):
        self.breaks(
            Rule.FAILBACK,
            restarted_zone,
            mock.patch.object(SlowStart, "is_warming_up", lambda *_: False),
            4.0,
            load=2.0,
        )
        self.breaks(
            Rule.EVACUATION,
            evacuated_zone,
            mock.patch.object(commands, "set_evacuation", lambda held, zone, begin: held),
            9.0,
        )
        self.breaks(
            Rule.HOME, no_faults, mock.patch.object(EndpointSelection, "_allowed_regions", lambda *_: None), 1.0
        )

    def test_an_isolated_ingress_admits_no_more_than_its_quota_share(self):
        def isolated_ingress(scenario):
            scenario.clients.load_factors["t1"] = 8.0
            machines = list(scenario.world.machines.values())
            isolated = machines[-1]
            scenario.faults.partition([isolated], machines, 9.0)
            scenario.clients.sticky_machines["b2"] = [isolated]

        self.breaks(
            Rule.QUOTA,
            isolated_ingress,
            mock.patch.object(MembershipTable, "isolation_factor", lambda *_: 1.0),
            9.0,
            load=3.0,
        )

    def test_quotas_and_requests_that_may_have_run(self):
        self.breaks(Rule.QUOTA, overloading_tenant, mock.patch.object(TenantLimit, "excess_wait_s", lambda *_: None))
        self.breaks(Rule.TWICE, lost_server_responses, mock.patch.object(outcome, "may_retry", lambda *_: True), 10.0)
        self.breaks(Rule.REFUSED, lost_server_responses, mock.patch.object(outcome, "final_status", lambda *_: 503))
