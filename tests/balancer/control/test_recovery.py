"""A machine of the core that comes back: whole again in the same time, whatever went on before; never with the old.

Whole nodes on a clock of their own (`lab/world.py`): times are simulated seconds, bytes and calls those of the network.
"""

import json
import logging
import unittest
from dataclasses import dataclass
from unittest import mock

from twisted.internet.defer import maybeDeferred

from mapleline.balancer.control import migration
from mapleline.balancer.control.commands import CommandStatus, ReplaceConfiguration
from mapleline.balancer.control.replica import LocalReplica
from mapleline.balancer.control.snapshot import FileFault, LoadedSnapshot
from mapleline.balancer.control.state import content_digest
from mapleline.balancer.membership.member import MemberFlags
from mapleline.balancer.transport.messages import Accepted, Prepare, Promised, encode
from mapleline.simulation.scenario import ZONES
from mapleline.simulation.workload import configuration
from mapleline.simulation.world import Topology, World

SIZE = 20_000  # of a configuration
COPIES = 24  # of the state, that go to and fro in a change of two members' sets


def body_of(version: int) -> bytes:
    return json.dumps(configuration(version, {f"t{n}": [f"k{n}"] for n in range(1, 5)})).encode().ljust(SIZE)


@dataclass
class Whole:
    """What it took to be whole again."""

    seconds: float
    bytes: int
    calls: int


class Core:
    """Machines with a disk, and an operator who sends one configuration after the other."""

    def __init__(self, seed: int, zones: dict[str, str] = ZONES) -> None:
        self.world = World(seed, Topology(zones, stateless_per_zone=0))
        self.version = 0
        self.world.start()
        self.world.run(6.0)
        self.put(1)

    @property
    def machines(self):
        return self.world.control_replicas

    def up(self):
        return [m for m in self.machines if m.is_running]

    def put(self, changes: int, at=None) -> None:
        """So many in a row, each after the last was acknowledged."""
        world, left = self.world, [changes]

        def next_one(outcome=None) -> None:
            if outcome is not None and outcome.status == CommandStatus.DONE:
                left[0] -= 1
                self.version += 1
            if left[0]:
                body = body_of(self.version + 1)
                machine = at if at is not None and at.is_running else self.up()[0]
                order = ReplaceConfiguration(self.version + 1, content_digest(body))
                machine.node.control_plane.submit_command(order, body, 4.5).addCallback(
                    lambda outcome: world.after(0.0 if outcome.status == CommandStatus.DONE else 0.2, next_one, outcome)
                )

        next_one()
        end = world.now + 10 + changes
        while left[0]:
            assert world.now < end, f"{left[0]} of {changes} changes are not acknowledged"
            world.run(0.05)

    def newest(self) -> int:
        return max(m.node.control_plane.state.number for m in self.up() if m.node.control_plane.state is not None)

    def is_whole(self, machine) -> bool:
        """A voter, and on its disk is what all others hold."""
        if (
            not machine.is_running
            or machine.node.control_plane.state is None
            or not machine.node.member_flags() & MemberFlags.CAN_PROPOSE
        ):
            return False
        if any(m.node.control_plane.state.former for m in self.up()):
            return False  # who votes is changing still
        record = machine.disk.record
        chosen = record.chosen_state
        return chosen is not None and chosen.number == self.newest() and chosen.config.version == self.version

    def come_back(self, machine) -> Whole:
        """Started; until it is whole."""
        world = self.world
        began, sent, calls = world.now, sum(world.network.bytes_sent.values()), len(world.network.calls)
        machine.start()
        while not self.is_whole(machine):
            assert world.now < began + 30, f"{machine.name} is not whole after 30 s"
            world.run(0.02)
        own = [to for at, by, to, kind in world.network.calls[calls:] if by == machine.name]
        return Whole(world.now - began, sum(world.network.bytes_sent.values()) - sent, len(own))


