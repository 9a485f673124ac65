"""Slow start: each cause of too many requests to a server, brought about, and found with its defence taken out."""

import logging
import random
import unittest
from unittest import mock
from zlib import crc32

from mapleline.balancer.configuration_applier import ConfigurationApplier
from mapleline.balancer.discovery.endpoints import EndpointList, ListedInstance
from mapleline.balancer.membership.member import Member
from mapleline.balancer.membership.table import MembershipTable
from mapleline.balancer.node import Node
from mapleline.balancer.proxy import proxy, slow_start_leases
from mapleline.balancer.proxy.proxy import Proxy
from mapleline.balancer.proxy.slow_start_leases import LEASE_S, LeaseHolder, LeaseVoter, SlowStartLeases
from mapleline.balancer.proxy.upstream import CONNECT_TIMEOUT_S
from mapleline.simulation import slow_start_scenarios
from mapleline.simulation.event_loop import EventLoop
from mapleline.simulation.invariants import Rule
from mapleline.simulation.slow_start_scenarios import SlowStartOptions, run_slow_start


def by_view(self, one, now):
    """Who is the first by lot in its own view sends."""
    return crc32(one.id.encode()) in self.wanted_leases(now)


def for_a_time(self, one, now):
    """A zone that is taken back counts as cold for a while, whatever the list knows by then."""
    return now < max(one.warming_until, self.cooling.get(one.zone, -1e9) + 2.0)


def where_begun(self, before, apply=ConfigurationApplier.apply):
    """A zone is taken back where its evacuation was known."""
    emptied = set(self._proxy.evacuated_zones)
    apply(self, before)
    for zone, _ in self._control_plane.state.changed:
        if zone not in emptied:
            self._proxy.cooling.pop(zone, None)


def restart_zone(scenario, zone):
    scenario.faults.restart_servers(slow_start_scenarios.servers_in(scenario, zone))


