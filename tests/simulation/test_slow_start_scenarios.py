"""Slow start: each cause of too many requests to a server is reproduced, and found if its safeguard is disabled."""

import logging
import unittest
from unittest import mock
from zlib import crc32

from mapleline.balancer.configuration_applier import ConfigurationApplier
from mapleline.balancer.discovery.endpoints import EndpointList
from mapleline.balancer.node import Node
from mapleline.balancer.proxy import slow_start
from mapleline.balancer.proxy.slow_start import SlowStart
from mapleline.simulation import slow_start_scenarios
from mapleline.simulation.invariants import Rule
from mapleline.simulation.slow_start_scenarios import SlowStartOptions, run_slow_start
from tests.known_red import known_red


def has_lease_by_own_view(self, instance, now):
    """Treat this machine as the lease holder by its own view, without a lease of the voters."""
    return crc32(instance.id.encode()) in self.wanted_leases(now)


def warms_up_for_a_fixed_time(self, instance, now):
    """End the slow start of a zone a fixed time after its evacuation, independently of the endpoint list."""
    return now < max(instance.warming_until, self.required_fetch_time.get(instance.zone, -1e9) + 2.0)


def ignore_missed_evacuations(self, before, apply=ConfigurationApplier.apply):
    """Start the slow start of a zone after an evacuation only if the begin of the evacuation was known."""
    known_evacuated = set(self._proxy.evacuated_zones)
    apply(self, before)
    for zone, _ in self._control_plane.state.changed:
        if zone not in known_evacuated:
            self._proxy.slow_start.required_fetch_time.pop(zone, None)


def restart_zone(scenario, zone):
    scenario.faults.restart_servers(slow_start_scenarios.servers_in(scenario, zone))


class TestSlowStartScenarios(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def failback_violations(self, schedule, seed=3, **options):
        result = run_slow_start(seed, schedule, SlowStartOptions(**options))
        return [violation for violation in result.violations if violation.rule is Rule.FAILBACK]

    def assert_breaks(self, schedule, mutant, **options):
        """Check that FAILBACK holds, and that it is found broken under the mutant."""
        self.assertEqual(self.failback_violations(schedule, **options), [])
        with mutant:
            self.assertTrue(
                any(self.failback_violations(schedule, seed, **options) for seed in range(3, 7))
            )  # the effect depends on timing

    def test_isolated_ingresses_do_not_each_send_to_a_warming_server(self):
        self.assert_breaks(
            slow_start_scenarios.isolated_machines,
            mock.patch.object(SlowStart, "has_lease", has_lease_by_own_view),
            duration_s=5.0,
            load=8.0,
            machines_without_disk=9,
        )

    def test_a_zone_after_its_evacuation_warms_up_until_a_list_could_show_it(self):
        self.assert_breaks(
            slow_start_scenarios.late_endpoint_list,
            mock.patch.object(SlowStart, "is_warming_up", warms_up_for_a_fixed_time),
            duration_s=10.0,
        )

    def test_the_end_of_an_evacuation_counts_where_its_beginning_was_missed(self):
        self.assert_breaks(
            slow_start_scenarios.withdrawal_during_restart,
            mock.patch.object(ConfigurationApplier, "apply", ignore_missed_evacuations),
            duration_s=8.0,
            load=8.0,
        )

    def test_an_isolated_ingress_stops_before_a_missed_evacuation_can_end(self):
        serve_without_lease = mock.patch.object(Node, "can_serve", lambda self: self.proxy.table is not None)
        self.assert_breaks(
            slow_start_scenarios.evacuation_behind_a_partition, serve_without_lease, duration_s=8.0, load=4.0
        )
        with mock.patch.object(
            ConfigurationApplier, "apply", ignore_missed_evacuations
        ):  # when the partition ends, the ingress learns only of the evacuation's end
            self.assertTrue(
                any(
                    self.failback_violations(
                        slow_start_scenarios.evacuation_behind_a_partition, seed, duration_s=8.0, load=4.0
                    )
                    for seed in range(3, 9)
                )
            )

    def test_a_repeated_slow_start_reaches_all(self):
        self.assert_breaks(
            slow_start_scenarios.repeated_slow_start,
            mock.patch.object(EndpointList, "_warm_up_count", lambda *_: 0),
            duration_s=6.0,
        )

    def test_a_window_that_begins_in_a_slow_start_counts_whole(self):
        """Check that the waiting requests are not all sent in the second after the slow start."""

        def restart_under_load(scenario):
            slow_start_scenarios.overload(scenario, load_factor=30.0)
            scenario.world.after(1.0, lambda: restart_zone(scenario, "a1"))

        self.assert_breaks(
            restart_under_load, mock.patch.object(slow_start, "WARM_UP_MARGIN_S", 0.0), duration_s=7.0, load=3.0
        )

    @known_red
    def test_a_process_that_starts_just_after_a_slow_start_sends_as_if_it_went_on(self):
        """Check that a list without a slow start does not imply that none took place in the last second."""

        def restart_machines_as_slow_start_ends(scenario):
            slow_start_scenarios.overload(scenario, load_factor=30.0)
            scenario.world.after(1.0, lambda: restart_zone(scenario, "a1"))
            scenario.world.after(3.5, lambda: scenario.faults.kill(list(scenario.world.machines.values()), 0.1))

        for seed in (3, 4, 5):
            found = self.failback_violations(restart_machines_as_slow_start_ends, seed, duration_s=8.0, load=3.0)
            self.assertEqual(found, [], f"seed {seed}")

    def test_stacked_random_faults(self):
        for seed in (103, 201, 323):  # each of these seeds has broken the rule before
            self.assertEqual(self.failback_violations(slow_start_scenarios.stacked_faults, seed), [], f"seed {seed}")

    def test_without_faults_a_warming_server_receives_its_rate(self):
        def restart_under_load(scenario):
            slow_start_scenarios.overload(scenario, load_factor=20.0)
            scenario.world.after(2.0, lambda: restart_zone(scenario, "a1"))

        result = run_slow_start(3, restart_under_load, SlowStartOptions(8.0))
        arrivals = slow_start_scenarios.arrivals_in_slow_start(result.scenario)
        served = [arrival for arrival in arrivals if "slots" in arrival.server_id]
        self.assertGreaterEqual(len(served), 3)  # 2 requests per second for 3 s, minus the lag of the list
