"""Scenarios of a whole site: each breaks no rule, and breaks its rule once the tested safeguard is disabled."""

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
    """Inject no faults: there is only traffic."""


def keys_revoked_behind_a_partition(scenario):
    """Isolate one ingress; API keys are revoked, and its clients keep using them."""
    machines = list(scenario.world.machines.values())
    isolated = next(machine for machine in machines if machine.disk is None)
    scenario.faults.partition([isolated], machines, 9.0)

    def revoke_key(tenant):
        scenario.operators.replace_configuration(revoke=tenant, at=scenario.world.control_replicas[0])

    for index, tenant in enumerate(("t1", "t2")):
        scenario.world.after(0.5 + index, revoke_key, tenant)


def restarted_zone(scenario):
    """Restart a zone's servers under a load of many short requests."""
    scenario.world.service_time_s = dict.fromkeys(scenario.world.service_time_s, 0.05)
    scenario.clients.load_factors["t4"] = 40.0  # it has no limit
    scenario.faults.restart_servers([server for server in scenario.world.servers.values() if server.zone == "a1"])


def slow_disks(scenario):
    """Make all disks hang until well after the last change was sent."""
    for machine in scenario.world.control_replicas:
        machine.disk.hangs_until = scenario.world.now + 5.0


def evacuated_zone(scenario):
    """Evacuate a zone."""
    scenario.operators.evacuate("a1", 9.0)


def overloading_tenant(scenario):
    """Make a tenant send eight times its usual load."""
    scenario.clients.load_factors["t1"] = 8.0


def lost_server_responses(scenario):
    """Lose responses of servers to requests that were executed."""
    for server in scenario.world.servers.values():
        server.response_loss_rate = 0.1


def overloaded_servers(scenario):
    """Send twice the load that the servers can handle, and lose some of their responses."""
    lost_server_responses(scenario)
    scenario.clients.load_factors["t4"] = 30.0


def concurrent_configurations(scenario):
    """Make two operators change the configuration at once, and repeat older changes."""
    for index in range(6):
        scenario.world.after(0.3 + index, scenario.operators.replace_at_two_machines)
        scenario.world.after(0.9 + index, scenario.operators.repeat_older)


SEED = 3