class TestSlowStartScenarios(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def found(self, schedule, seed=3, **options):
        result = run_slow_start(seed, schedule, SlowStartOptions(**options))
        return [violation for violation in result.violations if violation.rule is Rule.FAILBACK]

    def breaks(self, schedule, mutant, **options):
        """Check that the rule holds, and is found broken with the defence taken out."""
        self.assertEqual(self.found(schedule, **options), [])
        with mutant:
            self.assertTrue(any(self.found(schedule, seed, **options) for seed in range(3, 7)))  # depends on timing

    def test_isolated_ingresses_do_not_each_send_to_a_warming_server(self):
        self.breaks(
            slow_start_scenarios.isolated_machines,
            mock.patch.object(Proxy, "has_lease", by_view),
            duration_s=5.0,
            load=8.0,
            machines_without_disk=9,
        )

    def test_a_zone_after_its_evacuation_warms_up_until_a_list_could_show_it(self):
        self.breaks(
            slow_start_scenarios.late_endpoint_list,
            mock.patch.object(Proxy, "is_warming_up", for_a_time),
            duration_s=10.0,
        )

    def test_the_end_of_an_evacuation_counts_where_its_beginning_was_missed(self):
        self.breaks(
            slow_start_scenarios.withdrawal_during_restart,
            mock.patch.object(ConfigurationApplier, "apply", where_begun),
            duration_s=8.0,
            load=8.0,
        )

    def test_an_isolated_ingress_stops_before_a_missed_evacuation_can_end(self):
        certain = mock.patch.object(Node, "can_serve", lambda self: self.proxy.table is not None)
        self.breaks(slow_start_scenarios.evacuation_behind_a_partition, certain, duration_s=8.0, load=4.0)
        with mock.patch.object(
            ConfigurationApplier, "apply", where_begun
        ):  # and once it hears, it hears of the end alone
            self.assertTrue(
                any(
                    self.found(slow_start_scenarios.evacuation_behind_a_partition, seed, duration_s=8.0, load=4.0)
                    for seed in range(3, 9)
                )
            )

    def test_a_repeated_slow_start_reaches_all(self):
        self.breaks(
            slow_start_scenarios.repeated_slow_start,
            mock.patch.object(EndpointList, "_warm_up_count", lambda *_: 0),
            duration_s=6.0,
        )

    def test_a_window_that_begins_in_a_slow_start_counts_whole(self):
        """Check that not all waiting requests come in the second after the slow start."""

        def restart_under_load(scenario):
            slow_start_scenarios.overload(scenario, load_factor=30.0)
            scenario.world.after(1.0, lambda: restart_zone(scenario, "a1"))

        self.breaks(restart_under_load, mock.patch.object(proxy, "WARM_UP_MARGIN_S", 0.0), duration_s=7.0, load=3.0)

    def test_stacked_random_faults(self):
        for seed in (103, 201, 323):  # broken before: by unheard evacuations, and by beats that had waited (the others)
            self.assertEqual(self.found(slow_start_scenarios.stacked_faults, seed), [], f"seed {seed}")

    def test_without_faults_a_warming_server_gets_its_rate(self):
        def restart_under_load(scenario):
            slow_start_scenarios.overload(scenario, load_factor=20.0)
            scenario.world.after(2.0, lambda: restart_zone(scenario, "a1"))

        result = run_slow_start(3, restart_under_load, SlowStartOptions(8.0))
        arrivals = slow_start_scenarios.arrivals_in_slow_start(result.scenario)
        served = [arrival for arrival in arrivals if "slots" in arrival.server_id]
        self.assertGreaterEqual(len(served), 3)  # of 2 a second, for 3 s less what the list lags


class Ring:
    """Voters and holders on one clock; answers are lost or late, any of them is started anew or stops for a while."""

    def __init__(self, seed, others=3):
        self.rng, self.clock = random.Random(seed), EventLoop(1000.0)
        self.size, self.all = 3 + seed % 2, {}
        self.stopped = dict.fromkeys(range(1, self.size + others + 1), 0.0)
        self.cuts, self.eager = set(), {1}  #: who takes itself for the first by lot
        for ip in self.stopped:
            self.start(ip)

    def start(self, ip):
        one = SlowStartLeases(
            self.clock,
            ip,
            self.rng,
            lambda to, message: self.send(ip, to, message),
            lambda: list(range(1, self.size + 1)),
            lambda now: [7] if ip in self.eager else [],
            ip <= self.size,
        )
        self.all[ip] = one

    def send(self, ip, to, message):
        if (ip, to) in self.cuts or self.rng.random() < 0.1:
            return
        wait = self.rng.choice([0.001, 0.01, 0.02, 0.02, 0.02, 0.02, 0.3, 2.0])
        self.clock.callLater(max(wait, self.stopped[to] - self.clock.now), self.come, ip, to, message)

    def come(self, ip, to, message):
        if self.clock.now < self.stopped[to]:
            self.clock.callLater(self.stopped[to] - self.clock.now, self.come, ip, to, message)
        elif isinstance(message, slow_start_leases.LeaseRequest):
            answer = self.all[to].handle_request(ip, message)
            if answer is not None:
                self.send(to, ip, answer)
        else:
            self.all[to].handle_grant(ip, message)

    def run(self, rounds=200):
        """The most that held at once, and the least time between the beginnings of two in a row."""
        most, last, begun = 0, None, []
        for _ in range(rounds):
            lot = self.rng.random()
            ip = self.rng.choice(list(self.all))
            if lot < 0.04:
                self.start(ip)
            elif lot < 0.08:  # a zone's
                for voter in range(1, self.size):
                    self.start(voter)
            elif lot < 0.12:
                self.stopped[ip] = self.clock.now + self.rng.uniform(0.2, 3.0)
            elif lot < 0.16:
                self.cuts = {(ip, to) for to in self.rng.sample(list(self.all), 4)}
            elif lot < 0.20:
                self.cuts = set()
            elif lot < 0.32:
                self.eager = set(self.rng.sample(list(self.all), self.rng.choice([1, 1, 1, 2])))
            for ip, one in self.all.items():
                if self.clock.now >= self.stopped[ip] and self.rng.random() < 0.5:
                    one.request_leases()
            for _ in range(5):
                self.clock.run_until(self.clock.now + 0.02)
                now = self.clock.now
                holders = [one for one in self.all.values() if one.is_held(7, now)]
                most = max(most, len(holders))
                if holders and holders[0] is not last:
                    last = holders[0]
                    begun.append(now)
        gaps = [b - a for a, b in zip(begun, begun[1:], strict=False)]
        return most, min(gaps, default=LEASE_S), len(begun)


class TestLeases(unittest.TestCase):
    def most(self, seeds=range(40)):
        rings = [Ring(seed).run() for seed in seeds]
        return max(most for most, _, _ in rings), min(gap for _, gap, _ in rings), sum(n for _, _, n in rings)

    def test_one_at_once_and_a_lease_between_two(self):
        most, gap, begun = self.most()
        self.assertEqual(most, 1)
        self.assertGreater(gap, LEASE_S - 0.11)  # looked at each 0.02 s; the holder before may have begun unseen
        self.assertGreater(begun, 60)
        self.assertGreater(
            LEASE_S, 1.0 + CONNECT_TIMEOUT_S
        )  # the span of the rule and the way to a connection meet two

    def test_what_makes_it_so(self):
        def at_once(self, now, owner, lease_ids):
            self.started_at = -1e9
            return grant(self, now, owner, lease_ids)

        def to_all(self, now, owner, lease_ids):
            return lease_ids

        def from_the_answer(self, ip, answer):
            requested_at = self.holder.requested_at
            if answer.nonce in requested_at:
                requested_at[answer.nonce] = self.clock.seconds()
            handle_grant(self, ip, answer)

        def half(self, lease_id, now, voters):
            granted_at = self.granted_at.get(lease_id, {})
            return sum(now - at < LEASE_S for at in granted_at.values()) >= 2

        grant, handle_grant = LeaseVoter.grant, SlowStartLeases.handle_grant
        for mutant in (
            mock.patch.object(LeaseVoter, "grant", at_once),
            mock.patch.object(LeaseVoter, "grant", to_all),
            mock.patch.object(SlowStartLeases, "handle_grant", from_the_answer),
            mock.patch.object(LeaseHolder, "is_held", half),
        ):
            with mutant:
                self.assertGreater(self.most()[0], 1)

    def test_a_core_that_grew_counts_as_large_as_any_voter_knows_it(self):
        clock, sent = EventLoop(1000.0), []
        one = SlowStartLeases(
            clock,
            9,
            random.Random(1),
            lambda to, message: sent.append((to, message)),
            lambda: [1, 2, 3],
            lambda now: [7],
            False,
        )
        one.request_leases()
        for ip, core in ((1, 3), (2, 5)):
            one.handle_grant(ip, slow_start_leases.LeaseGrant(1, core, [7]))
        self.assertFalse(one.is_held(7, 1000.0))
        one.handle_grant(3, slow_start_leases.LeaseGrant(1, 5, [7]))
        self.assertTrue(one.is_held(7, 1000.0))


class TestCatalogue(unittest.TestCase):
    def test_a_list_is_not_newer_for_a_beat_that_waited(self):
        one, other = (MembershipTable(Member(ip, 0, 0, incarnation=5), 0.5) for ip in (1, 2))
        one.record_heartbeat(10.0, 0)
        other.merge(10.02, one.encode(10.0))
        beat = other.encode(10.30)
        one.merge(10.32, beat)
        self.assertTrue(10.25 < one.last_merge_sent_at <= 10.30)
        one.record_heartbeat(13.0, 0)
        one.merge(13.0, beat)  # it lay here while this process stood still
        self.assertTrue(10.25 < one.last_merge_sent_at <= 10.30)
        one.local_member.incarnation = 6  # another life has made other beats
        one.merge(13.0, beat)
        self.assertLess(one.last_merge_sent_at, 0.0)

    def test_ends_of_cold_times_as_others_hear_of_them(self):
        def listed(left):
            return [ListedInstance("i-a", "s1", "10.0.0.1:80", "z1", cold_left=f"{left:.3f}s")]

        asks, hears = EndpointList(), EndpointList()

        def fetch(at, left):
            asks.update_from_platform(at, listed(left))
            if asks.digest == hears.digest:
                return hears.confirm(at, asks.digest)
            hears.update_from_peer(at, asks.body)

        fetch(100.0, 3.0)
        fetch(100.8, 2.2)
        self.assertEqual(hears.instances["i-a"].warming_until, 103.0)
        fetch(101.6, 4.0)
        self.assertGreaterEqual(hears.instances["i-a"].warming_until, 105.6)
        heard = hears.body
        for at in (102.4, 103.2):
            fetch(at, 105.6 + 0.7 - at)  # told late: no news
        self.assertIs(hears.body, heard)
        fetch(104.0, 0.0)
        self.assertLess(hears.instances["i-a"].warming_until, 104.0)
