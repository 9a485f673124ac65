"""Client connections on a stub transport: split requests, streamed bodies and responses, and limits."""

import unittest

from twisted.internet.task import Clock

from mapleline.balancer.proxy.listener import Listener
from mapleline.http1 import BUFFER_SIZE, BufferPool


class StubTransport:
    """A transport that records what is sent, and how the connection was closed."""

    bufferSize = 0

    def __init__(self):
        self.sent, self.ended, self.socket, self.paused = b"", "", self, False

    def send(self, data):
        self.sent += data
        return len(data)

    def setTcpNoDelay(self, on):
        pass

    def loseConnection(self):
        self.ended = "closed"

    def loseWriteConnection(self):
        self.ended = "half"

    def abortConnection(self):
        self.ended = "aborted"

    def pauseProducing(self):
        self.paused = True

    def resumeProducing(self):
        self.paused = False


class TestClientConnection(unittest.TestCase):
    def setUp(self):
        self.clock, self.handled = Clock(), []
        self.listener = Listener(
            self.clock, BufferPool(), lambda client_conn, request: self.handled.append((client_conn, request))
        )
        self.listener.idle_timeout_s = 15.0

    def client_conn(self):
        client_conn = self.listener.buildProtocol(None)
        client_conn.transport, client_conn.connected = StubTransport(), 1
        client_conn.connectionMade()
        return client_conn

    def test_split_and_pipelined_requests_are_answered_in_order(self):
        client_conn = self.client_conn()
        for piece in (
            b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Le",
            b"ngth: 4\r\n\r\nsc",
            b"anGET /b HTTP/1.1\r\nHost: x\r\n\r\n",
        ):
            client_conn.dataReceived(piece)
        self.assertEqual([r.body for _, r in self.handled], [b"scan"])
        client_conn.reply(200, b"first")
        self.clock.advance(0)
        self.assertEqual([r.target for _, r in self.handled], [b"/a", b"/b"])
        self.listener.is_draining = True
        client_conn.reply(503, b"second", b"Retry-After: 0.30\r\n")
        self.assertEqual(
            client_conn.transport.sent,
            (
                b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nKeep-Alive: timeout=15\r\n\r\nfirst"
                b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 6\r\nRetry-After: 0.30\r\n"
                b"Connection: close\r\n\r\nsecond"
            ),
        )
        self.assertEqual(client_conn.transport.ended, "closed")

    def test_a_long_body_is_streamed_no_faster_than_a_server_accepts_it(self):
        self.listener.stream_threshold_bytes = 4 * BUFFER_SIZE
        client_conn = self.client_conn()
        client_conn.dataReceived(b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n")
        client_conn.dataReceived(bytes(70000))
        [(_, request)] = self.handled
        self.assertEqual((len(request.body), request.length, client_conn.transport.paused), (70000, 100000, True))
        server = StubTransport()
        server.is_flushed = True
        client_conn.upload.attach(server, lambda: self.handled.append("out"))
        self.assertFalse(client_conn.transport.paused)
        server.is_flushed = False
        client_conn.dataReceived(bytes(20000))
        self.assertEqual((len(server.sent), client_conn.transport.paused, request.body), (20000, True, b""))
        server.is_flushed = True
        client_conn.upload.flushed()
        self.assertFalse(client_conn.transport.paused)
        client_conn.dataReceived(bytes(10000))
        self.assertEqual((len(server.sent), self.handled[1:]), (30000, ["out"]))
        client_conn.reply(200, b"kept")
        self.assertEqual((client_conn.transport.ended, self.listener.buffer_pool.reserved_bytes), ("", 0))

    def test_a_client_rejected_while_sending_its_body_can_read_the_response_before_the_close(self):
        self.listener.stream_threshold_bytes = 4 * BUFFER_SIZE
        client_conn = self.client_conn()
        client_conn.dataReceived(b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n" + bytes(70000))
        client_conn.reply(429, b"over")
        self.assertEqual((client_conn.transport.ended, client_conn.transport.paused), ("half", False))
        self.assertIn(b"Connection: close", client_conn.transport.sent)
        client_conn.dataReceived(bytes(30000) + b"GET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assertEqual(len(self.handled), 1)
        self.listener.close_idle_connections(self.clock.seconds() + 7.0)
        self.assertEqual(client_conn.transport.ended, "aborted")

    def test_a_truncated_streamed_response_never_looks_complete(self):
        for length, is_complete, end in ((9, True, b"part"), (None, True, b"\r\n0\r\n\r\n"), (9, False, b"part")):
            client_conn, source = self.client_conn(), StubTransport()
            client_conn.dataReceived(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
            client_conn.begin_reply(200, b"Server-Stamp: s\r\n", length, source)
            client_conn.send_part(b"first")
            client_conn.send_part(b"part")
            client_conn.end_reply(is_complete)
            self.assertTrue(client_conn.transport.sent.endswith(end))
            self.assertEqual(client_conn.transport.ended, "" if is_complete else "closed")

    def test_bodies_are_streamed_while_the_buffer_pool_is_short(self):
        self.listener.buffer_pool.limit_bytes, self.listener.stream_threshold_bytes = 20 * BUFFER_SIZE, 1 << 20
        for _ in range(5):
            head = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n"
            self.client_conn().dataReceived(head + bytes(8 * BUFFER_SIZE))
        self.assertEqual([r.is_streamed for _, r in self.handled], [True] * 3)  # the first two use up the buffers
        self.assertLessEqual(self.listener.buffer_pool.buffers_in_use, 20)

    def test_an_invalid_request_or_one_beyond_the_size_limits_is_rejected(self):
        self.listener.max_header_bytes, self.listener.max_body_bytes = 200, 10
        for data, status in (
            (b"GET /a HTTP/1.1\r\nHost: x\r\nA: " + b"b" * 300 + b"\r\n\r\n", b"431"),
            (b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 11\r\n\r\n", b"413"),
            (b"GET /a HTTP/1.1\r\n\r\n", b"400"),
        ):
            client_conn = self.client_conn()
            client_conn.dataReceived(data)
            self.assertEqual((client_conn.transport.sent[9:12], client_conn.transport.ended), (status, "closed"))
        self.assertEqual(self.handled, [])
