"""Whole nodes on a clock of their own: days of trouble, each judged by the operators' rules.

A directed day says which failure it brings about; with the defence taken out the judge has to find the rule broken.
"""

import logging
import unittest
from unittest import mock

from twisted.internet.defer import succeed

from mapleline.balancer.control import commands, state
from mapleline.balancer.control.consensus import Acceptor
from mapleline.balancer.control.replica import LocalReplica
from mapleline.balancer.membership.table import MembershipTable
from mapleline.balancer.node import Node
from mapleline.balancer.proxy import proxy
from mapleline.balancer.proxy.proxy import Proxy
from mapleline.policy.window import Tenancy
from mapleline.simulation.scenarios import AFTER_S, ZONES, Day, play


def calm(day):
    """Traffic, and the closing loss of all."""


def revoked_behind_a_cut(day):
    """One ingress is cut off from all others; keys are taken away, and its clients go on with them."""
    others = list(day.world.machines.values())
    one = next(m for m in others if m.disk is None)
    day.cut([one], others, 9.0)
    for n, tenant in enumerate(("t1", "t2")):
        day.world.after(
            0.5 + n, lambda tenant=tenant: day.operator.config(revoke=tenant, at=day.world.control_replicas[0])
        )


def cold_zone(day):
    """A zone's servers start anew while much is asked of them, in little pieces."""
    day.world.service_time_s = dict.fromkeys(day.world.service_time_s, 0.05)
    day.hot["t4"] = 40.0  # it has no limit
    day.restart([s for s in day.world.servers.values() if s.zone == "a1"])


def slow_disks(day):
    """No disk answers until well after the last change was sent."""
    for machine in day.world.control_replicas:
        machine.disk.hangs_until = day.world.now + 5.0


def emptied(day):
    """A zone's servers are to get nothing."""
    day.operator.evacuate("a1", 9.0)


def hot(day):
    """A tenant sends many times its usual."""
    day.hot["t1"] = 8.0


def answers_lost(day):
    """Servers run requests, and their answers are lost."""
    for server in day.world.servers.values():
        server.response_loss_rate = 0.1


def full(day):
    """Twice what the servers bear."""
    answers_lost(day)
    day.hot["t4"] = 30.0


def races(day):
    """Two operators at once, again and again, and older changes that arrive once more."""
    for n in range(6):
        day.world.after(0.3 + n, day.race)
        day.world.after(0.9 + n, day.operator.older_again)


