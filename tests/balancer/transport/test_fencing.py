"""What comes twice, late, out of order or to the wrong one: brought about, and found with its defence taken out."""

import logging
import random
import unittest
from collections import Counter
from itertools import permutations
from unittest import mock

from twisted.internet.defer import Deferred

from mapleline.balancer.control.replica_monitor import ReplicaMonitor
from mapleline.balancer.membership.member import Member, MemberFlags
from mapleline.balancer.membership.table import MembershipTable
from mapleline.balancer.quota.client import QuotaClient
from mapleline.balancer.quota.counters import CounterTable
from mapleline.balancer.transport import connections, messages
from mapleline.balancer.transport.errors import DropReason, UnexpectedReplyError
from mapleline.balancer.transport.fencing import Fence
from mapleline.balancer.transport.messages import (
    Accepted,
    CounterIncrement,
    CounterValue,
    FetchedState,
    FetchState,
    Heartbeat,
    LoadReport,
    Promised,
)
from mapleline.balancer.transport.stamps import CALL_STAMPS_BYTES, CallStamps, DatagramStamps
from mapleline.simulation.final_fault import RESTART_S, FinalFault, check_read_back
from mapleline.simulation.invariants import Rule
from mapleline.simulation.runner import RunOptions, run_scenario
from mapleline.simulation.scenario import ZONES, Scenario
from mapleline.simulation.world import Topology, World

BEAT = Heartbeat(b"", 0, 0, 0)
TALLY = CounterIncrement(1, "t", 8, 1.0, [], 5.0)
BELIEVES_ALL = mock.patch.object(Fence, "_check_stamps", lambda *_: None)


def fence(ip, incarnation, system=0, **known):
    """Of an ingress that knows others by `i2=incarnation`."""
    membership = MembershipTable(Member(ip, 0, 0, incarnation, 1, 0.0), 0.5)
    for name, other in known.items():
        membership.members[int(name[1:])] = Member(
            int(name[1:]), 0, MemberFlags.READY | MemberFlags.HAS_DISK, other, 7, 0.0
        )
    return Fence(membership, system)