class Laboratory(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)


class TestRecovery(Laboratory):
    def test_time_bytes_and_calls_do_not_grow_with_the_number_of_changes(self):
        """After 10, 100, 600 and 1,000: what is fetched is the state, which remembers 512 numbers at most."""
        found: dict[str, list[Whole]] = {"restarted": [], "wiped": [], "away": []}
        core, done, sizes = Core(5), 1, []
        for changes in (10, 100, 600, 1000):
            one, two, three, four = core.machines
            core.put(changes - done - 5)
            for kind, machine in zip(found, (one, two, three), strict=True):
                machine.kill()
                if kind == "wiped":
                    machine.wipe_disk()
                core.put(1)  # it is behind by one at least
                if kind == "away":
                    core.world.run(12.0)  # and was let go meanwhile
                found[kind].append(core.come_back(machine))
            core.put(2)
            core.world.run(5.0)
            done = core.version
            self.assertEqual(done, changes)
            sizes.append(len(encode(four.node.control_plane.state)))
            self.assertEqual({r.ip for r in four.node.control_plane.state.voters}, {m.ip for m in core.machines})
        grown = sizes[3] - sizes[0]
        self.assertLess(grown, 8000)
        for kind, (few, _, more, most) in found.items():
            with self.subTest(kind, found=found[kind]):
                self.assertLess(most.seconds, few.seconds + 1.0)
                self.assertLess(most.calls, few.calls + 12)
                self.assertLess(most.bytes, 1.5 * few.bytes + COPIES * grown)
                self.assertLess(most.bytes, 1.5 * more.bytes + SIZE)

    def test_one_that_was_away_during_three_hundred_changes_fetches_the_newest_alone(self):
        core = Core(7)
        one = core.machines[0]
        core.put(2)
        one.kill()
        core.put(300)
        took = core.come_back(one)
        self.assertLess(took.seconds, 4.0)
        self.assertLess(took.bytes, 12 * SIZE)  # not 300 of them
        self.assertEqual(one.node.proxy.table.version, 303)

    def test_all_that_lose_power_at_once_after_many_changes_go_on_with_the_last(self):
        core = Core(8)
        core.put(200)
        for machine in core.machines:
            machine.kill()
        core.machines[1].wipe_disk()
        began = core.world.now
        for machine in core.machines:
            machine.start()
        while not all(core.is_whole(m) for m in core.machines):
            self.assertLess(core.world.now, began + 6.0)
            core.world.run(0.05)
        core.put(1)

    def test_disks_that_are_lost_one_after_the_other_are_all_let_in_again(self):
        """Each as soon as the last is whole: who then decides knows the last one's old disk from a moment ago."""
        for seed in range(31, 39):
            with self.subTest(seed=seed):
                core = Core(seed, {"a1": "a", "a2": "a", "a3": "a"})
                core.put(2)
                for nth in range(9):
                    machine = core.machines[nth % 3]
                    machine.kill()
                    machine.wipe_disk()
                    self.assertLess(core.come_back(machine).seconds, 6.0)
                core.put(1)


class TestUpgrade(Laboratory):
    def test_machines_with_folders_of_the_earlier_format_found_a_core(self):
        """Nothing there voted on a core of ours; a folder that was spoilt may have, and founds none."""
        legacy = FileFault("core, r-636f6e666967", migration.LEGACY_FAULT, is_legacy=True)
        torn = FileFault("core, r-636f6e666967", "torn, empty or foreign")
        for fault, founded in ((legacy, True), (torn, False)):
            world = World(9, Topology(ZONES, stateless_per_zone=0))
            for machine in world.control_replicas:
                machine.disk.load = lambda fault=fault: LoadedSnapshot(None, {}, [fault])
            world.start()
            world.run(8.0)
            with self.subTest(str(fault)):
                self.assertEqual({m.node.control_plane.state is not None for m in world.control_replicas}, {founded})


