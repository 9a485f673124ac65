"""Connections to servers: one request at a time on each, kept and used again while the server keeps them."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

from ...http1.buffers import BUFFER_SIZE, BufferPool
from ...http1.client import ClientConnection
from ...http1.messages import Response
from ...http1.upload import Upload
from ...net.dial import dial
from ...net.streams import Stream
from ...policy.placing import Target
from .outcome import EndReason, Outcome, of_loss, of_response

CONNECT_TIMEOUT_S = 0.35  # a first packet that was dropped comes again after a second, and later than that is too late
IDLE_S = 8.0  # kept at most, where the server says nothing
MAX_IDLE_NON_IDEMPOTENT_S = 2.0  # idle for longer, a connection gets no request that may run once only
KEEP_SHARE = 0.75  # of what the server says: a request must not cross its close
USER_TIMEOUT_MS = 4000
STREAM_THRESHOLD_BYTES = 1 << 20  # bytes of a body that are held for another server; a larger one goes on as it comes
RELAY_READ = 64 * 1024  # bytes of one read of an answer that is passed on


class Attempt:
    """One sending of one request to one server.  `done(attempt)` is called once."""

    __slots__ = (
        "begun",
        "connection",
        "data",
        "done",
        "free",
        "request_id",
        "repeatable",
        "response",
        "sent_at",
        "target",
        "upload",
        "outcome",
        "end_reason",
        "written",
    )

    def __init__(
        self,
        id: bytes,
        target: Target,
        data: bytes,
        done: Callable[[Attempt], None],
        repeatable: bool = True,
        begun: Callable[[Attempt, Response, UpstreamConnection], Any] = lambda *_: None,
        upload: Upload | None = None,
    ) -> None:
        self.request_id, self.target, self.data, self.done, self.repeatable = id, target, data, done, repeatable
        self.begun = begun  #: of an answer that goes on as it comes: gives who takes its parts, or None
        self.upload = upload  #: the rest of the request's body, still coming
        self.connection: UpstreamConnection | None = None
        self.response: Response | None = None
        self.outcome = Outcome.NOT_EXECUTED
        self.written = False  #: a byte of it may have gone out
        self.sent_at = 0.0
        self.free = True  #: a slot was likely free when it was sent
        self.end_reason: EndReason | None = None

    def end(self, why: EndReason, response: Response | None = None) -> None:
        if self.end_reason:
            return
        self.end_reason, self.response = why, response
        if response is not None:
            self.outcome = of_response(response)
        else:
            self.outcome = of_loss(self.written)
        self.target.out -= 1
        if self.upload is not None:
            self.upload.detach(self.connection)
        self.done(self)

    def cancel(self) -> None:
        """Nobody wants the answer any more."""
        if self.end_reason:
            return
        link = self.connection
        self.end(EndReason.CANCELLED)
        if link is not None:
            link.attempt = link.sink = None
            link.transport.abortConnection()


class UpstreamConnection(Stream):
    """One connection to one server."""

    def __init__(self, servers: UpstreamPool, target: Target) -> None:
        self.servers, self.target = servers, target
        self.machine = ClientConnection(servers.pool, STREAM_THRESHOLD_BYTES, is_response_to)
        self.attempt: Attempt | None = None
        self.sink: Any = None  #: takes the answer that is being passed on
        self.begun: Response | None = None  #: the head of that answer
        self.keep_until = self.idle_since = 0.0
        self.carried: list[bytes] = []  #: ids of what was sent here, the newest last

    @property
    def is_reused(self) -> bool:
        """What is sent here is not the first: an answer may be to an earlier one."""
        return len(self.carried) > 1

    def connectionMade(self) -> None:
        sock = self.transport.getHandle()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        super().connectionMade()

    def start(self, attempt: Attempt) -> None:
        self.attempt, attempt.connection = attempt, self
        self.carried = [*self.carried[-1:], attempt.request_id]
        attempt.written = True
        attempt.sent_at = self.servers.reactor.seconds()
        self.machine.called(attempt)
        self.send(attempt.data)
        if attempt.upload is not None:
            attempt.upload.attach(self, lambda: self._uploaded(attempt))

    def _uploaded(self, attempt: Attempt) -> None:
        """The last byte has gone out: the server begins now."""
        attempt.sent_at = self.servers.reactor.seconds()

    def on_flushed(self) -> None:
        if self.attempt is not None and self.attempt.upload is not None:
            self.attempt.upload.flushed()

    def dataReceived(self, data: bytes) -> None:
        if self.sink is not None:
            return self._pass_on(data)
        answers = self.machine.receive(data)
        attempt = self.attempt
        if answers and attempt is not None:
            response = answers[0][1]
            if response.more and self._begin(attempt, response):
                return
            self._end(attempt, response, EndReason.RESPONSE)
        elif not self.machine.reusable:
            self.attempt = None
            if self in self.target.links:  # its end is told a turn later
                self.target.links.remove(self)
            self.transport.abortConnection()
            if attempt is not None:
                attempt.end(EndReason.PROTOCOL_ERROR)

    def _end(self, attempt: Attempt, response: Response, why: EndReason) -> None:
        self.attempt = None
        whole = attempt.upload is None or attempt.upload.complete
        if why is EndReason.RESPONSE and self.machine.reusable and not self.machine.passing and self.flushed and whole:
            self._rest(response)
        else:
            self.transport.abortConnection()
        attempt.end(why, response)

    def _begin(self, attempt: Attempt, response: Response) -> bool:
        """An answer that is passed on as it comes, unless nobody takes it."""
        self.sink = attempt.begun(attempt, response, self)
        if self.sink is None:
            return False
        self.begun = response
        self.transport.bufferSize = RELAY_READ
        self.sink.part(response.body)
        return True

    def _pass_on(self, data: bytes) -> None:
        sink = self.sink
        part = self.machine.pass_on(data)
        if part:
            sink.part(part)
        if self.machine.passing or self.sink is None:
            return  # more is to come, or nobody takes it any more
        self._passed(EndReason.PROTOCOL_ERROR if self.machine.cut else EndReason.RESPONSE)

    def _passed(self, why: EndReason) -> None:
        """The answer that was passed on has ended, as it should or not."""
        self.sink, self.transport.bufferSize = None, BUFFER_SIZE
        if self.attempt is not None:
            self._end(self.attempt, self.begun, why)

    def pause(self) -> None:
        """Whoever takes the answer has enough for now."""
        self.hold()

    def resume(self) -> None:
        self.go_on()

    def _rest(self, response: Response) -> None:
        said = response.headers.get(b"keep-alive", b"")
        _, _, timeout = said.partition(b"timeout=")
        timeout = timeout.partition(b",")[0].strip()
        keep = float(timeout) if timeout.isdigit() else IDLE_S / KEEP_SHARE
        self.idle_since = self.servers.reactor.seconds()
        self.keep_until = self.idle_since + min(IDLE_S, keep * KEEP_SHARE)
        self.target.links.append(self)

    def connectionLost(self, reason: Failure) -> None:
        super().connectionLost(reason)
        if self in self.target.links:
            self.target.links.remove(self)
        if self.sink is not None:
            whole = self.machine.ended_passing(reason.check(ConnectionDone) is not None)
            return self._passed(EndReason.RESPONSE if whole else EndReason.CONNECTION_LOST)
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            attempt.end(
                EndReason.CONNECTION_LOST if reason.check(ConnectionDone) is None else EndReason.CONNECTION_CLOSED
            )


def is_response_to(attempt: Attempt, response: Response) -> bool:
    """The id tells an answer from a surplus one that came late.  One without an id says that nothing has run: of what,
    is sure only where nothing else was sent over its connection, or matters only where a request may run once.
    """
    said = response.headers.get(b"request-id")
    if said is None and b"not-executed" in response.headers:
        return attempt.repeatable or not attempt.connection.is_reused
    return said == attempt.request_id


class UpstreamPool:
    """Sends attempts over the connections that are kept at each target, or over new ones."""

    def __init__(self, reactor: Any, pool: BufferPool) -> None:
        self.reactor, self.pool = reactor, pool

    def send(self, attempt: Attempt, address: tuple[str, int]) -> None:
        """Over a kept connection, or a new one."""
        target, now = attempt.target, self.reactor.seconds()
        target.out += 1
        while target.links:
            link = target.links[-1]
            if link.carried[-1:] == [attempt.request_id]:
                break  # a second copy of its first answer would pass for that to this sending
            if not attempt.repeatable and now - link.idle_since > MAX_IDLE_NON_IDEMPOTENT_S:
                break  # the server may have forgotten it without a word, and a reset then tells nothing
            target.links.pop()
            if link.connected and link.machine.reusable and now < link.keep_until and not link.unread:
                return link.start(attempt)
            link.transport.abortConnection()
        dialed = dial(self.reactor, address, lambda: UpstreamConnection(self, target), CONNECT_TIMEOUT_S)

        def up(link: UpstreamConnection) -> None:
            if attempt.end_reason:
                link.transport.abortConnection()
            else:
                link.start(attempt)

        def failed(_: Failure) -> None:
            attempt.end(EndReason.UNREACHABLE)

        dialed.addCallbacks(up, failed)

    def close_idle_connections(self, targets: list[Target], now: float, most: int) -> None:
        """Close what was kept too long, or is beyond this ingress's part of a server's connections."""
        for target in targets:
            for link in list(target.links):
                if now >= link.keep_until or not link.connected:
                    target.links.remove(link)
                    link.transport.abortConnection()
            while len(target.links) > most:
                target.links.pop(0).transport.abortConnection()

    def close_connections(self, target: Target) -> None:
        """It is gone: nothing is kept there."""
        while target.links:
            target.links.pop().transport.abortConnection()
