"""Stale, foreign and misrouted datagrams, calls and replies must be dropped.

The tests also check that each would be accepted without the fence.
"""

import unittest
from unittest import mock

from mapleline.balancer.membership.member import MemberFlags
from mapleline.balancer.membership.table import MembershipTable
from mapleline.balancer.transport.errors import DropReason, TransportError, UnexpectedReplyError
from mapleline.balancer.transport.fencing import Fence
from mapleline.balancer.transport.messages import Accepted, FetchState
from mapleline.balancer.transport.stamps import DatagramStamps
from tests.balancer.transport.fences import HEARTBEAT, INCREMENT, make_fence, own_incarnation, without_stamps

REPLY = Accepted(True, 1)


class TestDatagrams(unittest.TestCase):
    def is_accepted(self, receiver, sender, data):
        return receiver.receive_datagram(sender.membership.local_member.ip, data).message is not None

    def assert_dropped(self, reason, receiver, sender, data):
        """Check that a datagram is dropped and counted, but accepted without the fence; return the refusal."""
        with without_stamps:
            self.assertTrue(self.is_accepted(receiver, sender, data))
        received = receiver.receive_datagram(sender.membership.local_member.ip, data)
        self.assertIsNone(received.message)
        self.assertEqual(dict(receiver.dropped), {reason: 1})
        return received.refusal

    def test_a_datagram_of_another_system_is_dropped_without_a_refusal(self):
        sender, receiver = make_fence(1, 10, system_id=0xAAAA), make_fence(2, 20, system_id=0xBBBB)
        data = sender.stamp_datagram(2, INCREMENT)
        self.assertIsNone(self.assert_dropped(DropReason.FOREIGN_SYSTEM, receiver, sender, data))

    def test_a_datagram_is_accepted_while_either_side_does_not_know_its_system(self):
        sender = make_fence(1, 10, system_id=0xAAAA)
        for system_id in (0, 0xAAAA):
            receiver = make_fence(2, 20, system_id=system_id)
            self.assertTrue(self.is_accepted(receiver, sender, sender.stamp_datagram(2, INCREMENT)))
        sender.system_id = 0
        receiver = make_fence(2, 20, system_id=0xBBBB)
        self.assertTrue(self.is_accepted(receiver, sender, sender.stamp_datagram(2, INCREMENT)))

    def test_a_late_datagram_of_an_earlier_incarnation_is_dropped(self):
        earlier, receiver = make_fence(1, 10), make_fence(2, 20)
        late = earlier.stamp_datagram(2, INCREMENT)
        restarted = make_fence(1, 11)  # not in the receiver's table yet
        self.assertTrue(self.is_accepted(receiver, earlier, restarted.stamp_datagram(2, HEARTBEAT)))
        self.assert_dropped(DropReason.STALE_SENDER, receiver, earlier, late)

    def test_a_sender_learns_the_receivers_new_incarnation_from_a_refusal(self):
        sender, restarted = make_fence(1, 10, {2: 20}), make_fence(2, 21)
        data = sender.stamp_datagram(2, INCREMENT)
        refusal = self.assert_dropped(DropReason.OTHER_INCARNATION, restarted, sender, data)
        self.assertEqual(sender.receive_datagram(2, refusal), (None, None))  # a refusal is not refused
        self.assertTrue(self.is_accepted(restarted, sender, sender.stamp_datagram(2, INCREMENT)))
        member = sender.membership.members[2]  # only the disk flag is kept for the new incarnation
        self.assertEqual((member.incarnation, member.heartbeat_count, member.flags), (21, 0, MemberFlags.HAS_DISK))
        sender.receive_datagram(2, refusal)
        self.assertEqual(own_incarnation(sender), 10)

    def test_a_heartbeat_is_accepted_by_any_incarnation(self):
        sender, restarted = make_fence(1, 10, {2: 20}), make_fence(2, 21)
        self.assertTrue(self.is_accepted(restarted, sender, sender.stamp_datagram(2, HEARTBEAT)))

    def test_a_sender_whose_clock_was_set_back_raises_its_incarnation_after_one_refusal(self):
        sender, receiver = make_fence(1, 5), make_fence(2, 20, {1: 10})
        data = sender.stamp_datagram(2, INCREMENT)
        refusal = self.assert_dropped(DropReason.STALE_SENDER, receiver, sender, data)
        sender.receive_datagram(2, refusal)
        self.assertEqual(own_incarnation(sender), 11)
        self.assertTrue(self.is_accepted(receiver, sender, sender.stamp_datagram(2, INCREMENT)))
        with mock.patch.object(MembershipTable, "refute", return_value=None):
            other = make_fence(3, 5)
            other.receive_datagram(2, DatagramStamps(0, 20, 10).encode())
        self.assertEqual(own_incarnation(other), 5)

    def test_a_truncated_or_undecodable_datagram_is_dropped_without_a_refusal(self):
        receiver = make_fence(2, 20, {1: 10})
        self.assertEqual(receiver.receive_datagram(1, b"short"), (None, None))
        self.assertEqual(receiver.receive_datagram(1, DatagramStamps(0, 11, 0).encode() + b"\xc1"), (None, None))
        self.assertEqual(dict(receiver.dropped), {DropReason.TRUNCATED: 1, DropReason.UNDECODABLE: 1})

    def test_a_message_of_a_sequence_is_dropped_after_a_later_one(self):
        sender, receiver = make_fence(1, 10), make_fence(2, 20)
        numbers = [sender.next_sequence() for _ in range(3)]
        accepted = [receiver.accept_sequence(1, numbers[index]) for index in (0, 2, 1, 2)]
        self.assertEqual(accepted, [True, True, False, False])
        receiver.receive_datagram(1, make_fence(1, 11).stamp_datagram(2, HEARTBEAT))
        self.assertTrue(receiver.accept_sequence(1, 1))  # numbering restarts with the incarnation

    def test_drops_are_reported_once_by_reason(self):
        receiver = make_fence(2, 20)
        self.assertEqual(receiver.new_drops(), {})
        receiver.receive_datagram(1, b"short")
        self.assertEqual(receiver.new_drops(), {"truncated": 1})
        self.assertEqual(receiver.new_drops(), {})


