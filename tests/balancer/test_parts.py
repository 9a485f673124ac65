"""The pure parts of the system, each by a transcript of what it is told and says."""

import random
import unittest

from mapleline.balancer.control.commands import RemoveReplica, ReplaceConfiguration, SetEvacuation, apply_all
from mapleline.balancer.control.read_lease import ReadLease
from mapleline.balancer.control.reconfiguration import FaultTolerance, ReplicaStatus, next_voters
from mapleline.balancer.control.state import (
    MAX_PAST_VERSIONS,
    Replica,
    ReplicaId,
    State,
    begin_reconfiguration,
    finish_reconfiguration,
    initial_state,
)
from mapleline.balancer.proxy import outcome
from mapleline.balancer.proxy.outcome import Outcome
from mapleline.policy.placing import Target, choose


def core(*ips, **fields):
    """A state with those voters, a zone each, their disks named alike."""
    return State(5, 9, 1, tuple(Replica(ip, ip, ip) for ip in ips), **fields)


class TestState(unittest.TestCase):
    def test_a_majority_of_each_set_has_to_agree(self):
        state = core(1, 2, 3, 4)
        self.assertFalse(state.has_quorum({(1, 1), (2, 2)}))
        self.assertTrue(state.has_quorum({(1, 1), (2, 2), (3, 3)}))
        self.assertFalse(state.has_quorum({(1, 1), (2, 2), (3, 99)}))  # another disk at that address
        joint = begin_reconfiguration(state, [Replica(ip, ip, ip) for ip in (3, 4, 5, 6, 7)])
        self.assertEqual((joint.number, joint.epoch, joint.former), (6, 2, state.voters))
        self.assertFalse(joint.has_quorum({(n, n) for n in (3, 4, 5, 6, 7)}))
        self.assertTrue(joint.has_quorum({(n, n) for n in (2, 3, 4, 5)}))
        self.assertIs(begin_reconfiguration(joint, state.voters), joint)  # one change at a time
        self.assertEqual((finish_reconfiguration(joint).former, finish_reconfiguration(joint).epoch), ((), 3))
        self.assertTrue(initial_state([7, 8, 9]).has_quorum({(7, 123), (9, 5)}))  # the seeds, whatever their disks

    def test_the_first_content_of_a_number_stands_for_ever(self):
        def put(state, *orders):
            state, outcomes = apply_all(state, [ReplaceConfiguration(*one) for one in orders], FaultTolerance(1, 0))
            return state, [outcome.status for outcome in outcomes]

        state, said = put(core(1, 2, 3), (7, 70), (7, 71), (7, 70))
        self.assertEqual((state.config, said), ((7, 70), [200, 409, 200]))
        state, said = put(state, (9, 90), (7, 70), (7, 71), (8, 80), (8, 81), (9, 90), (9, 91))
        self.assertEqual((state.config, said), ((9, 90), [200, 200, 409, 200, 409, 200, 409]))
        for version in range(10, 10 + MAX_PAST_VERSIONS):
            state, _ = put(state, (version, version))
        self.assertEqual(len(state.past), MAX_PAST_VERSIONS)
        before = state
        state, said = put(state, (7, 71), (3, 30))  # older than what is remembered: overtaken, and nothing changes
        self.assertEqual((state, said), (before, [200, 200]))

    def test_an_evacuation_twice_is_one_and_a_core_that_could_bear_no_loss_is_not_made(self):
        state, said = apply_all(
            core(1, 2, 3, 4),
            [SetEvacuation("z", True), SetEvacuation("z", True), RemoveReplica(4), RemoveReplica(3)],
            FaultTolerance(1, 0),
        )
        self.assertEqual((state.evacuated, len(state.voters)), (("z",), 3))
        self.assertEqual([outcome.status for outcome in said], [200, 200, 200, 503])
        state, said = apply_all(
            finish_reconfiguration(state),
            [RemoveReplica(4), RemoveReplica(3), SetEvacuation("z", False)],
            FaultTolerance(1, 0),
        )
        self.assertEqual((state.evacuated, len(state.voters), [o.status for o in said]), ((), 3, [200, 409, 200]))

    def test_contact_counts_from_the_slowest_question_of_a_majority(self):
        contact, state = ReadLease(), core(1, 2, 3, 4)
        self.assertEqual(contact.valid_since(state), float("-inf"))
        for ip, at in ((1, 10.0), (2, 8.0)):
            contact.on_agreement(ReplicaId(ip, ip), at)
        contact.on_agreement(ReplicaId(3, 99), 11.0)  # another disk than the voter's
        self.assertEqual(contact.valid_since(state), float("-inf"))
        contact.on_agreement(ReplicaId(3, 3), 9.0)
        contact.on_agreement(ReplicaId(1, 1), 7.0)  # an answer that came by a detour
        self.assertEqual(contact.valid_since(state), 8.0)
        joint = begin_reconfiguration(state, [Replica(ip, ip, ip) for ip in (3, 4, 5)])
        self.assertEqual(contact.valid_since(joint), float("-inf"))
        contact.on_agreement(ReplicaId(5, 5), 9.5)
        self.assertEqual(contact.valid_since(joint), 8.0)
        contact.on_relayed_lease(asked_at=12.0, age_s=2.5)  # cut off from the core, by way of one that isn't
        self.assertEqual(contact.valid_since(joint), 9.5)


