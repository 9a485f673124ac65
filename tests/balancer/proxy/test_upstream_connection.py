"""Upstream connections on stub transports: the outcome of an attempt for each way in which it can end.

A wrong outcome would execute a request twice, or report an executed one as not executed.
"""

import unittest
from functools import partial
from unittest import mock

from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from mapleline.balancer.proxy import upstream_attempt, upstream_connection, upstream_pool
from mapleline.balancer.proxy.outcome import EndReason, Outcome
from mapleline.balancer.proxy.upstream_attempt import Attempt
from mapleline.balancer.proxy.upstream_connection import UpstreamConnection
from mapleline.balancer.proxy.upstream_pool import UpstreamPool
from mapleline.http1 import BufferPool, Upload
from mapleline.policy.placing import Target

REQUEST = b"POST /book/7 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nscan"


def response(id=b"q1", status=200, body=b"whole", lines=b""):
    id_line = b"Request-Id: %b\r\n" % id if id else b""
    return b"HTTP/1.1 %d x\r\n%b%bContent-Length: %d\r\n\r\n%b" % (status, id_line, lines, len(body), body)


class StubTransport:
    """A transport that accepts `room_bytes` bytes and no more; `unread` has bytes received but not yet read."""

    bufferSize = 0

    def __init__(self, room_bytes=1 << 30):
        self.sent, self.ended, self.room_bytes, self.unread, self.producer = b"", False, room_bytes, b"", None
        self.socket = self

    def send(self, data):
        taken = data[: self.room_bytes]
        self.sent, self.room_bytes = self.sent + taken, self.room_bytes - len(taken)
        return len(taken)

    def write(self, data):
        self.sent += b""  # bytes that the kernel has not accepted

    def recv(self, size, flags):
        if not self.unread:
            raise BlockingIOError
        return self.unread[:size]

    def getHandle(self):
        return self

    def setsockopt(self, *_):
        pass

    def setTcpNoDelay(self, on):
        pass

    def registerProducer(self, producer, streaming):
        self.producer = producer

    def unregisterProducer(self):
        self.producer = None

    def abortConnection(self):
        self.ended = True  # Twisted calls connectionLost in its next turn


