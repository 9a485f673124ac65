"""Connections for one call and its reply.

Guards against calls carried out twice, replies taken for another call, and calls that never end.  The tests pass the
bytes between the two ends themselves.
"""

import unittest
from unittest import mock

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.error import ConnectionAborted, ConnectionDone, ConnectionRefusedError
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from mapleline.balancer.transport.connections import CalleeFactory, CallerConnection, OutgoingCall
from mapleline.balancer.transport.errors import DropReason
from mapleline.balancer.transport.messages import FetchedState, FetchState
from tests.balancer.transport.fences import make_fence

PORT, TIMEOUT_S = 7560, 1.5


def written(connection):
    return b"".join(call.args[0] for call in connection.transport.write.call_args_list)


class TestConnections(unittest.TestCase):
    def setUp(self):
        self.caller_fence, self.callee_fence = make_fence(1, 10, {2: 20}), make_fence(2, 20)
        self.replies, self.errors, self.carried_out = [], [], []
        outstanding, data = self.caller_fence.stamp_call(2, FetchState(7))
        result = Deferred()
        result.addCallbacks(self.replies.append, lambda reason: self.errors.append(str(reason.value)))
        self.caller = CallerConnection(self.caller_fence, outstanding, result)
        self.callee = CalleeFactory(self.callee_fence, self.carry_out).buildProtocol(None)
        for connection in (self.caller, self.callee):
            connection.makeConnection(mock.Mock())
        self.caller.send_message(data)

    def carry_out(self, call):
        self.carried_out.append(call)
        return FetchedState()

    def test_a_connection_carries_one_call_and_one_reply(self):
        self.callee.dataReceived(written(self.caller))
        reply = written(self.callee)
        self.caller.dataReceived(reply + reply)
        self.assertEqual((self.replies, self.errors), ([FetchedState()], []))
        self.assertEqual(dict(self.caller_fence.dropped), {DropReason.SURPLUS_REPLY: 1})
        self.callee.dataReceived(written(self.caller))
        self.assertEqual(self.carried_out, [FetchState(7)])
        self.callee.transport.abortConnection.assert_called_once()

    def test_a_message_that_is_not_the_reply_fails_the_call(self):
        for change in (lambda data: data[:16] + b"\x07" + data[17:], lambda data: data[:4] + b"\x05"):
            self.setUp()
            self.callee.dataReceived(written(self.caller))
            self.caller.stringReceived(change(written(self.callee)[4:]))
            self.assertEqual((self.replies, len(self.errors)), ([], 1))

    def test_a_restarted_callee_refuses_a_call_without_carrying_it_out(self):
        self.callee_fence.membership.local_member.incarnation = 21
        self.callee.dataReceived(written(self.caller))
        self.caller.dataReceived(written(self.callee))
        self.assertEqual((self.carried_out, self.errors), ([], [DropReason.REFUSED]))
        self.assertEqual(self.caller_fence.membership.incarnation(2), 21)

    def test_a_call_that_cannot_be_decoded_ends_the_connection_without_an_answer(self):
        self.callee.stringReceived(b"short")
        self.callee.transport.abortConnection.assert_called_once()
        self.assertEqual((written(self.callee), self.carried_out), (b"", []))

    def test_a_handler_that_fails_ends_the_connection(self):
        pending = Deferred()
        self.callee.factory.on_call = lambda call: pending
        self.callee.dataReceived(written(self.caller))
        self.callee.transport.abortConnection.assert_not_called()
        pending.errback(OSError())
        self.callee.transport.abortConnection.assert_called_once()
        self.assertEqual(written(self.callee), b"")


class StandInReactor(Clock):
    """Virtual time, and connections that the test establishes."""

    def connectTCP(self, host, port, factory, timeout):  # noqa: N802  # Twisted's name
        self.dialed, self.factory, self.connector = (host, port, timeout), factory, mock.Mock()
        return self.connector


class TestOutgoingCall(unittest.TestCase):
    def setUp(self):
        self.reactor, self.results = StandInReactor(), []
        self.callee_fence = make_fence(2, 20)
        call = OutgoingCall(make_fence(1, 10, {2: 20}), 2, FetchState(7))
        call.start(self.reactor, PORT, TIMEOUT_S).addBoth(self.results.append)

    def connect(self):
        """Accept the connection and return the caller's end."""
        connection = self.reactor.factory.buildProtocol(None)
        connection.makeConnection(mock.Mock())
        return connection

    def test_a_call_dials_the_callee_and_sets_one_timer(self):
        self.assertEqual(self.reactor.dialed, ("0.0.0.2", PORT, TIMEOUT_S))
        self.assertEqual([timer.getTime() for timer in self.reactor.getDelayedCalls()], [TIMEOUT_S])

    def test_the_request_is_sent_once_connected_and_its_reply_stops_the_timer(self):
        connection = self.connect()
        received = self.callee_fence.receive_call(written(connection)[4:])
        self.assertEqual(received.message, FetchState(7))
        connection.stringReceived(self.callee_fence.stamp_reply(received, FetchedState()))
        self.assertEqual((self.results, self.reactor.getDelayedCalls()), ([FetchedState()], []))
        connection.connectionLost(Failure(ConnectionDone()))
        self.assertEqual(self.results, [FetchedState()])

    def test_a_connection_that_ends_without_a_reply_fails_the_call(self):
        self.connect().connectionLost(Failure(ConnectionDone()))
        self.assertIsInstance(self.results[0].value, ConnectionDone)
        self.assertEqual(self.reactor.getDelayedCalls(), [])

    def test_a_refused_connection_fails_the_call(self):
        self.reactor.factory.clientConnectionFailed(None, Failure(ConnectionRefusedError()))
        self.assertIsInstance(self.results[0].value, ConnectionRefusedError)
        self.assertEqual(self.reactor.getDelayedCalls(), [])

    def test_a_call_without_a_reply_in_time_is_aborted(self):
        connection = self.connect()
        self.reactor.advance(TIMEOUT_S)
        connection.transport.abortConnection.assert_called_once()
        self.assertEqual(self.results, [])
        connection.connectionLost(Failure(ConnectionAborted()))
        self.assertIsInstance(self.results[0].value, ConnectionAborted)

    def test_dialing_that_takes_too_long_is_cancelled(self):
        self.reactor.advance(TIMEOUT_S)
        self.reactor.connector.disconnect.assert_called_once()
        self.assertIsInstance(self.results[0].value, CancelledError)
