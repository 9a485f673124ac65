"""Connections of those who call: our HTTP/1.1 machine on a socket, for clients, servers and operators alike."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ServerFactory
from twisted.python.failure import Failure

from ..http1.buffers import BUFFER_SIZE, BufferPool
from ..http1.messages import Malformed, Request, write_response
from ..http1.server import ServerConnection
from ..net.streams import Stream

WHOLE = 1 << 30  # bodies are taken in whole: another server may have to get them


class Door(Stream):
    """One connection: requests go to the house's `take`, one at a time."""

    def __init__(self, house: House) -> None:
        self.house = house
        self.machine = ServerConnection(house.pool, WHOLE, house.max_header, house.max_body)
        self.since = house.reactor.seconds()  #: of the last answer, or of the first byte of a request
        self.in_hand: Any = None  #: what `take` made of the request

    def connectionMade(self) -> None:
        super().connectionMade()
        self.house.open.add(self)

    def dataReceived(self, data: bytes) -> None:
        if not self.machine.busy and not self.machine.partial:
            self.since = self.house.reactor.seconds()
        self.machine.receive(data)
        self._next()
        if self.connected and self.machine.full and not self.machine.busy and self.house.crowded:
            self._turn_away()

    def _turn_away(self) -> None:
        """Bodies that are coming in take more than their part of the memory: a large one has to come again."""
        self.machine.clear()
        self.send(write_response(503, b"no room", b"Retry-After: 0.50\r\n", close=True))
        self.transport.loseConnection()

    def _next(self) -> None:
        while not self.machine.busy and self.connected:
            try:
                request = self.machine.next_request()
            except Malformed as err:
                return self.reply(err.status, err.why.encode())
            if request is None:
                if self.machine.expects:
                    self.send(b"HTTP/1.1 100 Continue\r\n\r\n")
                return
            self.in_hand = self.house.take(self, request)

    def reply(self, status: int, body: bytes = b"", lines: bytes = b"") -> None:
        """The one answer to the request in hand."""
        if not self.connected or not self.machine.busy:
            return
        self.in_hand = None
        if self.house.leaving:
            self.machine.closing = True
        elif not self.machine.closing and self.house.idle_s:
            lines += b"Keep-Alive: timeout=%d\r\n" % max(1, int(self.house.idle_s))
        self.send(self.machine.answer(status, body, lines))
        self.since = self.house.reactor.seconds()
        if self.machine.closing:
            self.transport.loseConnection()
        else:
            self.house.reactor.callLater(0, self._next)

    def connectionLost(self, reason: Failure) -> None:
        super().connectionLost(reason)
        self.house.open.discard(self)
        call, self.in_hand = self.in_hand, None
        if call is not None and hasattr(call, "left"):
            call.left()


class House(ServerFactory):
    """The connections at one address."""

    noisy = False

    def __init__(self, reactor: Any, pool: BufferPool, take: Callable[[Door, Request], Any]) -> None:
        self.reactor, self.pool, self.take = reactor, pool, take
        self.open: set[Door] = set()
        self.leaving = False
        self.idle_s, self.header_s = 0.0, 10.0
        self.max_header, self.max_body = 16384, 64 << 20
        self.most_held = 64 << 20  #: bytes of requests that are coming in

    @property
    def crowded(self) -> bool:
        return self.pool.out * BUFFER_SIZE > self.most_held

    def buildProtocol(self, addr: Any) -> Door:
        return Door(self)

    def sweep(self, now: float) -> None:
        """Close what has been silent for too long."""
        for door in list(self.open):
            if door.machine.busy:
                continue
            if door.machine.partial:
                if now - door.since > 3 * self.header_s:
                    door.transport.abortConnection()
            elif now - door.since > (self.idle_s or 15.0) + 2.0 or (self.leaving and now - door.since > 1.0):
                door.transport.loseConnection()
