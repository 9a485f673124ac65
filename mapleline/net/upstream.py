"""Connections to the agenda servers: each carries one attempt at a time and is reused."""

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

SWEEP_INTERVAL_S = 1.0  # between closings of idle and stalled connections
RELAY_STALL_TIMEOUT_S = 10.0  # without a byte of a streamed answer
RELAY_READ_BYTES = 64 * 1024  # per read of a streamed answer
IDLE_SHARE = 0.8  # of the settings' idle limit, because a request sent after the server closed ends as a reset


def judge(response: Response) -> Result:
    """Return the result of an attempt from the server's answer."""
    if response.status == 200:
        return Result.OK
    if response.status in (503, 504) and response.headers.get(b"x-not-processed") == b"1":
        return Result.REJECTED
    return Result.ERROR


class UpstreamStream(Stream):
    """One connection to one agenda server.

    Attributes:
        server: the server that it leads to.
        http1: frames requests and parses answers.
        attempt: the attempt in flight, if any.
        idle_since_s: the reactor time at which it became idle.
        upload: the rest of the request's body while it is streamed.
        answer_sink: takes the answer while it is streamed.
        last_progress_s: the reactor time at which a part of a streamed answer last arrived, or reading resumed.
    """

    def __init__(self, server: UpstreamServer) -> None:
        """Start without an attempt."""
        self.server = server
        self.http1 = ClientConnection(server.pool.buffers, MAX_BUFFERED_BODY_BYTES)
        self.attempt: Attempt | None = None
        self.idle_since_s = 0.0
        self.upload: Upload | None = None
        self.answer_sink: Any = None
        self.last_progress_s = 0.0

    def start(self, attempt: Attempt, data: bytes) -> None:
        """Send an attempt whose head and first part of the body are `data`."""
        self.attempt = attempt
        attempt.connection = self
        self.http1.add_request(attempt)
        self.upload = attempt.payload.upload
        self.send(data)
        if self.upload is not None:
            self.upload.attach(self, self._on_upload_sent)

    def _on_upload_sent(self) -> None:
        """Record that the last byte of the body was sent: the server starts to execute now."""
        self.upload = None
        if self.attempt is not None:
            self.attempt.sent_ns = self.server.pool.clock()

    def on_flushed(self) -> None:
        """Let more of the body be read from the client."""
        if self.upload is not None:
            self.upload.flushed()

    @property
    def is_request_sent(self) -> bool:
        """Whether the kernel has taken every byte of the request."""
        return self.is_flushed and self.upload is None

    def _end_attempt(self) -> Attempt | None:
        attempt, self.attempt = self.attempt, None
        if self.upload is not None:
            self.upload.detach(self)
        return attempt

    def _handle_answer_start(self, response: Response) -> None:
        """Handle the start of a streamed answer."""
        attempt, pool = self.attempt, self.server.pool
        result = judge(response)
        if result == Result.OK and attempt is not None and self.is_request_sent:
            self.answer_sink = attempt.request.answerer
            if pool.engine.handle_answer_start(attempt, response, self):
                pool.relays[self] = None
                self.transport.bufferSize = RELAY_READ_BYTES
                self.last_progress_s = pool.reactor.seconds()
                return self.answer_sink.send_part(response.body)
            self.answer_sink, result = None, Result.CANCELLED
        self._end_attempt()
        self.transport.abortConnection()
        if attempt is not None:
            pool.engine.handle_attempt_end(attempt, Result.ERROR if result == Result.OK else result, response)

    def _relay(self, data: bytes) -> None:
        pool, sink = self.server.pool, self.answer_sink
        self.last_progress_s = pool.reactor.seconds()
        part = self.http1.receive_part(data)
        if part:
            sink.send_part(part)
        if self.http1.is_streaming or self.answer_sink is None:
            return  # more parts follow, or the client's connection is gone
        is_truncated = self.http1.is_truncated
        if self.http1.protocol_error:
            COUNTS["upstream.malformed" if is_truncated else "upstream.surplus"] += 1
        self._end_relay(not is_truncated, Result.ERROR)

    def _end_relay(self, is_whole: bool, failure: Result) -> None:
        """End a streamed answer; `failure` is the attempt's result if the answer is not complete."""
        pool, sink, attempt = self.server.pool, self.answer_sink, self._end_attempt()
        self.answer_sink = None
        pool.relays.pop(self, None)
        COUNTS["upstream.relayed" if is_whole else "upstream.broke_off"] += 1
        if self.connected:
            self.transport.bufferSize = BUFFER_SIZE
            if is_whole and self.http1.reusable:
                self.server.add_idle(self)
            else:
                self.transport.abortConnection()
        sink.end_answer(is_whole)
        if attempt is not None:
            pool.engine.handle_attempt_end(attempt, Result.OK if is_whole else failure)

    def pause(self) -> None:
        """Stop reading the answer until `resume`."""
        self.pause_reading()

    def resume(self) -> None:
        """Read the answer again."""
        self.last_progress_s = self.server.pool.reactor.seconds()
        self.resume_reading()

    def dataReceived(self, data: bytes) -> None:
        """Take bytes from the server."""
        if self.answer_sink is not None:
            return self._relay(data)
        answers = self.http1.receive(data)
        if self.http1.protocol_error:
            COUNTS["upstream.surplus" if answers or self.attempt is None else "upstream.malformed"] += 1
        if answers:
            response = answers[0][1]
            return self._handle_answer_start(response) if response.is_streamed else self._handle_answer(response)
        if not self.http1.reusable:
            # The attempt may have run, but no answer can be read any more: it ends now.
            attempt = self._end_attempt()
            self.server.remove_idle(self)
            self.transport.abortConnection()
            if attempt is not None:
                self.server.pool.engine.handle_attempt_end(attempt, Result.ERROR)

    def _handle_answer(self, response: Response) -> None:
        reusable = self.http1.reusable and self.is_request_sent and self.connected
        attempt = self._end_attempt()
        # An answer before the whole request went out leaves the connection in an unknown state.
        if reusable:
            self.server.add_idle(self)
        else:
            self.transport.abortConnection()  # without reading what the server may still send
        if attempt is not None:
            self.server.pool.engine.handle_attempt_end(attempt, judge(response), response)

    @property
    def is_reusable(self) -> bool:
        """Whether nothing has arrived since the last answer, not even an end that the reactor has not reported yet.

        Bytes that a server sends beyond its answer would be read as the answer to the next request.
        """
        if not self.connected or not self.http1.reusable:
            return False
        unread = self.has_unread
        COUNTS["upstream.not_quiet"] += unread
        return not unread

    def drop(self) -> None:
        """Close the connection, idle or with an attempt, which is not reported."""
        self._end_attempt()
        self.answer_sink = None
        self.server.pool.relays.pop(self, None)
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure) -> None:
        """End the attempt with what the close says of it."""
        super().connectionLost(reason)
        self.server.on_connection_lost(self)
        if self.answer_sink is not None:
            return self._end_relay(self.http1.on_closed_while_streaming(_is_orderly(reason)), Result.RESET)
        for _, response in self.http1.on_closed(_is_orderly(reason)):
            return self._handle_answer(response)
        is_request_sent, attempt = self.is_request_sent, self._end_attempt()
        if attempt is not None:
            # The attempt certainly has not run only if its last byte was never sent.
            result = Result.RESET if is_request_sent else Result.NO_CONNECTION
            self.server.pool.engine.handle_attempt_end(attempt, result)


