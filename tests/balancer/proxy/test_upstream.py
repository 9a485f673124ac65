"""The connections to servers on stand-in transports: what a request that may run once is known to have done."""

import unittest
from functools import partial
from unittest import mock

from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from mapleline.balancer.proxy import outcome, upstream
from mapleline.balancer.proxy.outcome import EndReason, Outcome
from mapleline.balancer.proxy.upstream import Attempt, UpstreamConnection, UpstreamPool
from mapleline.http1.buffers import BufferPool
from mapleline.http1.upload import Upload
from mapleline.policy.placing import Target

REQUEST = b"POST /book/7 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nscan"


def answer(id=b"q1", status=200, body=b"whole", lines=b""):
    said = b"Request-Id: %b\r\n" % id if id else b""
    return b"HTTP/1.1 %d x\r\n%b%bContent-Length: %d\r\n\r\n%b" % (status, said, lines, len(body), body)


class Transport:
    """Takes `room` bytes at once, and the rest when it is let; `waits` is what has come and nobody has read."""

    bufferSize = 0

    def __init__(self, room=1 << 30):
        self.sent, self.ended, self.room, self.waits, self.producer = b"", False, room, b"", None
        self.socket = self

    def send(self, data):
        taken = data[: self.room]
        self.sent, self.room = self.sent + taken, self.room - len(taken)
        return len(taken)

    def write(self, data):
        self.sent += b""  # what the kernel has not taken

    def recv(self, size, flags):
        if not self.waits:
            raise BlockingIOError
        return self.waits[:size]

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
        self.ended = True  # Twisted tells of it in its next turn