class TestDatagrams(unittest.TestCase):
    def believed(self, to, by, data):
        return to.receive_datagram(by.membership.local_member.ip, data)[0] is not None

    def dropped(self, why, to, by, data):
        """It is not believed, counted under that name, and would be without the fence; gives what goes back."""
        with BELIEVES_ALL:
            self.assertTrue(self.believed(to, by, data))
        message, back = to.receive_datagram(by.membership.local_member.ip, data)
        self.assertIsNone(message)
        self.assertEqual(dict(to.dropped), {why: 1})
        return back

    def test_another_systems_are_nothing_and_one_not_known_yet_is_none(self):
        a = fence(1, 10, 0xAAAA)
        self.assertIsNone(self.dropped(DropReason.FOREIGN_SYSTEM, fence(2, 20, 0xBBBB), a, a.stamp_datagram(2, TALLY)))
        for system in (0, 0xAAAA):
            self.assertTrue(self.believed(fence(2, 20, system), a, a.stamp_datagram(2, TALLY)))
        a.system_id = 0
        self.assertTrue(self.believed(fence(2, 20, 0xBBBB), a, a.stamp_datagram(2, TALLY)))

    def test_what_an_earlier_life_sent_is_not_its_successors(self):
        a, b = fence(1, 10), fence(2, 20)
        late = a.stamp_datagram(2, TALLY)
        self.assertTrue(self.believed(b, a, fence(1, 11).stamp_datagram(2, BEAT)))  # a stranger yet: in no table
        self.dropped(DropReason.STALE_SENDER, b, a, late)

    def test_what_was_meant_for_an_earlier_life_teaches_who_sent_it_at_once(self):
        a, b = fence(1, 10, i2=20), fence(2, 21)
        back = self.dropped(DropReason.OTHER_INCARNATION, b, a, a.stamp_datagram(2, TALLY))
        self.assertEqual(a.receive_datagram(2, back), (None, None))  # a refusal is not refused
        self.assertTrue(self.believed(b, a, a.stamp_datagram(2, TALLY)))
        new = a.membership.members[2]  # of the new life nothing is known but that it keeps its disk
        self.assertEqual((new.incarnation, new.heartbeat_count, new.flags), (21, 0, MemberFlags.HAS_DISK))
        self.assertTrue(self.believed(b, a, fence(1, 10, i2=20).stamp_datagram(2, BEAT)))  # beats come through
        a.receive_datagram(2, back)
        self.assertEqual(a.membership.local_member.incarnation, 10)

    def test_a_life_whose_clock_was_set_back_becomes_the_newest_by_one_exchange(self):
        a, b = fence(1, 5), fence(2, 20, i1=10)
        back = self.dropped(DropReason.STALE_SENDER, b, a, a.stamp_datagram(2, TALLY))
        a.receive_datagram(2, back)
        self.assertEqual(a.membership.local_member.incarnation, 11)
        self.assertTrue(self.believed(b, a, a.stamp_datagram(2, TALLY)))
        with mock.patch.object(MembershipTable, "refute", lambda *_: None):
            c = fence(3, 5)
            c.receive_datagram(2, DatagramStamps(0, 20, 10).encode())
        self.assertEqual(c.membership.local_member.incarnation, 5)
        self.assertEqual(b.receive_datagram(1, b"short"), (None, None))
        self.assertEqual(b.receive_datagram(1, DatagramStamps(0, 11, 0).encode() + b"\xc1"), (None, None))
        self.assertEqual(
            dict(b.dropped), {DropReason.STALE_SENDER: 1, DropReason.TRUNCATED: 1, DropReason.UNDECODABLE: 1}
        )

    def test_what_is_told_again_and_again_never_goes_back(self):
        a, b = fence(1, 10), fence(2, 20)
        told = [a.next_sequence(), a.next_sequence(), a.next_sequence()]
        self.assertEqual([b.accept_sequence(1, told[n]) for n in (0, 2, 1, 2)], [True, True, False, False])
        b.receive_datagram(1, fence(1, 11).stamp_datagram(2, BEAT))
        self.assertTrue(b.accept_sequence(1, 1))  # another life counts anew


class TestCalls(unittest.TestCase):
    def setUp(self):
        self.a, self.b = fence(1, 10, i2=20), fence(2, 20)

    def asked(self, by=None):
        """A call of the first that is out, and what the second (or another) has taken."""
        out, data = self.a.stamp_call(2, FetchState())
        return out, (by or self.b).receive_call(data)

    def unbelieved(self, why, out, data):
        over = out.has_reply
        with mock.patch.object(Fence, "_check_reply", lambda *_: None):
            self.assertEqual(self.a.receive_reply(out, data), Accepted(True, 1))
        out.has_reply = over
        with self.assertRaises(UnexpectedReplyError) as caught:
            self.a.receive_reply(out, data)
        self.assertEqual((str(caught.exception), self.a.dropped[why]), (why, 1))
        self.a.dropped.clear()

    def test_only_the_answer_to_the_call_that_is_out_is_believed_and_once(self):
        out, taken = self.asked()
        data = self.b.stamp_reply(taken, Accepted(True, 1))
        self.assertEqual(self.a.receive_reply(out, data), Accepted(True, 1))
        self.unbelieved(DropReason.SURPLUS_REPLY, out, data)
        self.unbelieved(DropReason.OTHER_CALL, self.asked()[0], data)
        other = fence(3, 10, i2=20)  # began when we did, and has called as often
        taken = self.b.receive_call(other.stamp_call(2, FetchState())[1])
        self.a = fence(1, 10, i2=20)
        self.unbelieved(DropReason.OTHER_CALL, self.asked()[0], self.b.stamp_reply(taken, Accepted(True, 1)))

    def test_only_from_whom_was_asked_in_the_life_that_was_asked(self):
        third = fence(3, 20)
        out, taken = self.asked(third)
        self.unbelieved(DropReason.OTHER_CALL, out, third.stamp_reply(taken, Accepted(True, 1)))
        out, taken = self.asked()
        self.a.system_id, self.b.system_id = 0xAAAA, 0xBBBB
        self.unbelieved(DropReason.FOREIGN_SYSTEM, out, self.b.stamp_reply(taken, Accepted(True, 1)))
        self.a.system_id = 0
        out, taken = self.asked()
        self.a.membership.local_member.incarnation = 11  # not the caller any more: it was raised meanwhile
        self.unbelieved(DropReason.OTHER_INCARNATION, out, self.b.stamp_reply(taken, Accepted(True, 1)))
        out, taken = self.asked()
        old = self.b.stamp_reply(taken, Accepted(True, 1))
        self.b.membership.local_member.incarnation = 21
        self.unbelieved(DropReason.CALLEE_RESTARTED, out, self.b.stamp_reply(taken, Accepted(True, 1)))
        out.has_reply, out.receiver_incarnation = False, 0
        self.unbelieved(DropReason.STALE_SENDER, out, old)  # who answered was over before its answer came

    def test_a_call_meant_for_an_earlier_life_is_not_carried_out_and_fails_at_once(self):
        b = fence(2, 21)
        with BELIEVES_ALL:
            self.assertEqual(self.asked(b)[1].message, FetchState())
        out, taken = self.asked(b)
        self.assertIsNone(taken.message)
        with self.assertRaises(UnexpectedReplyError):
            self.a.receive_reply(out, taken.refusal)
        self.assertEqual(self.asked(b)[1].message, FetchState())
        b.system_id, self.a.system_id = 0xBBBB, 0xAAAA
        self.assertEqual((self.asked(b)[1].message, self.asked(b)[1].refusal), (None, b""))
        self.assertEqual(dict(b.dropped), {DropReason.OTHER_INCARNATION: 1, DropReason.FOREIGN_SYSTEM: 2})


