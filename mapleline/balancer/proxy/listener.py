"""Connections of those who call: our HTTP/1.1 machine on a socket, for clients, servers and operators alike."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

from twisted.internet.protocol import ServerFactory
from twisted.python.failure import Failure

from ...http1.buffers import BufferPool
from ...http1.messages import Malformed, Request
from ...http1.server import ServerConnection
from ...http1.upload import Upload
from ...net.streams import Stream

WHOLE = 1 << 30  # of who takes every body in whole
LINGER_S = 6.0  # for who still sends a body that nobody wants, to read why


class ClientConnection(Stream):
    """One connection: requests go to the house's `take`, one at a time.

    A body beyond the house's `stream_from`, or any of some size while memory is tight, goes on as it comes: its
    request has an `upload`, and is read no faster than a server takes it.
    """

    def __init__(self, listener: Listener) -> None:
        self.listener = listener
        self.machine = ServerConnection(
            listener.pool, listener.stream_from, listener.max_header_bytes, listener.max_body_bytes
        )
        self.since = listener.reactor.seconds()  #: of the last answer, or of the first byte of a request
        self.in_hand: Any = None  #: what `take` made of the request
        self.upload: Upload | None = None  #: takes the rest of the request in hand
        self.source: Any = None  #: gives the rest of the answer in hand
        self.behind = False  #: bytes that nobody wants follow the request in hand
        self.reserved = 0  #: bytes of the pool's bound that the request in hand takes

    def connectionMade(self) -> None:
        super().connectionMade()
        self.listener.open.add(self)

    def dataReceived(self, data: bytes) -> None:
        if not self.machine.busy and not self.machine.partial:
            self.since = self.listener.reactor.seconds()
        self.machine.receive(data)
        if self.upload is not None:
            return self._more(self.upload)
        self._next()

    def _more(self, upload: Upload) -> None:
        """More of a body that goes on as it comes."""
        try:
            part = self.machine.next_part()
        except Malformed as err:
            call = self.in_hand
            self.reply(err.status, err.why.encode())
            return call.on_client_disconnected() if hasattr(call, "on_client_disconnected") else None
        if not self.machine.passing:
            self.upload = None
        upload.put(part, self.upload is None)
        if self.upload is not None and not upload.room:
            self.hold()

    def _close(self, unread: bool) -> None:
        if unread:  # closing with bytes unread resets, and the client may never see why
            self.transport.loseWriteConnection()
            self.go_on()
        else:
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
            if request.more:
                self.upload = Upload(request.length, self.go_on, partial(self._spent, request))
                self.hold()  # until a server takes what there is
            self._reserve(2 * len(request.body))  # held to be sent again, and once more on its way out
            self.in_hand = self.listener.handle_request(self, request)

    def _reserve(self, size: int) -> None:
        self.listener.pool.held += size - self.reserved
        self.reserved = size

    def _spent(self, request: Request) -> None:
        """More has gone out than is held: what is held is of no more use."""
        request.body = b""
        self._reserve(0)
        if self.in_hand is not None:
            self.in_hand.is_body_discarded = True

    def _lines(self) -> bytes:
        if self.listener.is_draining:
            self.machine.closing = True
        elif not self.machine.closing and self.listener.idle_timeout_s:
            return b"Keep-Alive: timeout=%d\r\n" % max(1, int(self.listener.idle_timeout_s))
        return b""

    def reply(self, status: int, body: bytes = b"", lines: bytes = b"") -> None:
        """The one answer to the request in hand."""
        if not self.connected or not self.machine.busy:
            return
        unread = self.machine.passing
        if unread:
            self.machine.closing = True
        lines += self._lines()
        self.send(self.machine.answer(status, body, lines))
        self._rest(unread)

    def _rest(self, unread: bool = False) -> None:
        self.in_hand = self.upload = self.source = None
        self._reserve(0)
        self.since = self.listener.reactor.seconds()
        if self.machine.closing:
            self._close(unread)
        else:
            self.listener.reactor.callLater(0, self._next)

    def begin(self, status: int, lines: bytes, length: int | None, source: Any) -> None:
        """The answer goes out as it comes: `part`s, then `ended`.  `source` is paused and resumed."""
        self.source, self.behind = source, self.machine.passing
        if self.connected:
            lines += self._lines()
            self.send(self.machine.begin(status, lines, length))

    def part(self, data: bytes) -> None:
        if data:
            self.send(self.machine.part(data))
        if not self.flushed and self.source is not None:
            self.source.pause()

    def ended(self, whole: bool) -> None:
        """The last part has come; or no more will come, and the client is to see that."""
        if not self.connected or not self.machine.busy:
            return
        end = self.machine.end()
        if whole:
            self.send(end)
            return self._rest(self.behind)
        self.machine.closing = True
        self._reserve(0)
        (self.transport.abortConnection if self.machine.ends_by_close else self.transport.loseConnection)()

    def on_flushed(self) -> None:
        if self.source is not None:
            self.source.resume()

    def connectionLost(self, reason: Failure) -> None:
        super().connectionLost(reason)
        self.listener.open.discard(self)
        self.machine.clear()
        self._reserve(0)
        call, self.in_hand, self.upload, self.source = self.in_hand, None, None, None
        if call is not None and hasattr(call, "on_client_disconnected"):
            call.on_client_disconnected()


class Listener(ServerFactory):
    """The connections at one address."""

    noisy = False

    def __init__(
        self,
        reactor: Any,
        pool: BufferPool,
        handle_request: Callable[[ClientConnection, Request], Any],
        stream_from: int = WHOLE,
    ) -> None:
        self.reactor, self.pool, self.handle_request, self.stream_from = reactor, pool, handle_request, stream_from
        self.open: set[ClientConnection] = set()
        self.is_draining = False
        self.idle_timeout_s, self.header_timeout_s = 0.0, 10.0
        self.max_header_bytes, self.max_body_bytes = 16384, 64 << 20

    def buildProtocol(self, addr: Any) -> ClientConnection:
        return ClientConnection(self)

    def close_idle_connections(self, now: float) -> None:
        """Close what has been silent for too long."""
        for client_conn in list(self.open):
            if client_conn.machine.busy:
                continue
            if client_conn.machine.closing:
                if now - client_conn.since > LINGER_S:
                    client_conn.transport.abortConnection()
                continue
            if client_conn.machine.partial:
                if now - client_conn.since > 3 * self.header_timeout_s:
                    client_conn.transport.abortConnection()
            elif now - client_conn.since > (self.idle_timeout_s or 15.0) + 2.0 or (
                self.is_draining and now - client_conn.since > 1.0
            ):
                client_conn.transport.loseConnection()
