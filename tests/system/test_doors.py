"""Connections of clients on a stand-in transport: what comes in pieces, too much, or too large."""

import unittest

from twisted.internet.task import Clock

from mapleline.http1.buffers import BUFFER_SIZE, BufferPool
from mapleline.system.doors import House


class Transport:
    """Takes what is sent, and knows how it ended."""

    bufferSize = 0

    def __init__(self):
        self.sent, self.ended, self.socket = b"", "", self

    def send(self, data):
        self.sent += data
        return len(data)

    def setTcpNoDelay(self, on):
        pass

    def loseConnection(self):
        self.ended = "closed"

    def abortConnection(self):
        self.ended = "aborted"


class TestDoors(unittest.TestCase):
    def setUp(self):
        self.clock, self.taken = Clock(), []
        self.house = House(self.clock, BufferPool(), lambda door, request: self.taken.append((door, request)))
        self.house.idle_s = 15.0

    def door(self):
        door = self.house.buildProtocol(None)
        door.transport, door.connected = Transport(), 1
        door.connectionMade()
        return door

    def test_requests_in_pieces_and_behind_each_other_are_answered_in_order(self):
        door = self.door()
        for piece in (b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Le", b"ngth: 4\r\n\r\nsc",
                      b"anGET /b HTTP/1.1\r\nHost: x\r\n\r\n"):  # fmt: skip
            door.dataReceived(piece)
        self.assertEqual([r.body for _, r in self.taken], [b"scan"])
        door.reply(200, b"first")
        self.clock.advance(0)
        self.assertEqual([r.target for _, r in self.taken], [b"/a", b"/b"])
        self.house.leaving = True
        door.reply(503, b"second", b"Retry-After: 0.30\r\n")
        self.assertEqual(door.transport.sent, (
            b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nKeep-Alive: timeout=15\r\n\r\nfirst"
            b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 6\r\nRetry-After: 0.30\r\n"
            b"Connection: close\r\n\r\nsecond"))
        self.assertEqual(door.transport.ended, "closed")

    def test_a_large_body_is_told_to_come_again_while_others_take_the_memory(self):
        self.house.most_held = 20 * BUFFER_SIZE
        doors = [self.door() for _ in range(3)]
        for door in doors:
            door.dataReceived(b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n")
            door.dataReceived(bytes(8 * BUFFER_SIZE))
        self.assertEqual([door.transport.ended for door in doors], ["", "", "closed"])
        self.assertTrue(doors[2].transport.sent.startswith(b"HTTP/1.1 503"))
        self.assertIn(b"Retry-After: 0.50\r\n", doors[2].transport.sent)
        small = self.door()
        small.dataReceived(b"GET /b HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assertEqual([r.target for _, r in self.taken], [b"/b"])  # and nothing of the large ones

    def test_a_head_or_a_body_beyond_the_limits_is_refused(self):
        self.house.max_header, self.house.max_body = 200, 10
        for data, status in ((b"GET /a HTTP/1.1\r\nHost: x\r\nA: " + b"b" * 300 + b"\r\n\r\n", b"431"),
                             (b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 11\r\n\r\n", b"413"),
                             (b"GET /a HTTP/1.1\r\n\r\n", b"400")):  # fmt: skip
            door = self.door()
            door.dataReceived(data)
            self.assertEqual((door.transport.sent[9:12], door.transport.ended), (status, "closed"))
        self.assertEqual(self.taken, [])