class TestCourier(unittest.TestCase):
    """The ends of a real call, their bytes carried by hand."""

    def setUp(self):
        self.a, self.b, self.carried_out = fence(1, 10, i2=20), fence(2, 20), []
        self.out, data = self.a.stamp_call(2, FetchState(7))
        self.done = Deferred()
        self.failed, self.got = [], []
        self.done.addCallbacks(self.got.append, lambda reason: self.failed.append(str(reason.value)))
        self.calling = connections.CallerConnection(self.a, self.out, self.done)
        self.answering = connections.CalleeFactory(self.b, self.answer).buildProtocol(None)
        for end in (self.calling, self.answering):
            end.makeConnection(mock.Mock())
        self.calling.sendString(data)

    def written(self, end):
        return b"".join(called.args[0] for called in end.transport.write.call_args_list)

    def answer(self, call):
        self.carried_out.append(call)
        return FetchedState()

    def test_one_call_a_connection_and_one_answer(self):
        self.answering.dataReceived(self.written(self.calling))
        answer = self.written(self.answering)
        self.calling.dataReceived(answer + answer)
        self.assertEqual(
            (self.got, self.failed, dict(self.a.dropped)), ([FetchedState()], [], {DropReason.SURPLUS_REPLY: 1})
        )
        self.answering.dataReceived(self.written(self.calling))
        self.assertEqual(self.carried_out, [FetchState(7)])
        self.answering.transport.abortConnection.assert_called_once()

    def test_an_answer_to_something_else_fails_the_call(self):
        for changed in (lambda data: data[:16] + b"\x07" + data[17:], lambda data: data[:4] + b"\x05"):
            self.setUp()
            self.answering.dataReceived(self.written(self.calling))
            answer = changed(self.written(self.answering)[4:])
            self.calling.stringReceived(answer)
            self.assertEqual((self.got, len(self.failed)), ([], 1))

    def test_who_has_begun_anew_says_so_and_does_nothing(self):
        self.b.membership.local_member.incarnation = 21
        self.answering.dataReceived(self.written(self.calling))
        self.calling.dataReceived(self.written(self.answering))
        self.assertEqual((self.carried_out, self.failed), ([], [DropReason.REFUSED]))
        self.assertEqual(self.a.membership.incarnation(2), 21)


