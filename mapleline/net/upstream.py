"""Connections to the agenda servers: one attempt at a time on each, kept and used again."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

from ..engine import Attempt, Engine
from ..http1 import (
    BUFFER_SIZE,
    MAX_BUFFERED_BODY_BYTES,
    BufferPool,
    ClientConnection,
    Response,
    Upload,
    write_chunk,
    write_request,
)
from ..policy.interface import Result
from ..settings.platform import Address
from ..telemetry import COUNTS
from .dial import dial
from .streams import Stream

SWEEP_S = 1.0
STILL_S = 10.0  # without a byte of an answer that has begun
RELAY_READ = 64 * 1024  # bytes of one read of such an answer
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
        self.machine = ClientConnection(server.pool.buffers, MAX_BUFFERED_BODY_BYTES)
        self.attempt: Attempt | None = None
        self.idle_since = 0.0
        self.upload: Upload | None = None  #: the rest of the request
        self.sink: Any = None  #: takes the answer that is being passed on
        self.heard = 0.0  #: when the last part of it came, or could be taken

    def start(self, attempt: Attempt, data: bytes) -> None:
        self.attempt = attempt
        attempt.connection = self
        self.machine.add_request(attempt)
        self.upload = attempt.payload.upload
        self.send(data)
        if self.upload is not None:
            self.upload.attach(self, self._uploaded)

    def _uploaded(self) -> None:
        """The last byte has gone out: the server begins now."""
        self.upload = None
        if self.attempt is not None:
            self.attempt.sent_ns = self.server.pool.clock()

    def on_flushed(self) -> None:
        if self.upload is not None:
            self.upload.flushed()

    @property
    def written(self) -> bool:
        """The kernel has every byte of the request."""
        return self.is_flushed and self.upload is None

    def _end_attempt(self) -> Attempt | None:
        attempt, self.attempt = self.attempt, None
        if self.upload is not None:
            self.upload.detach(self)
        return attempt

    def _begin(self, response: Response) -> None:
        """An answer that is passed on as it comes."""
        attempt, pool = self.attempt, self.server.pool
        result = judge(response)
        if result == Result.OK and attempt is not None and self.written:
            self.sink = attempt.request.answerer
            if pool.engine.handle_answer_start(attempt, response, self):
                pool.relays[self] = None
                self.transport.bufferSize = RELAY_READ
                self.heard = pool.reactor.seconds()
                return self.sink.send_part(response.body)
            self.sink, result = None, Result.CANCELLED
        self._end_attempt()
        self.transport.abortConnection()
        if attempt is not None:
            pool.engine.handle_attempt_end(attempt, Result.ERROR if result == Result.OK else result, response)

    def _pass_on(self, data: bytes) -> None:
        pool, sink = self.server.pool, self.sink
        self.heard = pool.reactor.seconds()
        part = self.machine.receive_part(data)
        if part:
            sink.send_part(part)
        if self.machine.is_streaming or self.sink is None:
            return  # more is to come, or nobody takes it any more
        cut = self.machine.is_truncated
        if self.machine.protocol_error:
            COUNTS["upstream.malformed" if cut else "upstream.surplus"] += 1
        self._passed(not cut, Result.ERROR)

    def _passed(self, whole: bool, otherwise: Result) -> None:
        """The answer has ended, as it should or not."""
        pool, sink, attempt = self.server.pool, self.sink, self._end_attempt()
        self.sink = None
        pool.relays.pop(self, None)
        COUNTS["upstream.relayed" if whole else "upstream.broke_off"] += 1
        if self.connected:
            self.transport.bufferSize = BUFFER_SIZE
            if whole and self.machine.reusable:
                self.server.rest(self)
            else:
                self.transport.abortConnection()
        sink.end_answer(whole)
        if attempt is not None:
            pool.engine.handle_attempt_end(attempt, Result.OK if whole else otherwise)

    def pause(self) -> None:
        """Whoever takes the answer has enough for now."""
        self.pause_reading()

    def resume(self) -> None:
        self.heard = self.server.pool.reactor.seconds()
        self.resume_reading()

    def dataReceived(self, data: bytes) -> None:
        if self.sink is not None:
            return self._pass_on(data)
        answers = self.machine.receive(data)
        if self.machine.protocol_error:
            COUNTS["upstream.surplus" if answers or self.attempt is None else "upstream.malformed"] += 1
        if answers:
            response = answers[0][1]
            return self._begin(response) if response.is_streamed else self._answered(response)
        if not self.machine.reusable:
            # The attempt may have run, and nothing more will come of it: it ends now.
            attempt = self._end_attempt()
            self.server.forget(self)
            self.transport.abortConnection()
            if attempt is not None:
                self.server.pool.engine.handle_attempt_end(attempt, Result.ERROR)

    def _answered(self, response: Response) -> None:
        reusable = self.machine.reusable and self.written and self.connected
        attempt = self._end_attempt()
        # An answer before the whole request went out leaves the connection in an unknown state.
        if reusable:
            self.server.rest(self)
        else:
            self.transport.abortConnection()  # whatever else the other side may have to say
        if attempt is not None:
            self.server.pool.engine.handle_attempt_end(attempt, judge(response), response)

    @property
    def quiet(self) -> bool:
        """Nothing has come since the last answer, not even an end that the reactor has not told of yet.

        What a server sends beyond its answer would be read as the answer to the next request.
        """
        if not self.connected or not self.machine.reusable:
            return False
        unread = self.has_unread
        COUNTS["upstream.not_quiet"] += unread
        return not unread

    def drop(self) -> None:
        """Give up the attempt that is out, or an idle connection."""
        self._end_attempt()
        self.sink = None
        self.server.pool.relays.pop(self, None)
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure) -> None:
        super().connectionLost(reason)
        self.server.lost(self)
        if self.sink is not None:
            return self._passed(self.machine.on_closed_while_streaming(_clean(reason)), Result.RESET)
        for _, response in self.machine.on_closed(_clean(reason)):
            return self._answered(response)
        written, attempt = self.written, self._end_attempt()
        if attempt is not None:
            # Never ran only if its last byte was never written.
            result = Result.RESET if written else Result.NO_CONNECTION
            self.server.pool.engine.handle_attempt_end(attempt, result)


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

    def send(self, attempt: Attempt) -> None:
        if self.pool.vetoed(self.number):
            return self._veto(attempt)
        oldest = self.pool.reactor.seconds() - self.pool.idle_s
        while self.idle:
            stream = self.idle.pop()
            if stream.idle_since >= oldest and stream.quiet:
                return self._start(stream, attempt)
            stream.drop()
        if self.pool.held >= self.pool.max_connections and not self.pool.make_room():
            COUNTS["upstream.no_descriptor"] += 1  # no fault of the server's: never sent
            return self.pool.engine.handle_attempt_end(attempt, Result.MOOT)
        COUNTS["upstream.dialed"] += 1
        pool = self.pool
        pool.held += 1
        dialed = dial(pool.reactor, self.place.address, lambda: UpstreamStream(self), pool.dial_timeout_s)
        dialed.addBoth(self._dialed, attempt)

    def _dialed(self, stream: UpstreamStream | Failure, attempt: Attempt) -> None:
        if isinstance(stream, Failure):
            self.pool.held -= 1
            COUNTS["upstream.dial_failed"] += 1
            self.pool.engine.handle_attempt_end(attempt, Result.NO_CONNECTION)
        elif attempt.is_finished:
            self.rest(stream)  # called off meanwhile: the connection serves the next one
        else:
            self._start(stream, attempt)

    def _veto(self, attempt: Attempt) -> None:
        COUNTS["upstream.vetoed"] += 1  # never sent, so another server may have it
        self.pool.engine.handle_attempt_end(attempt, Result.NO_CONNECTION)

    def _start(self, stream: UpstreamStream, attempt: Attempt) -> None:
        if self.pool.vetoed(self.number):  # while the connection came up
            self.rest(stream)
            return self._veto(attempt)
        wish, request = attempt.payload, attempt.payload.request
        left = attempt.request.deadline_ns - self.pool.clock()
        if request.is_streamed:
            left = wish.arrival.ttl_ns
        lines = b"%b%bX-Timeout-Ms: %d\r\n" % (self.host_line, wish.lines, max(1, left // 1_000_000))
        if not request.is_streamed:
            data = write_request(request.method, request.target, lines, request.body)
        elif wish.upload.length is not None:
            lines += b"Content-Length: %d\r\n" % wish.upload.length
            data = b"%b %b HTTP/1.1\r\n%b\r\n%b" % (request.method, request.target, lines, request.body)
        else:
            lines += b"Transfer-Encoding: chunked\r\n"
            first = write_chunk(request.body)
            data = b"%b %b HTTP/1.1\r\n%b\r\n%b" % (request.method, request.target, lines, first)
        stream.start(attempt, data)

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
        self,
        reactor: Any,
        engine: Engine,
        clock: Callable[[], int],
        buffers: BufferPool,
        dial_timeout_s: float,
        idle_s: float,
        most: int,
    ) -> None:
        self.reactor, self.engine, self.clock, self.buffers = reactor, engine, clock, buffers
        self.dial_timeout_s, self.idle_s, self.max_connections = dial_timeout_s, idle_s * IDLE_SHARE, most
        self.servers: dict[int, UpstreamServer] = {}
        self.relays: dict[UpstreamStream, None] = {}  #: answers that are being passed on
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
            return self.engine.handle_attempt_end(attempt, Result.NO_CONNECTION)
        server.send(attempt)

    def cancel(self, attempt: Attempt) -> None:
        stream = attempt.connection
        if stream is not None and stream.attempt is attempt:
            stream.drop()

    def close_idle(self, server: int) -> None:
        if server in self.servers:
            self.servers[server].retire(float("inf"))

    def resize(self, most: int) -> None:
        """Another bound on connections; what is idle beyond it goes, what is in use stays."""
        self.max_connections = most
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
        still = self.reactor.seconds() - STILL_S
        for stream in [s for s in self.relays if s.is_reading and s.heard < still]:
            COUNTS["upstream.stood_still"] += 1
            stream.transport.abortConnection()


def _clean(reason: Failure) -> bool:
    """The other side has ended the connection in order."""
    return reason.check(ConnectionDone) is not None


def _idle_since(stream: UpstreamStream) -> float:
    return stream.idle_since
