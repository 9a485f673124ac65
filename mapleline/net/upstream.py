"""Connections to the agenda servers: one attempt at a time on each, kept and used again."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure

from ..engine import Attempt, Engine
from ..http1.buffers import BufferPool
from ..http1.client import ClientConnection
from ..http1.messages import Response, write_request
from ..policy.interface import Result
from ..settings.platform import Address
from ..telemetry import COUNTS
from .streams import Stream

SWEEP_S = 1.0
IDLE_SHARE = 0.8  # of the settings' idle limit: what is written after the other side closed ends as a reset


def judge(response: Response) -> Result:
    """What an agenda server's answer says of the attempt."""
    if response.status == 200:
        return Result.OK
    if response.status in (503, 504) and response.headers.get(b"x-not-processed") == b"1":
        return Result.REJECTED
    return Result.ERROR


class UpstreamStream(Stream):
    """One connection to one agenda server."""

    def __init__(self, server: UpstreamServer) -> None:
        self.server = server
        self.machine = ClientConnection(server.pool.buffers)
        self.attempt: Attempt | None = None
        self.idle_since = 0.0

    def start(self, attempt: Attempt, data: bytes) -> None:
        self.attempt = attempt
        attempt.carrier = self
        self.machine.called(attempt)
        self.send(data)

    def dataReceived(self, data: bytes) -> None:
        answers = self.machine.receive(data)
        if self.machine.spoilt:
            COUNTS["upstream.surplus" if answers or self.attempt is None else "upstream.malformed"] += 1
        if answers:
            return self._answered(answers[0][1])
        if not self.machine.reusable:
            # The attempt may have run, and nothing more will come of it: it ends now.
            attempt, self.attempt = self.attempt, None
            self.server.forget(self)
            self.transport.abortConnection()
            if attempt is not None:
                self.server.pool.engine.attempt_ended(attempt, Result.ERROR)

    def _answered(self, response: Response) -> None:
        attempt, self.attempt = self.attempt, None
        # An answer before the whole request went out leaves the connection in an unknown state.
        if self.machine.reusable and self.flushed and self.connected:
            self.server.rest(self)
        else:
            self.transport.abortConnection()  # whatever else the other side may have to say
        if attempt is not None:
            self.server.pool.engine.attempt_ended(attempt, judge(response), response)

    @property
    def quiet(self) -> bool:
        """Nothing has come since the last answer, not even an end that the reactor has not told of yet.

        What a server sends beyond its answer would be read as the answer to the next request.
        """
        if not self.connected or not self.machine.reusable:
            return False
        unread = self.unread
        COUNTS["upstream.not_quiet"] += unread
        return not unread

    def drop(self) -> None:
        """Give up the attempt that is out, or an idle connection."""
        self.attempt = None
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure) -> None:
        super().connectionLost(reason)
        self.server.lost(self)
        for _, response in self.machine.ended(reason.check(ConnectionDone) is not None):
            return self._answered(response)
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            # Never ran only if its last byte was never written.
            result = Result.RESET if self.flushed else Result.NO_CONNECTION
            self.server.pool.engine.attempt_ended(attempt, result)


class Place(NamedTuple):
    """Where a process of an agenda server listens; another start is another process."""

    address: Address
    started_ns: int