class TestTallies(unittest.TestCase):
    """A name's total is what stands, however often, late or in which order things come."""

    A, B, C, ASKS = 1 << 32 | 10, 2 << 32 | 20, 3 << 32 | 30, 9 << 32 | 90

    def test_a_tally_and_what_takes_it_off_commute(self):
        def totals():
            found, came = set(), ["add", "add", "off", "off", "kept"]
            for order in set(permutations(came)) | set(permutations(came[2:])):  # or the one taken off never comes
                names = CounterTable(self.A)
                names.add(self.ASKS, 1, "t", 8, 1.0)
                for step in order:
                    if step == "off":
                        names.revert(self.ASKS, 2, "t", 8)
                    else:
                        names.add(self.ASKS, 2 if step == "add" else 3, "t", 8, 1.0)
                found.add(names.add(self.ASKS, 4, "t", 8, 0.0)[0])
            return found

        def blindly(names, sender, nonce, tenant, window):
            names.add(sender, nonce + 1000, tenant, window, -1.0)

        self.assertEqual(totals(), {2.0})
        with mock.patch.object(CounterTable, "revert", blindly):
            self.assertGreater(len(totals()), 1)

    def test_parts_doubled_and_out_of_order_count_once_also_those_of_a_holder_that_began_anew(self):
        def play(seed, lives):
            rng = random.Random(seed)
            holders, sent, nonce = {1: CounterTable(lives[0]), 2: CounterTable(self.B)}, [], 0
            for step in range(40):
                if step == 20:
                    sent += [
                        (2, holders[1].updates_for(0.0, 2, {"t"}, complete=True))
                    ]  # it told the other all before its end
                    holders[1] = CounterTable(lives[1])
                nonce += 1
                holders[rng.choice((1, 2))].add(self.ASKS, nonce, "t", 8, 1.0)
                to = rng.choice((1, 2))
                sent.append((to, holders[3 - to].updates_for(0.0, to, {"t"}, complete=True)))
                for _ in range(rng.randrange(3)):
                    to, parts = rng.choice(sent)
                    holders[to].merge(parts)
            for to, parts in rng.sample(sent, len(sent)):
                holders[to].merge(parts)
            for to in (2, 1, 2):
                holders[to].merge(holders[3 - to].updates_for(0.0, to, {"t"}, complete=True))
            return {names.add(self.ASKS, nonce + 1, "t", 8, 0.0)[0] for names in holders.values()}

        for seed in range(20):
            self.assertEqual(play(seed, (self.A, self.A + 1)), {40.0}, f"seed {seed}")
        by_address = [play(seed, (self.A, self.A)) for seed in range(20)]
        self.assertTrue([found for found in by_address if found != {40.0}])

    def test_a_life_that_uses_its_predecessors_nonces_is_counted(self):
        def total(key):
            with mock.patch.object(MembershipTable, "session_key", key):
                a, b = fence(1, 10), fence(2, 20)
                quota_client = QuotaClient(
                    mock.Mock(seconds=lambda: 0.0),
                    mock.Mock(zones={"z1": "r1"}),
                    mock.Mock(unix_time=lambda: 1.0),
                    b.membership,
                    lambda: 1,
                )
                for sender in (a, a, fence(1, 11)):
                    message, _ = b.receive_datagram(1, sender.stamp_datagram(2, TALLY))
                    quota_client.receive(1, message)
                return quota_client.replica.table.own_count("t", 8)

        self.assertEqual(total(MembershipTable.session_key), 2.0)
        self.assertEqual(total(lambda self, ip: ip), 1.0)

    def test_a_holder_that_began_anew_is_told_the_whole_at_once(self):
        a, told = CounterTable(self.A), []
        a.add(self.ASKS, 1, "t", 8, 1.0)
        a.add(self.ASKS, 2, "t", 8, 1.0)
        for now, to in ((0.0, self.B), (0.01, self.B), (0.02, self.B + 1), (0.03, self.B + 1)):
            told.append(len(a.updates_for(now, to, {"t"})))
        self.assertEqual(told, [1, 0, 1, 0])

    def test_only_who_was_asked_tells_a_total(self):
        quota_client = QuotaClient(
            mock.Mock(seconds=lambda: 0.0),
            mock.Mock(zones={"z1": "r1"}),
            mock.Mock(unix_time=lambda: 1.0),
            fence(1, 10, i2=20, i3=30).membership,
            lambda: 1,
        )
        got, tenancy = [], mock.Mock(limit=5.0, place=lambda _: (8, 0.5))
        tenancy.name = "t"
        ask = mock.Mock(tenancy=tenancy, homes=[], done=lambda answer: got.append(answer) or True)
        quota_client.placement.replicas_of = lambda *_: [2]
        quota_client.consult(ask)
        for ip, nonce in (
            (3, quota_client.nonce),
            (2, quota_client.nonce - 1),
            (2, quota_client.nonce),
            (2, quota_client.nonce),
        ):
            quota_client.receive(ip, CounterValue(nonce, 1.0, 2.0))
        self.assertEqual(got, [(1.0, 2.0, 0.5)])