class TestTowardsServers(unittest.TestCase):
    def setUp(self):
        self.clock, self.dialed = Clock(), []
        self.clock.connectTCP = lambda host, port, factory, timeout: self.dialed.append(factory)
        self.servers = UpstreamPool(self.clock, BufferPool())
        self.target = Target("i-a", "s1", "z1", "r1", 2)

    def attempt(self, id=b"q1", repeatable=False, upload=None):
        ended = []
        attempt = Attempt(id, self.target, REQUEST, ended.append, repeatable, upload=upload)
        self.servers.send(attempt, ("10.0.0.1", 80))
        return attempt

    def up(self, room=1 << 30):
        """The connection that is being made comes up."""
        link = self.dialed.pop(0).buildProtocol(None)
        link.transport, link.connected = Transport(room), 1
        link.connectionMade()
        return link

    def lost(self, link, clean=False):
        link.connectionLost(Failure(ConnectionDone() if clean else ConnectionLost()))

    def kept(self):
        """A connection over which one request was answered."""
        first = self.attempt(b"q0")
        link = self.up()
        link.dataReceived(answer(b"q0"))
        self.assertEqual((first.end_reason, self.target.links), (EndReason.RESPONSE, [link]))
        return link

    def ends(self, attempt, why, said):
        self.assertEqual((attempt.end_reason, attempt.outcome), (why, said))

    def test_silence_a_reset_and_a_close(self):
        for clean in (False, True):
            for room in (1 << 30, 7, 0):  # written whole, half a head, not a byte that is known of
                for part in (b"", answer()[:20], answer()[:-1]):
                    attempt = self.attempt()
                    link = self.up(room)
                    if part:
                        link.dataReceived(part)
                    self.lost(link, clean)
                    self.ends(
                        attempt, EndReason.CONNECTION_CLOSED if clean else EndReason.CONNECTION_LOST, Outcome.UNKNOWN
                    )

    def test_a_connection_that_never_came_up_has_carried_nothing(self):
        attempt = self.attempt()
        self.dialed.pop().clientConnectionFailed(None, Failure(ConnectionLost()))
        self.ends(attempt, EndReason.UNREACHABLE, Outcome.NOT_EXECUTED)

    def test_answers_of_others_are_passed_over(self):
        others = [answer(b"q9"), answer(b"q9", 503, lines=b"Not-Executed: 1\r\n"), answer(b"q9", 421), answer(b"")]
        for make in (None, self.kept):
            for other in others:
                link = make() if make else None
                attempt = self.attempt()
                link = link or self.up()
                link.dataReceived(other)
                self.assertIsNone(attempt.end_reason)
                link.dataReceived(answer())
                self.ends(attempt, EndReason.RESPONSE, Outcome.EXECUTED)
                self.assertEqual((attempt.response.headers[b"request-id"], attempt.response.body), (b"q1", b"whole"))
                self.assertTrue(link.transport.ended)
                self.assertNotIn(link, self.target.links)

    def test_two_others_or_a_long_one_end_the_connection_and_tell_nothing(self):
        for surplus in (
            answer(b"q8") + answer(b"q9"),
            answer(b"q9", body=b"x" * 70000),
            b"HTTP/1.1 200 x\r\nRequest-Id: q9\r\n\r\n",
            b"\x00noise\r\n\r\n",
        ):
            attempt = self.attempt()
            link = self.up()
            link.dataReceived(surplus)
            if not attempt.end_reason:
                self.lost(link, True)
            self.assertEqual((attempt.outcome, attempt.response), (Outcome.UNKNOWN, None))
            link.dataReceived(answer())  # behind what cannot be told apart
            self.assertEqual((attempt.outcome, attempt.response, link.attempt), (Outcome.UNKNOWN, None, None))

    def test_an_answer_without_an_id_frees_only_what_came_first(self):
        nobody = answer(b"", 503, lines=b"Not-Executed: 1\r\n")
        attempt = self.attempt()
        self.up().dataReceived(nobody)
        self.ends(attempt, EndReason.RESPONSE, Outcome.NOT_EXECUTED)
        self.target.links.clear()
        link, attempt = self.kept(), self.attempt()
        link.dataReceived(nobody)  # perhaps a late one of the request before
        self.assertIsNone(attempt.end_reason)
        self.lost(link)
        self.ends(attempt, EndReason.CONNECTION_LOST, Outcome.UNKNOWN)

    def test_the_same_request_never_goes_twice_over_one_connection(self):
        first = self.attempt()
        link = self.up()
        link.dataReceived(answer(b"q1", 503, lines=b"Not-Executed: 1\r\n"))
        self.ends(first, EndReason.RESPONSE, Outcome.NOT_EXECUTED)
        self.assertEqual(self.target.links, [link])
        again = self.attempt()
        self.assertIsNone(link.attempt)  # a second copy of that answer would free what runs
        self.up().dataReceived(answer())
        self.ends(again, EndReason.RESPONSE, Outcome.EXECUTED)

    def test_nothing_goes_over_a_connection_with_surplus_bytes(self):
        link = self.kept()
        link.transport.waits = b"H"  # not yet read here
        attempt = self.attempt()
        self.assertTrue(link.transport.ended and link.attempt is None)
        self.up().dataReceived(answer())
        self.ends(attempt, EndReason.RESPONSE, Outcome.EXECUTED)
        self.target.links.clear()
        link = self.kept()
        link.dataReceived(answer(b"q0"))  # read, in the turn in which the next request is sent
        attempt = self.attempt()
        self.assertTrue(link.transport.ended and link.attempt is None)
        self.up().dataReceived(answer())
        self.ends(attempt, EndReason.RESPONSE, Outcome.EXECUTED)
        self.target.links.clear()
        attempt = self.attempt()
        link = self.up()
        link.dataReceived(answer() + b"more")
        self.ends(attempt, EndReason.RESPONSE, Outcome.EXECUTED)
        self.assertTrue(link.transport.ended)

    def test_a_connection_that_rested_long_is_not_for_all(self):
        link = self.kept()
        self.clock.advance(upstream.MAX_IDLE_NON_IDEMPOTENT_S + 0.1)
        self.attempt()
        self.assertEqual((len(self.dialed), link.attempt), (1, None))
        repeatable = self.attempt(b"q2", repeatable=True)
        self.assertIs(link.attempt, repeatable)

    def test_an_answer_before_the_request_is_out_is_taken_and_the_connection_is_not(self):
        for status, lines, said in (
            (200, b"", Outcome.EXECUTED),
            (503, b"Not-Executed: 1\r\n", Outcome.NOT_EXECUTED),
            (421, b"", Outcome.NOT_EXECUTED),
            (503, b"", Outcome.EXECUTED),
        ):
            attempt = self.attempt()
            link = self.up(room=9)  # the kernel has taken a part
            link.dataReceived(answer(b"q1", status, lines=lines))
            self.ends(attempt, EndReason.RESPONSE, said)
            self.assertTrue(link.transport.ended)
            spent = []
            upload = Upload(1 << 21, lambda: None, partial(spent.append, True))
            attempt = self.attempt(upload=upload)
            link = self.up()
            upload.put(b"x" * 100, False)
            link.dataReceived(answer(b"q1", status, lines=lines))
            self.ends(attempt, EndReason.RESPONSE, said)
            self.assertTrue(link.transport.ended and spent)  # what is gone is not there for another server
            upload.put(b"y" * 100, False)
            self.assertNotIn(b"y", link.transport.sent)

    def test_interim_answers_are_none(self):
        attempt = self.attempt()
        link = self.up()
        link.dataReceived(b"HTTP/1.1 100 Continue\r\n\r\n")
        self.assertIsNone(attempt.end_reason)
        link.dataReceived(b"HTTP/1.1 103 Early Hints\r\nNot-Executed: 1\r\n\r\n" + answer())
        self.ends(attempt, EndReason.RESPONSE, Outcome.EXECUTED)

    def test_what_holds_these(self):
        """Each defence taken out lets one of the tests above find the fault."""
        cases = [
            (
                mock.patch.object(upstream, "is_response_to", lambda a, r: True),
                self.test_answers_of_others_are_passed_over,
            ),
            (
                mock.patch.object(UpstreamConnection, "is_reused", False),
                self.test_an_answer_without_an_id_frees_only_what_came_first,
            ),
            (
                mock.patch.object(UpstreamConnection, "unread", False),
                self.test_nothing_goes_over_a_connection_with_surplus_bytes,
            ),
            (
                mock.patch.object(upstream, "MAX_IDLE_NON_IDEMPOTENT_S", 99.0),
                self.test_a_connection_that_rested_long_is_not_for_all,
            ),
            (
                mock.patch.object(upstream, "of_loss", lambda _: Outcome.NOT_EXECUTED),
                self.test_silence_a_reset_and_a_close,
            ),
        ]
        for mutant, test in cases:
            self.setUp()
            with mutant, self.assertRaises(AssertionError):
                test()


class TestPassedOn(unittest.TestCase):
    def test_statuses_that_promise_are_passed_on_only_where_the_promise_is_true(self):
        from mapleline.http1.messages import Response

        for status in (200, 404, 408, 429, 500, 503, 504):
            for kind in ("idempotent", "non_idempotent", "upload"):
                passes = outcome.may_pass(kind, Response(status, {}, b"", True))
                self.assertEqual(passes, kind == "idempotent" or status not in (408, 429, 503), (status, kind))