class TestMembership(unittest.TestCase):
    def due(self, state, *seen, losses=1, zones=1):
        rows = {r.ip: ReplicaStatus(r, True) for r in state.voters} | {one.replica.ip: one for one in seen}
        return next_voters(state, rows.values(), FaultTolerance(losses, zones), lost_after_s=8.0)

    def test_one_change_at_a_time_and_never_below_what_is_to_be_borne(self):
        state = core(1, 2, 3, 4)
        new, back = Replica(5, 5, 5), Replica(2, 22, 2)
        self.assertIsNone(self.due(state))
        self.assertIsNone(self.due(state, ReplicaStatus(new, is_complete=False)))  # a learner
        self.assertEqual(self.due(state, ReplicaStatus(new, True)), (*state.voters, new))
        self.assertIsNone(
            self.due(begin_reconfiguration(state, (*state.voters, new)), ReplicaStatus(Replica(6, 6, 6), True))
        )
        self.assertEqual(
            self.due(state, ReplicaStatus(back, True), ReplicaStatus(new, True)),
            tuple(sorted({*state.voters} - {state.voters[1]} | {back})),
        )  # its first disk is gone: that first
        self.assertIsNone(self.due(state, ReplicaStatus(state.voters[0], True, unreachable_s=7.9)))
        self.assertEqual(self.due(state, ReplicaStatus(state.voters[0], True, unreachable_s=8.1)), state.voters[1:])
        self.assertEqual(self.due(state, ReplicaStatus(state.voters[3], True, is_leaving=True)), state.voters[:3])
        self.assertIsNone(
            self.due(core(1, 2, 3), ReplicaStatus(state.voters[0], True, is_leaving=True))
        )  # two can't bear a loss
        self.assertIsNone(self.due(state, ReplicaStatus(Replica(5, 5, 5), True, is_leaving=True)))

    def test_a_zone_never_holds_what_a_majority_needs(self):
        state = core(1, 2, 3, 4)
        twin, third = Replica(5, 5, 4), Replica(6, 6, 4)
        with_twin = self.due(state, ReplicaStatus(twin, True))
        self.assertEqual(len(with_twin), 5)
        state = finish_reconfiguration(begin_reconfiguration(state, with_twin))
        self.assertIsNone(self.due(state, ReplicaStatus(third, True)))  # three of six in one zone


class TestPlacing(unittest.TestCase):
    def test_a_sick_server_is_left_by_what_requests_saw_and_tried_again_by_few(self):
        a, b = (Target(id, "s", "z1", "r1", 2) for id in "ab")

        def share(now):
            rng = random.Random(5)
            return sum(choose(now, [a, b], "z1", "r1", (), rng) is a for _ in range(100))

        self.assertTrue(30 < share(10.0) < 70)
        for n in range(6):
            a.judged(10.0 + n / 10, badly=n % 2 == 0)  # half of its answers fail
        self.assertEqual(share(10.8), 0)
        self.assertTrue(30 < share(16.0))  # nothing is believed for long
        b.judged(16.0, badly=True)  # one bad end may be chance
        self.assertTrue(30 < share(16.0) < 70)
        b.bad_near = 0.5  # another ingress has seen it fail
        self.assertEqual(share(30.0), 100)

    def test_a_server_out_of_reach_is_held_off_longer_each_time(self):
        a, holds = Target("a", "s", "z1", "r1", 2), []
        for now in (10.0, 20.0, 30.0, 40.0):
            a.unreachable(now)
            holds.append(a.hold - now)
        self.assertEqual(holds, [0.5, 1.0, 2.0, 4.0])
        a.answered(1.0)
        a.unreachable(50.0)
        self.assertEqual(a.hold - 50.0, 0.5)


class TestVerdict(unittest.TestCase):
    def test_only_the_servers_word_or_an_unwritten_request_promises(self):
        self.assertEqual(outcome.of_answer(503, True), Outcome.NOT_EXECUTED)
        self.assertEqual(outcome.of_answer(421, False), Outcome.NOT_EXECUTED)
        self.assertEqual(outcome.of_answer(503, False), Outcome.EXECUTED)
        self.assertEqual((outcome.of_loss(False), outcome.of_loss(True)), (Outcome.NOT_EXECUTED, Outcome.UNKNOWN))
        self.assertFalse(outcome.may_repeat("upload", Outcome.UNKNOWN))
        self.assertEqual(
            [
                outcome.final_status(v, t)
                for v, t in ((Outcome.NOT_EXECUTED, True), (Outcome.UNKNOWN, True), (Outcome.EXECUTED, False))
            ],
            [503, 504, 502],
        )