class TestScenarios(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def assert_holds(self, schedule, duration_s=6.0, final_fault=FinalFault.NONE, load=1.0):
        result = run_scenario(SEED, schedule, RunOptions(duration_s, final_fault, load))
        self.assertEqual(result.violations, [])
        return result.scenario

    def assert_breaks(self, rule, schedule, mutant, duration_s=6.0, final_fault=FinalFault.NONE, load=1.0):
        """Check that no rule is broken, and that `rule` is found broken under the mutant."""
        self.assert_holds(schedule, duration_s, final_fault, load)
        with mutant:
            violations = run_scenario(SEED, schedule, RunOptions(duration_s, final_fault, load)).violations
        self.assertIn(rule, {violation.rule for violation in violations}, violations[:3])

    def test_random_faults_break_no_rule(self):
        for seed, size in ((11, SMALL_SITE), (12, SMALL_SITE), (13, LARGE_SITE)):
            result = run_scenario(seed, options=RunOptions(size=size))
            self.assertEqual(result.violations, [], f"seed {seed}")

    def test_all_requests_are_served_without_faults(self):
        scenario = self.assert_holds(no_faults, 10.0)
        attempts = [attempt for attempt in scenario.history.attempts.values() if 1007.0 < attempt.sent_at < 1013.0]
        ended = [attempt.status for attempt in attempts if attempt.status not in (401, 429)]
        self.assertGreater(ended.count(200) / len(ended), 0.99)
        call_times = [at for at, _ in scenario.world.platform.list_calls if 1006.0 < at < 1016.0]
        self.assertLess(len(call_times), 14)  # one machine fetches the list every 0.8 s
        self.assertEqual(len(ZONES), len({machine.zone for machine in scenario.world.control_replicas}))

    def test_a_revoked_key_is_rejected_by_an_isolated_ingress(self):
        mutant = mutants.grant_every_read_lease()
        self.assert_breaks(Rule.CONFIGURATION, keys_revoked_behind_a_partition, mutant, 10.0, load=3.0)

    def test_acknowledged_changes_survive_a_power_loss_of_all_machines(self):
        self.assert_breaks(Rule.LOST, slow_disks, mutants.respond_before_writing(), 1.0, FinalFault.KILL)

    def test_a_change_on_a_single_disk_is_not_acknowledged(self):
        def violations_after_loss():
            scenario = Scenario(SEED)
            world = scenario.world
            scenario.begin()
            coordinator = next(
                machine
                for machine in world.control_replicas
                if machine.node.control_plane.monitor.coordinator(world.now) == machine.ip
            )
            for machine in world.control_replicas:
                machine.disk.hangs_until = 0.0 if machine is coordinator else world.now + 9.0
            scenario.operators.replace_configuration(at=coordinator)
            world.run(1.5)
            scenario.faults.kill(list(world.machines.values()), 0.5)
            coordinator.wipe_disk()
            world.run(RESTART_S)
            return check_read_back(scenario)

        self.assertEqual(violations_after_loss(), [])
        with mock.patch.object(state, "has_majority", lambda voters, heard: bool(heard)):
            self.assertIs(violations_after_loss()[0].rule, Rule.LOST)

    def test_the_configuration_in_force_never_returns_to_an_older_version(self):
        def replace_without_check(control_state, version, content):
            confirmed = state.ConfigurationRef(version, content)
            return state.remember_version(control_state, confirmed, confirmed), True

        self.assert_breaks(
            Rule.CONFIGURATION,
            concurrent_configurations,
            mock.patch.object(commands, "replace_configuration", replace_without_check),
        )

    def test_another_loss_is_tolerated_after_a_replica_was_removed(self):
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
        scenario = self.assert_holds(schedule, 8.0)
        acknowledged = [(round(ack.at), ack.subject) for ack in scenario.history.acknowledgements]
        self.assertIn((1012, Acknowledged.CONFIGURATION), acknowledged)  # two of four voters would be no majority
        self.assertEqual({len(voter_ips) for voter_ips in voters}, {3})

    def test_a_replica_catches_up_once_its_full_disk_accepts_writes(self):
        def schedule(scenario):
            disk = scenario.world.control_replicas[0].disk
            disk.refuses_writes = True
            scenario.world.after(1.0, scenario.operators.replace_configuration)
            scenario.world.after(3.0, setattr, disk, "refuses_writes", False)

        scenario = self.assert_holds(schedule, 10.0)
        saved_states = [Acceptor(replica.disk.record).chosen_state for replica in scenario.world.control_replicas]
        self.assertEqual({saved_state.config.version for saved_state in saved_states}, {scenario.operators.version})

    def test_every_machine_fetches_a_configuration_from_control_replicas(self):
        def schedule(scenario):
            receiver = next(machine for machine in scenario.world.machines.values() if machine.disk is None)
            # sent between two heartbeats, because a heartbeat might announce the new state first
            scenario.world.after(2.2, scenario.operators.replace_configuration, None, receiver)

        scenario = self.assert_holds(schedule, 5.0, load=0.3)
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

    def test_the_endpoint_list_stays_fresh_while_its_leader_is_partitioned_from_the_replicas(self):
        def schedule(scenario):
            world = scenario.world
            leader = next(machine for machine in world.machines.values() if machine.node.leadership.is_leader)
            leaders.append(leader)
            scenario.faults.partition([leader], world.control_replicas, 5.0)

            def sample_list_ages():
                ages_s.extend(
                    world.now - machine.node.endpoints.fetched_at
                    for machine in world.machines.values()
                    if machine is not leader
                )
                world.after(0.1, sample_list_ages)

            sample_list_ages()

        ages_s, leaders = [], []
        self.assert_holds(schedule, 6.0, load=0.3)
        self.assertIsNotNone(leaders[0].disk)
        self.assertLess(max(ages_s), 2.6)  # with the time to distribute the list, this stays below `drain_timeout`

    def test_slow_start_evacuation_and_home_regions(self):
        self.assert_breaks(
            Rule.FAILBACK,
            restarted_zone,
            mock.patch.object(SlowStart, "is_warming_up", lambda *_: False),
            4.0,
            load=2.0,
        )
        self.assert_breaks(
            Rule.EVACUATION,
            evacuated_zone,
            mock.patch.object(commands, "set_evacuation", lambda control_state, zone, begin: control_state),
            9.0,
        )
        self.assert_breaks(
            Rule.HOME, no_faults, mock.patch.object(EndpointSelection, "_allowed_regions", lambda *_: None), 1.0
        )

    def test_an_isolated_ingress_admits_no_more_than_its_quota_share(self):
        def isolated_ingress(scenario):
            scenario.clients.load_factors["t1"] = 8.0
            machines = list(scenario.world.machines.values())
            isolated = machines[-1]
            scenario.faults.partition([isolated], machines, 9.0)
            scenario.clients.sticky_machines["b2"] = [isolated]

        self.assert_breaks(
            Rule.QUOTA,
            isolated_ingress,
            mock.patch.object(MembershipTable, "isolation_factor", lambda *_: 1.0),
            9.0,
            load=3.0,
        )

    def test_quotas_and_requests_that_may_have_been_executed(self):
        self.assert_breaks(
            Rule.QUOTA, overloading_tenant, mock.patch.object(TenantLimit, "excess_wait_s", lambda *_: None)
        )
        self.assert_breaks(
            Rule.TWICE, lost_server_responses, mock.patch.object(outcome, "may_retry", lambda *_: True), 10.0
        )
        self.assert_breaks(
            Rule.REFUSED, lost_server_responses, mock.patch.object(outcome, "final_status", lambda *_: 503)
        )