class TestUpstreamConnection(unittest.TestCase):
    def setUp(self):
        self.clock, self.connecting = Clock(), []
        self.clock.connectTCP = lambda host, port, factory, timeout: self.connecting.append(factory)
        self.pool = UpstreamPool(self.clock, BufferPool())
        self.target = Target("i-a", "s1", "z1", "r1", 2)

    def attempt(self, id=b"q1", is_idempotent=False, upload=None):
        ended = []
        attempt = Attempt(id, self.target, REQUEST, ended.append, is_idempotent, upload=upload)
        self.pool.send(attempt, ("10.0.0.1", 80))
        return attempt

    def establish(self, room_bytes=1 << 30):
        """Establish the connection that is being opened, and return it."""
        connection = self.connecting.pop(0).buildProtocol(None)
        connection.transport, connection.connected = StubTransport(room_bytes), 1
        connection.connectionMade()
        return connection

    def lose(self, connection, clean=False):
        connection.connectionLost(Failure(ConnectionDone() if clean else ConnectionLost()))

    def make_idle_connection(self):
        """Return an idle connection over which one request was answered."""
        first = self.attempt(b"q0")
        connection = self.establish()
        connection.dataReceived(response(b"q0"))
        self.assertEqual((first.end_reason, self.target.idle_connections), (EndReason.RESPONSE, [connection]))
        return connection

    def assert_ended(self, attempt, reason, outcome):
        self.assertEqual((attempt.end_reason, attempt.outcome), (reason, outcome))

    def test_a_connection_lost_or_closed_without_a_response_leaves_execution_unknown(self):
        for clean in (False, True):
            for room_bytes in (1 << 30, 7, 0):  # bytes accepted by the kernel: all, a part of the head, none
                for part in (b"", response()[:20], response()[:-1]):
                    attempt = self.attempt()
                    connection = self.establish(room_bytes)
                    if part:
                        connection.dataReceived(part)
                    self.lose(connection, clean)
                    self.assert_ended(
                        attempt, EndReason.CONNECTION_CLOSED if clean else EndReason.CONNECTION_LOST, Outcome.UNKNOWN
                    )

    def test_an_attempt_whose_connection_was_never_established_was_not_executed(self):
        attempt = self.attempt()
        self.connecting.pop().clientConnectionFailed(None, Failure(ConnectionLost()))
        self.assert_ended(attempt, EndReason.UNREACHABLE, Outcome.NOT_EXECUTED)

    def test_one_response_to_another_request_is_skipped(self):
        others = [
            response(b"q9"),
            response(b"q9", 503, lines=b"Not-Executed: 1\r\n"),
            response(b"q9", 421),
            response(b""),
        ]
        for make_connection in (None, self.make_idle_connection):
            for other in others:
                connection = make_connection() if make_connection else None
                attempt = self.attempt()
                connection = connection or self.establish()
                connection.dataReceived(other)
                self.assertIsNone(attempt.end_reason)
                connection.dataReceived(response())
                self.assert_ended(attempt, EndReason.RESPONSE, Outcome.EXECUTED)
                self.assertEqual((attempt.response.headers[b"request-id"], attempt.response.body), (b"q1", b"whole"))
                self.assertTrue(connection.transport.ended)
                self.assertNotIn(connection, self.target.idle_connections)

    def test_two_foreign_responses_or_a_long_one_end_the_connection_and_leave_execution_unknown(self):
        for surplus in (
            response(b"q8") + response(b"q9"),
            response(b"q9", body=b"x" * 70000),
            b"HTTP/1.1 200 x\r\nRequest-Id: q9\r\n\r\n",
            b"\x00noise\r\n\r\n",
        ):
            attempt = self.attempt()
            connection = self.establish()
            connection.dataReceived(surplus)
            if not attempt.end_reason:
                self.lose(connection, True)
            self.assertEqual((attempt.outcome, attempt.response), (Outcome.UNKNOWN, None))
            connection.dataReceived(response())  # after bytes that cannot be assigned to a request
            self.assertEqual((attempt.outcome, attempt.response, connection.attempt), (Outcome.UNKNOWN, None, None))

    def test_a_response_without_an_id_counts_only_for_the_first_request_of_a_connection(self):
        without_id = response(b"", 503, lines=b"Not-Executed: 1\r\n")
        attempt = self.attempt()
        self.establish().dataReceived(without_id)
        self.assert_ended(attempt, EndReason.RESPONSE, Outcome.NOT_EXECUTED)
        self.target.idle_connections.clear()
        connection, attempt = self.make_idle_connection(), self.attempt()
        connection.dataReceived(without_id)  # it may be a late response to the request before
        self.assertIsNone(attempt.end_reason)
        self.lose(connection)
        self.assert_ended(attempt, EndReason.CONNECTION_LOST, Outcome.UNKNOWN)

    def test_a_request_is_never_sent_twice_over_one_connection(self):
        first = self.attempt()
        connection = self.establish()
        connection.dataReceived(response(b"q1", 503, lines=b"Not-Executed: 1\r\n"))
        self.assert_ended(first, EndReason.RESPONSE, Outcome.NOT_EXECUTED)
        self.assertEqual(self.target.idle_connections, [connection])
        again = self.attempt()
        # a duplicate of the first response would pass for the response to the second attempt
        self.assertIsNone(connection.attempt)
        self.establish().dataReceived(response())
        self.assert_ended(again, EndReason.RESPONSE, Outcome.EXECUTED)

    def test_a_connection_with_surplus_bytes_is_not_reused(self):
        connection = self.make_idle_connection()
        connection.transport.unread = b"H"  # not yet read by the reactor
        attempt = self.attempt()
        self.assertTrue(connection.transport.ended and connection.attempt is None)
        self.establish().dataReceived(response())
        self.assert_ended(attempt, EndReason.RESPONSE, Outcome.EXECUTED)
        self.target.idle_connections.clear()
        connection = self.make_idle_connection()
        connection.dataReceived(response(b"q0"))  # read in the turn in which the next request is sent
        attempt = self.attempt()
        self.assertTrue(connection.transport.ended and connection.attempt is None)
        self.establish().dataReceived(response())
        self.assert_ended(attempt, EndReason.RESPONSE, Outcome.EXECUTED)
        self.target.idle_connections.clear()
        attempt = self.attempt()
        connection = self.establish()
        connection.dataReceived(response() + b"more")
        self.assert_ended(attempt, EndReason.RESPONSE, Outcome.EXECUTED)
        self.assertTrue(connection.transport.ended)

    def test_a_connection_idle_for_long_is_reused_for_idempotent_requests_only(self):
        connection = self.make_idle_connection()
        self.clock.advance(upstream_pool.MAX_IDLE_NON_IDEMPOTENT_S + 0.1)
        self.attempt()
        self.assertEqual((len(self.connecting), connection.attempt), (1, None))
        idempotent = self.attempt(b"q2", is_idempotent=True)
        self.assertIs(connection.attempt, idempotent)

    def test_a_response_before_the_end_of_the_request_counts_and_the_connection_is_not_kept(self):
        for status, lines, outcome in (
            (200, b"", Outcome.EXECUTED),
            (503, b"Not-Executed: 1\r\n", Outcome.NOT_EXECUTED),
            (421, b"", Outcome.NOT_EXECUTED),
            (503, b"", Outcome.EXECUTED),
        ):
            attempt = self.attempt()
            connection = self.establish(room_bytes=9)  # the kernel has accepted a part
            connection.dataReceived(response(b"q1", status, lines=lines))
            self.assert_ended(attempt, EndReason.RESPONSE, outcome)
            self.assertTrue(connection.transport.ended)
            discarded = []
            upload = Upload(1 << 21, lambda: None, partial(discarded.append, True))
            attempt = self.attempt(upload=upload)
            connection = self.establish()
            upload.put(b"x" * 100, False)
            connection.dataReceived(response(b"q1", status, lines=lines))
            self.assert_ended(attempt, EndReason.RESPONSE, outcome)
            self.assertTrue(connection.transport.ended and discarded)  # the sent part cannot be sent to another server
            upload.put(b"y" * 100, False)
            self.assertNotIn(b"y", connection.transport.sent)

    def test_interim_responses_are_skipped(self):
        attempt = self.attempt()
        connection = self.establish()
        connection.dataReceived(b"HTTP/1.1 100 Continue\r\n\r\n")
        self.assertIsNone(attempt.end_reason)
        connection.dataReceived(b"HTTP/1.1 103 Early Hints\r\nNot-Executed: 1\r\n\r\n" + response())
        self.assert_ended(attempt, EndReason.RESPONSE, Outcome.EXECUTED)

    def test_each_defence_is_needed(self):
        """Removing any one of the defences makes one of the tests above fail."""
        cases = [
            (
                mock.patch.object(upstream_connection, "is_response_to", lambda attempt, response: True),
                self.test_one_response_to_another_request_is_skipped,
            ),
            (
                mock.patch.object(UpstreamConnection, "is_reused", False),
                self.test_a_response_without_an_id_counts_only_for_the_first_request_of_a_connection,
            ),
            (
                mock.patch.object(UpstreamConnection, "has_unread", False),
                self.test_a_connection_with_surplus_bytes_is_not_reused,
            ),
            (
                mock.patch.object(upstream_pool, "MAX_IDLE_NON_IDEMPOTENT_S", 99.0),
                self.test_a_connection_idle_for_long_is_reused_for_idempotent_requests_only,
            ),
            (
                mock.patch.object(upstream_attempt, "classify_loss", lambda _: Outcome.NOT_EXECUTED),
                self.test_a_connection_lost_or_closed_without_a_response_leaves_execution_unknown,
            ),
        ]
        for mutant, test in cases:
            self.setUp()
            with mutant, self.assertRaises(AssertionError):
                test()