class TestDays(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def holds(self, troubles, length=6.0, closing="none", load=1.0):
        found, day = play(3, troubles, length, closing, load)
        self.assertEqual(found, [])
        return day

    def breaks(self, rule, troubles, mutant, length=6.0, closing="none", load=1.0):
        """The rule holds, and is found broken with the defence taken out."""
        self.holds(troubles, length, closing, load)
        with mutant:
            found, _ = play(3, troubles, length, closing, load)
        self.assertTrue([line for line in found if line.startswith(rule)], f"{rule} not among {found[:3]}")

    def test_days_by_lot_break_no_rule(self):
        for seed, grown in ((11, False), (12, False), (13, True)):
            found, day = play(seed, grown=grown)
            self.assertEqual(found, [], f"seed {seed}")

    def test_all_is_served_on_a_calm_day(self):
        day = self.holds(calm, 10.0)
        ids = [s for s in day.record.sent.values() if 1007.0 < s.at < 1013.0]
        ended = [s.status for s in ids if s.status not in (401, 429)]
        self.assertGreater(ended.count(200) / len(ended), 0.99)
        asked = [at for at, _ in day.world.list_calls if 1006.0 < at < 1016.0]
        self.assertLess(len(asked), 14)  # one asks the platform, each 0.8 s
        self.assertEqual(len(ZONES), len({m.zone for m in day.world.control_replicas}))

    def test_a_revoked_key_is_of_no_use_at_an_ingress_that_is_cut_off(self):
        certain = mock.patch.object(Node, "in_touch", lambda self: True)
        self.breaks("CONFIG", revoked_behind_a_cut, certain, 10.0, load=3.0)

    def test_nothing_acknowledged_is_lost_with_the_power_of_all_and_one_disk(self):
        def sync(self, acceptor):
            self.environment.run_in_thread(self.store.save, acceptor.record, dict(self.committed.contents)).addErrback(
                lambda _: None
            )
            acceptor.synced(acceptor.record)
            return succeed(None)

        self.breaks("LOST", slow_disks, mock.patch.object(LocalReplica, "_sync", sync), 1.0, "kill")

    def test_what_stands_on_one_disk_is_not_acknowledged(self):
        def lost():
            day = Day(3)
            world = day.world
            day.begin()
            first = next(
                m for m in world.control_replicas if m.node.control_plane.monitor.coordinator(world.now) == m.ip
            )
            for machine in world.control_replicas:
                machine.disk.hangs_until = 0.0 if machine is first else world.now + 9.0
            day.operator.config(at=first)
            world.run(1.5)
            day.kill(list(world.machines.values()), 0.5)
            first.wipe_disk()
            world.run(AFTER_S)
            return day.read_back()

        self.assertEqual(lost(), [])
        with mock.patch.object(state, "majority", lambda voters, heard: bool(heard)):
            self.assertTrue(lost()[0].startswith("LOST"))

    def test_what_is_in_force_never_goes_back(self):
        def replaced(held, version, content):
            return state._numbered(held, version, content, (version, content)), True

        self.breaks("CONFIG", races, mock.patch.object(commands, "replaced", replaced))

    def test_a_machine_of_the_core_is_taken_away_and_the_others_bear_a_loss_again(self):
        def troubles(day):
            world = day.world
            gone, second, *_ = world.control_replicas
            day.kill([gone], 60.0)
            world.after(3.0, day.operator.forget, gone)
            world.after(5.0, day.kill, [second], 4.0)
            world.after(
                6.0,
                lambda: seen.extend(
                    m.node.control_plane.committed.voters() for m in world.machines.values() if m.is_running
                ),
            )
            world.after(6.0, day.operator.config, None, world.control_replicas[2])

        seen = []
        day = self.holds(troubles, 8.0)
        orders = [(round(at), key) for at, key, _ in day.record.acknowledged]
        self.assertIn((1012, "config"), orders)  # of four, two would be too few
        self.assertEqual({len(core) for core in seen}, {3})

    def test_what_a_full_disk_could_not_take_is_there_soon_after_it_has_room(self):
        def troubles(day):
            disk = day.world.control_replicas[0].disk
            disk.refuses_writes = True
            day.world.after(1.0, day.operator.config)
            day.world.after(3.0, setattr, disk, "refuses_writes", False)

        day = self.holds(troubles, 10.0)
        kept = [Acceptor(m.disk.record).decided for m in day.world.control_replicas]
        self.assertEqual({state.config[0] for state in kept}, {day.operator.version})

    def test_a_configuration_goes_to_all_by_way_of_the_core_whoever_took_it(self):
        def troubles(day):
            taker = next(m for m in day.world.machines.values() if m.disk is None)
            day.world.after(2.2, day.operator.config, None, taker)  # between two beats: one might bring the news first

        day = self.holds(troubles, 5.0, load=0.3)
        pulls = [(by, to) for at, by, to, kind in day.world.calls if kind == "FetchState" and at > 1008.1]
        others = {m.name for m in day.world.machines.values() if m.disk is None}
        self.assertEqual({to.partition("-")[0] for _, to in pulls if to not in others}, set(ZONES))
        self.assertFalse([to for _, to in pulls if to in others])
        [(at, _, version)] = [order for order in day.record.acknowledged if order[0] > 1007.0]
        first = {
            m: min(t for t, n, _, v, _ in day.record.versions if n == m and v >= version) for m in day.world.machines
        }
        self.assertLess(max(first.values()) - 1008.2, 0.4)

    def test_the_list_is_fresh_everywhere_though_its_holder_is_cut_off_from_the_core(self):
        def troubles(day):
            world = day.world
            holder = next(m for m in world.machines.values() if m.node.leadership.is_leader)
            holders.append(holder)
            day.cut([holder], world.control_replicas, 5.0)
            day.look = lambda: (
                ages.extend(
                    world.now - m.node.endpoints.fetched_at for m in world.machines.values() if m is not holder
                ),
                world.after(0.1, day.look),
            )
            day.look()

        ages, holders = [], []
        self.holds(troubles, 6.0, load=0.3)
        self.assertIsNotNone(holders[0].disk)
        self.assertLess(max(ages), 2.6)  # and a way to all: under `drain_timeout`

    def test_cold_and_emptied_servers(self):
        self.breaks("FAILBACK", cold_zone, mock.patch.object(Proxy, "is_warming_up", lambda *_: False), 4.0, load=2.0)
        self.breaks("EVAC", emptied, mock.patch.object(commands, "emptied", lambda held, zone, begin: held), 9.0)
        self.breaks("HOME", calm, mock.patch.object(Proxy, "_allowed_regions", lambda *_: None), 1.0)

    def test_an_ingress_that_is_cut_off_lets_in_no_more_than_its_part(self):
        def cut_off(day):
            day.hot["t1"] = 8.0
            others = list(day.world.machines.values())
            day.cut([others[-1]], others, 9.0)
            day.kept["b2"] = [others[-1]]

        self.breaks(
            "QUOTA", cut_off, mock.patch.object(MembershipTable, "isolation_factor", lambda *_: 1.0), 9.0, load=3.0
        )

    def test_quotas_and_what_may_have_run(self):
        self.breaks("QUOTA", hot, mock.patch.object(Tenancy, "over", lambda *_: None))
        self.breaks("TWICE", answers_lost, mock.patch.object(proxy.outcome, "may_repeat", lambda *_: True), 10.0)
        self.breaks("REFUSED", answers_lost, mock.patch.object(proxy.outcome, "final_status", lambda *_: 503))