class TestNodes(unittest.TestCase):
    """Whole nodes in a world that doubles, delays and mixes up what they send."""

    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def world(self):
        world = World(4, Topology(ZONES, servers_per_zone={"slots": 1}))
        world.start()
        world.run(6.0)
        return world

    def test_a_late_beat_makes_no_list_seem_fresh(self):
        world = self.world()
        one, other = [m for m in world.machines.values() if m.disk is None][:2]
        late = one.node.heartbeats.make_heartbeat()
        world.platform.unreachable_from |= set(world.machines)  # from here on nobody has a fresh one
        world.run(3.0)

        def fetched():
            before = other.node.endpoints.fetched_at
            other.node.dispatcher.receive(one.ip, late)
            return other.node.endpoints.fetched_at - before

        self.assertEqual(fetched(), 0.0)

        def dates_nothing(self, now, rows, merge=MembershipTable.merge):
            fresh, self.last_merge_sent_at = merge(self, now, rows), now
            return fresh

        with (
            mock.patch.object(MembershipTable, "is_superseded", lambda *_: False),
            mock.patch.object(MembershipTable, "merge", dates_nothing),
        ):  # either of them is enough
            self.assertGreater(fetched(), 1.0)

    def test_an_overtaken_word_of_what_is_out_is_not_taken(self):
        def out():
            one, other = [m for m in self.world().machines.values() if m.zone == "a1"]
            for told in (LoadReport({7: 3}, {}, 1), LoadReport({7: 5}, {}, 2), LoadReport({7: 3}, {}, 1)):
                other.node.dispatcher.receive(one.ip, told)
            return other.node.proxy.near[one.ip][1].in_flight

        self.assertEqual(out(), {7: 5})
        with mock.patch.object(Fence, "accept_sequence", lambda *_: True):
            self.assertEqual(out(), {7: 3})

    def test_a_machine_whose_clock_was_set_back_is_the_newest_as_soon_as_it_has_asked(self):
        def newest():
            world = self.world()
            one = next(m for m in world.machines.values() if m.disk is None)
            earlier = one.node.membership.local_member.incarnation
            one.kill()
            world.run(9.0)  # nobody sends it beats any more
            one.clock_skew_s = -100.0
            one.start()
            world.run(0.8)
            at_once = one.node.membership.local_member.incarnation > earlier
            world.run(1.5)
            for other in world.machines.values():
                self.assertIn(one.ip, {m.ip for m in other.node.membership.alive(world.now)})
            return at_once

        self.assertTrue(newest())
        with mock.patch.object(Fence, "_refusal", lambda *_: None):
            self.assertFalse(newest())  # only later, by who asks the missing now and then

    def test_each_tally_counts_once_on_a_day_of_doubles_and_delays(self):
        def troubles(scenario):
            world = scenario.world
            network = world.network
            network.loss_rate = 0.0
            network.duplicate_rate = 0.4
            network.delayed_rate = 0.1
            network.max_extra_delay_s = 1.0
            scenario.clients.load_factors["t1"] = 4.0
            scenario.clients.stops_at = world.now + 4.0

        def apart():
            """Of names that are held, those that do not count what stands."""
            stands = {}

            def complete(self, consultation, usage, answered_by=0):
                done = consultation.ask.done

                def judged(answer):
                    name = consultation.increment.tenant, consultation.increment.window
                    stays = done(answer)
                    stands[name] = stands.get(name, 0) + bool(stays)
                    return stays

                consultation.ask.done = judged
                return real(self, consultation, usage, answered_by)

            real = QuotaClient._complete
            with mock.patch.object(QuotaClient, "_complete", complete):
                result = run_scenario(3, troubles, RunOptions(8.0, FinalFault.NONE, load=2.0))
            found, scenario = result.violations, result.scenario
            held = {}
            for machine in scenario.world.machines.values():
                for name, one in machine.node.quota_client.replica.table.counters.items():
                    if one.rows:
                        held.setdefault(name, set()).add(one.total)
            self.assertGreater(sum(stands[name] for name in held), 20)
            return found, [(name, totals, stands[name]) for name, totals in held.items() if totals != {stands[name]}]

        self.assertEqual(apart(), ([], []))

        def forgets(self, key, units):
            """Nothing is remembered."""

        with mock.patch.object(CounterTable, "_remember", forgets):
            self.assertTrue(apart()[1])

    def test_days_of_doubles_delays_and_mixed_up_answers_break_no_rule(self):
        def troubles(scenario):
            world = scenario.world
            world.network.duplicate_rate = 0.2
            world.network.delayed_rate = 0.03
            world.network.misrouted_reply_rate = 0.3
            scenario.clients.load_factors["t1"] = 6.0
            one = next(m for m in world.machines.values() if m.disk is None)
            for n in range(4):
                world.after(0.5 + 1.5 * n, scenario.operators.replace_at_two_machines)
            world.after(2.0, scenario.faults.kill, [one], 0.5)

        for final_fault in (FinalFault.KILL, FinalFault.WIPE):
            result = run_scenario(3, troubles, RunOptions(9.0, final_fault))
            scenario = result.scenario
            self.assertEqual(result.violations, [], final_fault)
            why = sum((m.node.fence.dropped for m in scenario.world.machines.values() if m.is_running), Counter())
            self.assertTrue({DropReason.OTHER_CALL, DropReason.SURPLUS_REPLY, DropReason.OUT_OF_ORDER} <= set(why), why)

    def test_an_answer_to_another_call_acknowledges_nothing(self):
        def lost():
            scenario = Scenario(3)
            world = scenario.world
            scenario.begin()
            replicas = world.control_replicas
            first = next(m for m in replicas if m.node.control_plane.monitor.coordinator(world.now) == m.ip)
            earlier, others = {}, [m for m in replicas if m is not first]

            def astray(to, data):
                """Who refuses seems to say what it said when it did not."""
                reply = messages.decode_reply(data[CALL_STAMPS_BYTES:])
                kind = CallStamps.decode(data).sender_ip, type(reply)
                if to != first.name or not isinstance(reply, Promised | Accepted):
                    return data
                return earlier.setdefault(kind, data) if reply.is_granted else earlier.get(kind, data)

            world.network.route_reply = astray
            scenario.operators.replace_configuration(at=first)
            world.run(1.0)
            for machine in others:
                machine.disk.refuses_writes = True
            scenario.operators.replace_configuration(at=first)
            world.run(1.5)
            scenario.faults.kill(list(world.machines.values()), 0.5)
            first.wipe_disk()
            for machine in others:
                machine.disk.refuses_writes = False
            world.run(RESTART_S)
            return check_read_back(scenario)

        self.assertEqual(lost(), [])
        with (
            mock.patch.object(Fence, "_check_reply", lambda *_: None),
            mock.patch.object(ReplicaMonitor, "record_turn", lambda *_: True),
        ):  # either is enough
            self.assertIs(lost()[0].rule, Rule.LOST)