class UpstreamServer:
    """The connections to one process of one agenda server."""

    def __init__(self, pool: UpstreamPool, number: int, place: Place) -> None:
        address = place.address
        self.pool, self.number, self.place = pool, number, place
        self.host_line = b"Host: %b:%d\r\n" % (address[0].encode(), address[1])
        self.idle: deque[UpstreamStream] = deque()  # the last used at the right end
        self.retired = False  #: off the list, started anew or moved
        self.factory = Factory.forProtocol(lambda: UpstreamStream(self))
        self.factory.noisy = False

    def send(self, attempt: Attempt) -> None:
        if self.pool.vetoed(self.number):
            return self._veto(attempt)
        oldest = self.pool.reactor.seconds() - self.pool.idle_s
        while self.idle:
            stream = self.idle.pop()
            if stream.idle_since >= oldest and stream.quiet:
                return self._start(stream, attempt)
            stream.drop()
        if self.pool.held >= self.pool.most and not self.pool.make_room():
            COUNTS["upstream.no_descriptor"] += 1  # no fault of the server's: never sent
            return self.pool.engine.attempt_ended(attempt, Result.MOOT)
        COUNTS["upstream.dialed"] += 1
        pool = self.pool
        pool.held += 1
        endpoint = TCP4ClientEndpoint(pool.reactor, *self.place.address, timeout=pool.dial_timeout_s)
        dial = endpoint.connect(self.factory)
        dial.addBoth(self._dialed, attempt)

    def _dialed(self, stream: UpstreamStream | Failure, attempt: Attempt) -> None:
        if isinstance(stream, Failure):
            self.pool.held -= 1
            COUNTS["upstream.dial_failed"] += 1
            self.pool.engine.attempt_ended(attempt, Result.NO_CONNECTION)
        elif attempt.over:
            self.rest(stream)  # called off meanwhile: the connection serves the next one
        else:
            self._start(stream, attempt)

    def _veto(self, attempt: Attempt) -> None:
        COUNTS["upstream.vetoed"] += 1  # never sent, so another server may have it
        self.pool.engine.attempt_ended(attempt, Result.NO_CONNECTION)

    def _start(self, stream: UpstreamStream, attempt: Attempt) -> None:
        if self.pool.vetoed(self.number):  # while the connection came up
            self.rest(stream)
            return self._veto(attempt)
        wish, request = attempt.wish, attempt.wish.request
        left = attempt.open.deadline_ns - self.pool.clock()
        lines = b"%b%bX-Timeout-Ms: %d\r\n" % (self.host_line, wish.lines, max(1, left // 1_000_000))
        stream.start(attempt, write_request(request.method, request.target, lines, request.body))

    def rest(self, stream: UpstreamStream) -> None:
        if self.retired:
            return stream.drop()
        stream.idle_since = self.pool.reactor.seconds()
        self.idle.append(stream)

    def lost(self, stream: UpstreamStream) -> None:
        self.pool.held -= 1
        self.forget(stream)

    def forget(self, stream: UpstreamStream) -> None:
        """It must not be used again."""
        if stream.attempt is None and stream in self.idle:
            self.idle.remove(stream)

    def end(self) -> None:
        """What is out goes on; nothing new starts here."""
        self.retired = True
        self.retire(float("inf"))

    def retire(self, before: float) -> None:
        """Close what has stood idle since before then."""
        while self.idle and self.idle[0].idle_since < before:
            self.idle.popleft().drop()


class UpstreamPool:
    """The engine's Upstreams: sends attempts, calls them off, and keeps connections for the next."""

    def __init__(
        self, reactor: Any, engine: Engine, clock: Callable[[], int], buffers: BufferPool,
        dial_timeout_s: float, idle_s: float, most: int,
    ) -> None:  # fmt: skip
        self.reactor, self.engine, self.clock, self.buffers = reactor, engine, clock, buffers
        self.dial_timeout_s, self.idle_s, self.most = dial_timeout_s, idle_s * IDLE_SHARE, most
        self.servers: dict[int, UpstreamServer] = {}
        self.held = 0  #: connections up or on their way
        self.vetoed: Callable[[int], object] = lambda server: False  #: nothing new may go to this server
        reactor.callLater(SWEEP_S, self._sweep)

    def update(self, places: dict[int, Place]) -> None:
        """The list has changed: what is no longer on it keeps what is out and loses its idle connections."""
        for number, place in places.items():
            server = self.servers.get(number)
            if server is None or server.place != place:
                if server is not None:
                    server.end()
                self.servers[number] = UpstreamServer(self, number, place)
        for number in [n for n in self.servers if n not in places]:
            self.servers.pop(number).end()

    def send(self, attempt: Attempt, wait_ns: int) -> None:
        server = self.servers.get(attempt.server)
        if server is None:
            return self.engine.attempt_ended(attempt, Result.NO_CONNECTION)
        server.send(attempt)

    def cancel(self, attempt: Attempt) -> None:
        stream = attempt.carrier
        if stream is not None and stream.attempt is attempt:
            stream.drop()

    def close_idle(self, server: int) -> None:
        if server in self.servers:
            self.servers[server].retire(float("inf"))

    def resize(self, most: int) -> None:
        """Another bound on connections; what is idle beyond it goes, what is in use stays."""
        self.most = most
        while self.held > most and self.make_room():
            pass

    def make_room(self) -> bool:
        """Close what has been idle longest: servers used before must not keep others from a connection."""
        longest = min((s.idle[0] for s in self.servers.values() if s.idle), key=_idle_since, default=None)
        if longest is None:
            return False
        longest.server.idle.popleft().drop()
        return True

    def _sweep(self) -> None:
        self.reactor.callLater(SWEEP_S, self._sweep)
        before = self.reactor.seconds() - self.idle_s
        for server in self.servers.values():
            server.retire(before)


def _idle_since(stream: UpstreamStream) -> float:
    return stream.idle_since