class TestCalls(unittest.TestCase):
    def setUp(self):
        self.caller, self.callee = make_fence(1, 10, {2: 20}), make_fence(2, 20)

    def call(self, callee=None):
        """Return an outstanding call, and the call as received by the callee or another ingress."""
        outstanding, data = self.caller.stamp_call(2, FetchState())
        return outstanding, (callee or self.callee).receive_call(data)

    def assert_dropped(self, reason, outstanding, data):
        """Check that a reply is dropped and counted, but accepted without the fence."""
        has_reply = outstanding.has_reply
        with mock.patch.object(Fence, "_check_reply", return_value=None):
            self.assertEqual(self.caller.receive_reply(outstanding, data), REPLY)
        outstanding.has_reply = has_reply
        with self.assertRaises(UnexpectedReplyError) as caught:
            self.caller.receive_reply(outstanding, data)
        self.assertIsInstance(caught.exception, TransportError)
        self.assertEqual((str(caught.exception), caught.exception.reason), (reason.value, reason))
        self.assertEqual(self.caller.dropped[reason], 1)
        self.caller.dropped.clear()

    def test_a_reply_is_accepted_once(self):
        outstanding, received = self.call()
        data = self.callee.stamp_reply(received, REPLY)
        self.assertEqual(self.caller.receive_reply(outstanding, data), REPLY)
        self.assert_dropped(DropReason.SURPLUS_REPLY, outstanding, data)

    def test_a_reply_to_an_earlier_call_is_dropped(self):
        outstanding, received = self.call()
        data = self.callee.stamp_reply(received, REPLY)
        self.assertEqual(self.caller.receive_reply(outstanding, data), REPLY)
        self.assert_dropped(DropReason.OTHER_CALL, self.call()[0], data)

    def test_a_reply_to_another_caller_with_the_same_incarnation_and_count_is_dropped(self):
        other = make_fence(3, 10, {2: 20})
        received = self.callee.receive_call(other.stamp_call(2, FetchState())[1])
        self.assert_dropped(DropReason.OTHER_CALL, self.call()[0], self.callee.stamp_reply(received, REPLY))

    def test_a_reply_of_another_ingress_is_dropped(self):
        other = make_fence(3, 20)
        outstanding, received = self.call(other)
        self.assert_dropped(DropReason.OTHER_CALL, outstanding, other.stamp_reply(received, REPLY))

    def test_a_reply_of_another_system_is_dropped(self):
        outstanding, received = self.call()
        self.caller.system_id, self.callee.system_id = 0xAAAA, 0xBBBB
        self.assert_dropped(DropReason.FOREIGN_SYSTEM, outstanding, self.callee.stamp_reply(received, REPLY))

    def test_a_reply_to_an_earlier_incarnation_of_the_caller_is_dropped(self):
        outstanding, received = self.call()
        self.caller.membership.local_member.incarnation = 11  # raised meanwhile
        self.assert_dropped(DropReason.OTHER_INCARNATION, outstanding, self.callee.stamp_reply(received, REPLY))

    def test_a_reply_of_another_incarnation_than_was_called_is_dropped(self):
        outstanding, received = self.call()
        late = self.callee.stamp_reply(received, REPLY)
        self.callee.membership.local_member.incarnation = 21
        self.assert_dropped(DropReason.CALLEE_RESTARTED, outstanding, self.callee.stamp_reply(received, REPLY))
        outstanding.has_reply, outstanding.receiver_incarnation = False, 0
        self.assert_dropped(DropReason.STALE_SENDER, outstanding, late)  # the callee restarted before its reply arrived

    def test_a_call_to_an_earlier_incarnation_is_not_carried_out_and_fails_at_once(self):
        restarted = make_fence(2, 21)
        with without_stamps:
            self.assertEqual(self.call(restarted)[1].message, FetchState())
        outstanding, received = self.call(restarted)
        self.assertIsNone(received.message)
        with self.assertRaises(UnexpectedReplyError):
            self.caller.receive_reply(outstanding, received.refusal)
        self.assertEqual(self.call(restarted)[1].message, FetchState())
        self.assertEqual(dict(restarted.dropped), {DropReason.OTHER_INCARNATION: 1})

    def test_a_call_of_another_system_is_dropped_without_a_refusal(self):
        self.callee.system_id, self.caller.system_id = 0xBBBB, 0xAAAA
        received = [self.call()[1] for _ in range(2)]
        self.assertEqual([(call.message, call.refusal) for call in received], [(None, b"")] * 2)
        self.assertEqual(dict(self.callee.dropped), {DropReason.FOREIGN_SYSTEM: 2})