class TestOlderFolder(Laboratory):
    """A machine whose folder is put back from an older day, under the same identity."""

    def put_back(self, core: Core, victim):
        """What it does as that replica from then on: (its votes, its ballots)."""
        disk = victim.disk
        was = disk.record, dict(disk.contents)
        old = was[0].disk
        core.put(100)
        victim.kill()
        disk.record, disk.contents = was
        votes, ballots, opened, called_out = [], [], victim.listen, victim.call

        def watch(reply):
            if isinstance(reply, Promised | Accepted) and reply.is_granted and reply.disk_id == old:
                votes.append((core.world.now, reply))
            return reply

        def listen(fence, told, called):
            opened(fence, told, lambda call: maybeDeferred(called, call).addCallback(watch))

        def call(ip, message, timeout_s):
            if isinstance(message, Prepare) and message.ballot[2] == old:
                ballots.append((core.world.now, message))
            return called_out(ip, message, timeout_s)

        victim.listen, victim.call = listen, call
        victim.start()
        return old, votes, ballots

    def test_it_is_seen_votes_and_leads_no_more_and_is_let_in_as_another_replica(self):
        for seed in range(11, 17):
            for place in (0, -1):  # who proposes, and who would be the last to
                with self.subTest(seed=seed, place=place):
                    core = Core(seed)
                    core.put(5)
                    now = core.world.now
                    first = sorted(core.machines, key=lambda m: m.node.membership.local_member.ring_position)
                    victim = first[place]
                    other = next(m for m in core.machines if m is not victim)
                    old, votes, ballots = self.put_back(core, victim)
                    core.put(20, at=other)  # ballots go out all the while
                    core.world.run(8.0)
                    self.assertGreater(core.world.now, now)
                    self.assertEqual((votes, ballots), ([], []))
                    self.assertNotEqual(victim.disk.record.disk, old)
                    self.assertTrue(core.is_whole(victim))
                    voters = core.machines[0].node.control_plane.state.voters
                    self.assertIn((victim.ip, victim.disk.record.disk), {(r.ip, r.disk) for r in voters})

    def test_a_folder_of_another_machine_is_no_ones(self):
        core = Core(13)
        core.put(5)
        one, two, *_ = core.machines
        one.kill()
        one.disk.record, one.disk.contents = two.disk.record, dict(two.disk.contents)
        core.come_back(one)
        self.assertNotIn(one.disk.record.disk, {m.disk.record.disk for m in core.machines if m is not one})
        self.assertEqual(one.disk.record.ip, one.ip)

    def test_without_the_others_word_it_would_vote_with_the_old(self):
        believed = mock.patch.object(
            LocalReplica, "is_verified", property(lambda self: True, lambda self, value: None), create=True
        )
        found = []
        for seed in range(11, 17):
            core = Core(seed)
            core.put(5)
            victim = min(core.machines, key=lambda m: m.node.membership.local_member.ring_position)
            with believed, mock.patch.object(LocalReplica, "check_rollback"):
                _, votes, ballots = self.put_back(core, victim)
                core.put(20, at=next(m for m in core.machines if m is not victim))
            found += votes + ballots
        self.assertTrue(found)

    def test_nothing_decided_is_lost_though_one_who_knows_it_goes_at_the_same_moment(self):
        """Of three: the second of two that held the newest is away while the first comes back with the old."""
        for seed in range(21, 27):
            with self.subTest(seed=seed):
                core = Core(seed, {"a1": "a", "a2": "a", "a3": "a"})
                core.put(5)
                victim, knows, late = core.machines
                old, votes, ballots = self.put_back(core, victim)
                core.world.run(0.3)
                knows.kill()
                newest = core.version
                core.world.run(4.0)
                self.assertEqual((votes, ballots), ([], []))
                knows.start()
                core.world.run(5.0)
                core.put(1)
                self.assertEqual(core.version, newest + 1)