class ServerProcess(NamedTuple):
    """The address of an agenda server's process, and the time of its start, which tells processes apart."""

    address: Address
    started_ns: int


class UpstreamServer:
    """The connections to one process of an agenda server.

    Attributes:
        pool: the pool that it belongs to.
        number: the server's number in the decision module.
        place: where the process listens.
        host_line: the Host header line of its requests.
        idle: the idle connections, the one used last at the right end.
        is_retired: whether the process left the list, restarted or moved.
    """

    def __init__(self, pool: UpstreamPool, number: int, place: ServerProcess) -> None:
        """Start without connections."""
        address = place.address
        self.pool, self.number, self.place = pool, number, place
        self.host_line = b"Host: %b:%d\r\n" % (address[0].encode(), address[1])
        self.idle: deque[UpstreamStream] = deque()
        self.is_retired = False

    def send(self, attempt: Attempt) -> None:
        """Send an attempt on an idle connection, or on a new one."""
        if self.pool.is_vetoed(self.number):
            return self._report_vetoed(attempt)
        oldest_s = self.pool.reactor.seconds() - self.pool.idle_s
        while self.idle:
            stream = self.idle.pop()
            if stream.idle_since_s >= oldest_s and stream.is_reusable:
                return self._start(stream, attempt)
            stream.drop()
        if self.pool.connection_count >= self.pool.max_connections and not self.pool.close_longest_idle():
            COUNTS["upstream.no_descriptor"] += 1  # never sent, and not the server's fault
            return self.pool.engine.handle_attempt_end(attempt, Result.MOOT)
        COUNTS["upstream.dialed"] += 1
        pool = self.pool
        pool.connection_count += 1
        dialed = dial(pool.reactor, self.place.address, lambda: UpstreamStream(self), pool.dial_timeout_s)
        dialed.addBoth(self._dialed, attempt)

    def _dialed(self, stream: UpstreamStream | Failure, attempt: Attempt) -> None:
        if isinstance(stream, Failure):
            self.pool.connection_count -= 1
            COUNTS["upstream.dial_failed"] += 1
            self.pool.engine.handle_attempt_end(attempt, Result.NO_CONNECTION)
        elif attempt.is_finished:
            self.add_idle(stream)  # it was cancelled meanwhile; the connection serves the next attempt
        else:
            self._start(stream, attempt)

    def _report_vetoed(self, attempt: Attempt) -> None:
        COUNTS["upstream.vetoed"] += 1  # never sent, so it may go to another server
        self.pool.engine.handle_attempt_end(attempt, Result.NO_CONNECTION)

    def _start(self, stream: UpstreamStream, attempt: Attempt) -> None:
        if self.pool.is_vetoed(self.number):  # the veto came while the connection was being made
            self.add_idle(stream)
            return self._report_vetoed(attempt)
        payload, request = attempt.payload, attempt.payload.request
        timeout_ns = attempt.request.deadline_ns - self.pool.clock()
        if request.is_streamed:
            timeout_ns = payload.arrival.ttl_ns
        lines = b"%b%bX-Timeout-Ms: %d\r\n" % (self.host_line, payload.lines, max(1, timeout_ns // 1_000_000))
        if not request.is_streamed:
            data = write_request(request.method, request.target, lines, request.body)
        elif payload.upload.length is not None:
            lines += b"Content-Length: %d\r\n" % payload.upload.length
            data = b"%b %b HTTP/1.1\r\n%b\r\n%b" % (request.method, request.target, lines, request.body)
        else:
            lines += b"Transfer-Encoding: chunked\r\n"
            first_chunk = write_chunk(request.body)
            data = b"%b %b HTTP/1.1\r\n%b\r\n%b" % (request.method, request.target, lines, first_chunk)
        stream.start(attempt, data)

    def add_idle(self, stream: UpstreamStream) -> None:
        """Keep a connection for the next attempt, unless the server is retired."""
        if self.is_retired:
            return stream.drop()
        stream.idle_since_s = self.pool.reactor.seconds()
        self.idle.append(stream)

    def on_connection_lost(self, stream: UpstreamStream) -> None:
        """Handle that a connection has closed."""
        self.pool.connection_count -= 1
        self.remove_idle(stream)

    def remove_idle(self, stream: UpstreamStream) -> None:
        """Remove a connection that must not be used again."""
        if stream.attempt is None and stream in self.idle:
            self.idle.remove(stream)

    def retire(self) -> None:
        """Send no new attempts here; those in flight go on."""
        self.is_retired = True
        self.close_idle_before(float("inf"))

    def close_idle_before(self, before_s: float) -> None:
        """Close the connections that have been idle since before a reactor time."""
        while self.idle and self.idle[0].idle_since_s < before_s:
            self.idle.popleft().drop()


class UpstreamPool:
    """The engine's upstreams (`engine.drivers.Upstreams`): sends and cancels attempts, and keeps connections.

    Attributes:
        reactor: the event loop.
        engine: receives the results of attempts.
        clock: the engine's, in nanoseconds.
        buffers: where answers are read into.
        dial_timeout_s: seconds that making a connection may take.
        idle_s: seconds after which an idle connection is not used again.
        max_connections: the limit on connections.
        servers: the servers on the list, by number.
        relays: the connections with a streamed answer.
        connection_count: the connections that are open or being made.
        is_vetoed: whether no new attempts may go to a server.
    """

    def __init__(
        self,
        reactor: Any,
        engine: Engine,
        clock: Callable[[], int],
        buffers: BufferPool,
        dial_timeout_s: float,
        idle_s: float,
        max_connections: int,
    ) -> None:
        """Start without servers; `idle_s` is the servers' own idle limit."""
        self.reactor, self.engine, self.clock, self.buffers = reactor, engine, clock, buffers
        self.dial_timeout_s, self.idle_s, self.max_connections = dial_timeout_s, idle_s * IDLE_SHARE, max_connections
        self.servers: dict[int, UpstreamServer] = {}
        self.relays: dict[UpstreamStream, None] = {}
        self.connection_count = 0
        self.is_vetoed: Callable[[int], object] = lambda server: False
        reactor.callLater(SWEEP_INTERVAL_S, self._sweep)

    def update(self, processes: dict[int, ServerProcess]) -> None:
        """Apply a changed list; a server no longer on it finishes its attempts and loses its idle connections."""
        for number, place in processes.items():
            server = self.servers.get(number)
            if server is None or server.place != place:
                if server is not None:
                    server.retire()
                self.servers[number] = UpstreamServer(self, number, place)
        for number in [number for number in self.servers if number not in processes]:
            self.servers.pop(number).retire()

    def send(self, attempt: Attempt, timeout_ns: int) -> None:
        """Send an attempt; the engine times it."""
        server = self.servers.get(attempt.server)
        if server is None:
            return self.engine.handle_attempt_end(attempt, Result.NO_CONNECTION)
        server.send(attempt)

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt by closing its connection."""
        stream = attempt.connection
        if stream is not None and stream.attempt is attempt:
            stream.drop()

    def close_idle(self, server: int) -> None:
        """Close the idle connections to a server."""
        if server in self.servers:
            self.servers[server].close_idle_before(float("inf"))

    def resize(self, max_connections: int) -> None:
        """Change the limit on connections; idle ones above it are closed, those in use stay."""
        self.max_connections = max_connections
        while self.connection_count > max_connections and self.close_longest_idle():
            pass

    def close_longest_idle(self) -> bool:
        """Close the connection that has been idle longest, so that idle ones do not block connections to other servers.

        Returns:
            Whether there was one.
        """
        longest = min((s.idle[0] for s in self.servers.values() if s.idle), key=_idle_since_s, default=None)
        if longest is None:
            return False
        longest.server.idle.popleft().drop()
        return True

    def _sweep(self) -> None:
        self.reactor.callLater(SWEEP_INTERVAL_S, self._sweep)
        before_s = self.reactor.seconds() - self.idle_s
        for server in self.servers.values():
            server.close_idle_before(before_s)
        stalled_before_s = self.reactor.seconds() - RELAY_STALL_TIMEOUT_S
        for stream in [s for s in self.relays if s.is_reading and s.last_progress_s < stalled_before_s]:
            COUNTS["upstream.stood_still"] += 1
            stream.transport.abortConnection()


def _is_orderly(reason: Failure) -> bool:
    """Return whether the other side closed the connection in order."""
    return reason.check(ConnectionDone) is not None


def _idle_since_s(stream: UpstreamStream) -> float:
    return stream.idle_since_s
