"""Client connections: parses HTTP/1.1 requests, passes them to the engine and writes its answers."""

from __future__ import annotations

import os
from collections import OrderedDict
from collections.abc import Callable
from itertools import takewhile
from socket import AF_INET, socket, socketpair
from typing import Any, Protocol

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Factory
from twisted.internet.tcp import Port
from twisted.python.failure import Failure

from ..engine import Engine, OpenRequest
from ..http1 import (
    MAX_BODY_BYTES,
    MAX_BUFFERED_BODY_BYTES,
    BufferPool,
    ProtocolError,
    RejectedRequestError,
    RemoteProtocolError,
    Request,
    Response,
    ServerConnection,
    Upload,
    write_response,
)
from ..http1.translator import READY_PATH, Translator
from ..lifecycle import Lifecycle
from ..telemetry import COUNTS, log
from .streams import Stream

SWEEP_INTERVAL_S = 0.25
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
# For a request head, from the connect or from the first byte of a later head.  A client may take 2 s for a head, and a
# client that sends no usable request must be disconnected within 3 s of connecting.
HEAD_TIMEOUT_S = 2.4
MIN_BODY_BYTES_PER_S = 32 * 1024  # extends the head timeout for a body; half of the rate that clients may send at
CROWDED_SILENT_TIMEOUT_S = 0.5  # for a client that has sent nothing, while no more connections are accepted
CROWDED_PAUSE_TIMEOUT_S = 1.0  # without a byte of a request that has begun, while no more connections are accepted
LINGER_QUIET_S = 1.0  # after the last answer: for the client to read it and close, if it sends nothing more
MAX_LINGER_S = 6.0  # after the last answer, while the client still sends bytes that are discarded
SLOW_READER_TIMEOUT_S = 10.0  # for the client to read an answer
IDLE_TIMEOUT_S = 60.0  # between requests
MAX_DISCARDED_BYTES = 256 * 1024  # read and discarded after the last answer; reading stops beyond
MAX_CONNECTIONS_OVER_LIMIT = 24  # connections above the limit while none is idle
MIN_ACCEPTS_PER_TURN = 16  # accepted in a reactor turn at the limit too; below MAX_CONNECTIONS_OVER_LIMIT


class ClientStream(Stream):
    """One client connection.

    Attributes:
        listener: the listener that accepted the connection.
        http1: parses requests and frames answers.
        open_request: the engine's record of the current request.
        request_id: the id claimed for the current request; empty if there is none.
        has_had_request: whether a complete request has arrived on the connection.
        wait_began_s: reactor time of the last change of what the connection waits for.
        last_received_s: reactor time at which bytes last arrived or reading resumed.
        upload: takes the rest of the current request's body while it is streamed.
        answer_source: supplies the rest of the current answer while it is streamed.
        reserved_bytes: the part of the pool's limit that the current request's body uses.
        discarded_bytes: bytes that arrived after the last answer.
        max_discarded_bytes: reading stops beyond this many discarded bytes.
        recent_requests: the connection's load: requests received, halved by each `ClientListener.decay_loads`.
    """

    def __init__(self, listener: ClientListener) -> None:
        self.listener = listener
        self.http1 = ServerConnection(listener.pool, listener.stream_threshold_bytes)
        self.open_request: OpenRequest | None = None
        self.request_id = b""
        self.has_had_request = False
        self.wait_began_s = listener.reactor.seconds()
        self.last_received_s = self.wait_began_s
        self.upload: Upload | None = None
        self.answer_source: Any = None
        self.reserved_bytes = 0
        self.discarded_bytes, self.max_discarded_bytes = 0, MAX_DISCARDED_BYTES
        self.recent_requests = 0.0

    def connectionMade(self) -> None:
        """Add the connection to the listener's."""
        super().connectionMade()
        self.listener.add(self)

    def dataReceived(self, data: bytes) -> None:
        """Take bytes from the client."""
        http1 = self.http1
        self.last_received_s = self.listener.reactor.seconds()
        if self.upload is not None:
            return self._receive_body_part(data)
        if http1.closing:
            # Closing with bytes unread resets the connection and may lose the answer, so some are read and
            # discarded.  The bound keeps a client with 60 MB still to send from holding the connection.
            self.discarded_bytes += len(data)
            if self.discarded_bytes > self.max_discarded_bytes:
                self.pause_reading()
            return
        if self.has_had_request and not http1.partial:
            self.listener.restart_wait(self)  # the first head's timeout runs from the connect
        http1.receive(data)
        if http1.busy or not self.is_flushed:
            if http1.full:
                # Bounds the memory of a client that keeps sending while its request is in flight or its answer is
                # not read.
                self.pause_reading()
            return
        self._process_requests()

    def _resume_if_paused(self) -> None:
        if not self.is_reading:
            self.last_received_s = self.listener.reactor.seconds()
            self.resume_reading()

    def _receive_body_part(self, data: bytes) -> None:
        """Take more of a streamed request body."""
        http1, upload, open_request = self.http1, self.upload, self.open_request
        http1.receive(data)
        try:
            part = http1.next_part()
        except RemoteProtocolError as err:
            COUNTS["client.bad_request"] += 1
            return self.abort_request(err.status, err.reason)
        if http1.is_streaming:
            upload.put(part, False)
            if not upload.has_room:
                self.pause_reading()
            return
        self.upload = None
        upload.put(part, True)
        if open_request is not None:
            self.listener.engine.handle_body_end(open_request, open_request.payload.arrival.ttl_ns)

    def abort_request(self, status: int, reason: str) -> None:
        """Answer a request whose body cannot be received, with an HTTP status and a reason, and cancel it."""
        open_request = self.open_request
        self.answer(status, reason.encode() + b"\n", last=True)
        if open_request is not None:
            self.listener.engine.handle_disconnect(open_request)

    def _drop_sent_body(self) -> None:
        """Free the buffered body: more has been sent than is held, so no other attempt can send it again."""
        if self.open_request is not None and not self.open_request.is_body_released:
            self.open_request.is_body_released = True
            self.open_request.payload.request.body = b""
            self._release_reservation()

    def _process_requests(self) -> None:
        # Only once the last answer is flushed, so that a slow reader holds no more than one answer.
        while self.is_flushed and not self.http1.busy:
            try:
                request = self.http1.next_request()
                if request is None:
                    if self.http1.take_expectation():
                        self.send(CONTINUE_RESPONSE)
                    break
                self.has_had_request = True
                self._handle_request(request)
            except ProtocolError as err:
                COUNTS["client.bad_request"] += 1
                COUNTS[f"client.bad_request.{err.status}"] += 1
                self.answer(err.status, err.reason.encode() + b"\n", last=self.http1.closing)
        http1 = self.http1
        if not self.is_reading and not (http1.full or http1.closing or http1.is_streaming) and self.is_flushed:
            self._resume_if_paused()

    def _handle_request(self, request: Request) -> None:
        if request.target == READY_PATH and request.method == b"GET":
            return self.answer(200 if self.listener.lifecycle.is_address_ready else 503)
        client_request = self.listener.translator.read(request)
        if len(self.listener.engine.requests) >= self.listener.open_cap:
            COUNTS["client.over_open_cap"] += 1
            return self.reject(self.listener.retry_after_ns, False)
        if not self.listener.request_ids.claim(client_request.id):
            if (
                self.listener.find_outcome is not None
                and (known := self.listener.find_outcome(client_request.id)) is not None
            ):
                return self.answer(known[0], known[1], known[2])
            # If it were forwarded, servers that deduplicate by id would take it for a copy of the request in flight.
            raise RejectedRequestError(409, "the id of an open request")
        self.request_id = client_request.id
        self.recent_requests += 1
        if request.is_streamed:
            self.upload = client_request.upload = Upload(request.length, self._resume_if_paused, self._drop_sent_body)
            self.pause_reading()  # until an attempt has sent the bytes received so far
        if len(request.body) > MAX_BUFFERED_BODY_BYTES:
            self.reserved_bytes = 2 * len(request.body)  # the copy kept for retries and the copy being written
            self.listener.pool.reserved_bytes += self.reserved_bytes
        open_request = self.listener.engine.accept(client_request.arrival, client_request, self)
        if not open_request.is_answered:
            self.open_request = open_request

    def answer(self, status: int, body: bytes = b"", lines: bytes = b"", last: bool = False) -> None:
        """Send a complete answer.

        Args:
            status: HTTP status.
            body: the body.
            lines: further header lines, each with its line end.
            last: whether the connection closes after this answer with bytes of the client possibly unread.
        """
        self.open_request = self.upload = None
        self._release_request()
        if not self.connected:
            return
        if self.listener.lifecycle.closes_after_answer:
            self.http1.closing = True
        if self.http1.is_streaming:
            # The rest of the body is discarded; some clients read the answer only after they have sent all of it.
            self.http1.closing = last = True
            self.max_discarded_bytes = MAX_BODY_BYTES
        self.send(self.http1.answer(status, body, lines))
        self._finish_answer(last)

    def _finish_answer(self, last: bool) -> None:
        """Close the connection after its answer, or wait for the next request."""
        self.listener.restart_wait(self)
        if last:
            # Closing with bytes unread resets the connection, and the client may lose the answer.
            self.transport.loseWriteConnection()
            self._resume_if_paused()
        elif self.http1.closing:
            self.transport.loseConnection()
        elif self.listener.wanted_load:
            self.listener.offer_for_hand_over(self)
            if self.is_flushed and self.http1.partial:
                self.listener.reactor.callLater(0, self._process_if_connected)
        elif self.is_flushed and self.http1.partial:
            self.listener.reactor.callLater(0, self._process_if_connected)

    def _release_request(self) -> None:
        """Release the id and the memory of the current request."""
        if self.request_id:
            self.listener.request_ids.release(self.request_id)
            self.request_id = b""
        self._release_reservation()

    def _release_reservation(self) -> None:
        self.listener.pool.reserved_bytes -= self.reserved_bytes
        self.reserved_bytes = 0

    def _process_if_connected(self) -> None:
        if self.connected:
            self._process_requests()

    # --- engine.drivers.Answerer

    def send_answer(self, response: Response) -> None:
        """Send a complete answer."""
        content_type = response.headers.get(b"content-type")
        self.answer(200, response.body, b"Content-Type: %b\r\n" % content_type if content_type else b"")

    def begin_answer(self, response: Response, source: Any) -> None:
        """Begin a streamed answer: calls of `send_part` and one of `end_answer` follow; `source` can be paused."""
        if not self.connected:
            return
        if self.listener.lifecycle.closes_after_answer:
            self.http1.closing = True
        self.answer_source = source
        self.listener.restart_wait(self)
        content_type = response.headers.get(b"content-type")
        lines = b"Content-Type: %b\r\n" % content_type if content_type else b""
        self.send(self.http1.begin(200, lines, response.length))

    def send_part(self, data: bytes) -> None:
        """Send a part of the body of a streamed answer."""
        self.send(self.http1.part(data))
        if not self.is_flushed and self.answer_source is not None:
            self.answer_source.pause()

    def end_answer(self, is_whole: bool) -> None:
        """End a streamed answer; if it is not `is_whole`, the client can tell so from how the connection closes."""
        self.open_request = self.answer_source = None
        self._release_request()
        if not self.connected:
            return
        if is_whole:
            if end := self.http1.end():
                self.send(end)
            return self._finish_answer(False)
        self.http1.closing = True
        if self.http1.ends_by_close:
            self.transport.abortConnection()  # after an orderly close the body would seem complete
        else:
            self.transport.loseConnection()  # after the parts received so far are written

    def reject(self, retry_after_ns: int, is_over_quota: bool) -> None:
        """Reject the request with 429 or 503, and Retry-After unless `retry_after_ns` is 0."""
        lines = b"Retry-After: %.3f\r\n" % (retry_after_ns / 1e9) if retry_after_ns > 0 else b""
        self.answer(429 if is_over_quota else 503, lines=lines)

    def fail(self, is_overdue: bool) -> None:
        """Answer 504 after the deadline, else 502."""
        self.answer(504 if is_overdue else 502)

    def drop(self) -> None:
        """Close the connection without an answer: another ingress has taken the request over."""
        self.open_request = self.upload = None
        self.request_id = b""  # the other ingress holds the id now
        self._release_reservation()
        if self.connected:
            self.transport.abortConnection()

    # --- events of the connection

    def on_flushed(self) -> None:
        """Resume the source of the answer, or handle the next request."""
        self.listener.restart_wait(self)
        if self.answer_source is not None:
            self.answer_source.resume()
        elif not self.http1.closing:
            self._process_requests()

    def connectionLost(self, reason: Failure) -> None:
        """Release what the connection holds, and report the current request as abandoned."""
        super().connectionLost(reason)
        self._release_request()
        self.http1.clear()
        self.upload = self.answer_source = None
        self.listener.remove(self)
        if self.open_request is not None:
            open_request, self.open_request = self.open_request, None
            self.listener.engine.handle_disconnect(open_request)

    @property
    def is_idle(self) -> bool:
        """Whether the connection waits for a request of which no byte has arrived."""
        return not self.http1.busy and not self.http1.partial and self.is_flushed

    def close(self) -> None:
        """Close the connection between requests, or while a request is incomplete."""
        self.http1.closing = True
        self.listener.restart_wait(self)
        self.transport.loseConnection()


class RequestIds(Protocol):
    """The ids of requests in flight (`OpenIds`, or `fleet_ids.FleetIds`)."""

    def claim(self, request_id: bytes) -> bool:
        """Claim an id; return False if a request with this id is in flight."""

    def release(self, request_id: bytes) -> None:
        """Release an id whose request was answered."""


class OpenIds:
    """The ids of one process's requests in flight; several workers use `cores.open_request_ids`."""

    def __init__(self) -> None:
        """Start without ids."""
        self._held: set[bytes] = set()

    def claim(self, request_id: bytes) -> bool:
        """Claim an id; return False if a request with this id is in flight."""
        if request_id in self._held:
            return False
        self._held.add(request_id)
        return True

    def release(self, request_id: bytes) -> None:
        """Release an id whose request was answered."""
        self._held.discard(request_id)


class ClientListenerPort(Port):
    """A listening port that bounds the connections accepted in one reactor turn.

    Pausing the port takes effect in the next turn only, so the bound is needed to respect the connection limit.
    """

    def doRead(self) -> None:
        """Accept connections up to the free room of the listener, and at least `MIN_ACCEPTS_PER_TURN`."""
        room = self.factory.max_connections - len(self.factory.streams)
        self.numberAccepts = min(self.numberAccepts, max(MIN_ACCEPTS_PER_TURN, room))
        super().doRead()


def inherited_port(reactor: Any, fd: int, listener: ClientListener) -> ClientListenerPort:
    """Return a port on a duplicate of a listening socket's descriptor; closing the port leaves the socket open."""
    port = ClientListenerPort._fromListeningDescriptor(reactor, fd, AF_INET, listener)
    port.startListening()
    return port


class ClientListener(Factory):
    """The client connections of one process: limit, timeouts, hand-over to other workers and shutdown.

    Attributes:
        streams: the open connections, ordered by `wait_began_s`.
        request_ids: the ids of requests in flight.
        find_outcome: returns the status, body and header lines of the answer to a request taken over, by its id.
        port: the listening port, if this process has one.
        max_connections: the limit on connections.
        open_cap: the limit on requests in flight.
        retry_after_ns: sent with a rejection at that limit, in nanoseconds.
        stream_threshold_bytes: larger request bodies are streamed.
        wanted_load: see `hand_over`; 0 while no connection is wanted.
    """

    noisy = False

    def __init__(
        self,
        reactor: Any,
        engine: Engine,
        translator: Translator,
        pool: BufferPool,
        max_connections: int,
        open_cap: int,
        retry_after_ns: int,
        lifecycle: Lifecycle,
        stream_threshold_bytes: int,
    ) -> None:
        """Allow `max_connections` connections and `open_cap` requests in flight.

        A body of up to `stream_threshold_bytes` is received completely before its request goes to the engine.
        """
        self.reactor, self.engine, self.translator, self.pool = reactor, engine, translator, pool
        self.lifecycle, self.stream_threshold_bytes = lifecycle, stream_threshold_bytes
        self.max_connections, self.open_cap, self.retry_after_ns = max_connections, open_cap, retry_after_ns
        self.streams: OrderedDict[ClientStream, None] = OrderedDict()  # ordered by `wait_began_s`
        self.request_ids: RequestIds = OpenIds()
        self.find_outcome: Callable[[bytes], tuple[int, bytes, bytes] | None] | None = None
        self.port: Any = None
        self._adopted_had_request = False
        self.wanted_load = 0.0
        self._is_accepting = True
        reactor.callLater(SWEEP_INTERVAL_S, self._sweep)

    def buildProtocol(self, addr: Any) -> ClientStream | None:
        """Return the protocol of a new connection; None, which closes it, above the overshoot of the limit."""
        if len(self.streams) >= self.max_connections + MAX_CONNECTIONS_OVER_LIMIT:
            COUNTS["client.turned_away"] += 1  # one turn accepts dozens; a pause takes effect after it
            return None
        stream = ClientStream(self)
        stream.has_had_request = self._adopted_had_request
        return stream

    def adopt(self, handle: socket, has_had_request: bool) -> None:
        """Take over an open connection; the idle timeout applies to it only if it `has_had_request`."""
        self._adopted_had_request = has_had_request
        try:
            self.reactor.adoptStreamConnection(handle.fileno(), handle.family, self)
        finally:
            self._adopted_had_request = False

    def restart_wait(self, stream: ClientStream) -> None:
        """Measure the timeouts of a connection from now on."""
        stream.wait_began_s = self.reactor.seconds()
        if stream in self.streams:
            self.streams.move_to_end(stream)

    def add(self, stream: ClientStream) -> None:
        """Add a new connection, and make room for the next one at the limit."""
        COUNTS["client.connected"] += 1
        self.streams[stream] = None
        if len(self.streams) >= self.max_connections:
            self._make_room(stream)

    def _make_room(self, newest: ClientStream) -> None:
        """Close an idle connection, or stop accepting: the number of descriptors is limited."""
        if not self._close_longest_idle(newest) and self._is_accepting and self.port is not None:
            COUNTS["client.accepting_paused"] += 1
            self._is_accepting = False
            self.update_accepting()

    def _close_longest_idle(self, newest: ClientStream | None = None) -> bool:
        """Close the connection that has been idle longest; only busy ones precede it in `streams`."""
        for stream in self.streams:
            if stream.is_idle and not stream.http1.closing and stream is not newest:
                COUNTS["client.closed_for_room"] += 1
                # Frees the descriptor now and not in the reactor's next turn: this turn may accept dozens more.
                stream.transport.connectionLost(Failure(ConnectionDone()))
                return True
        return False

    def remove(self, stream: ClientStream) -> None:
        """Remove a closed connection, and accept again if there is room."""
        self.streams.pop(stream, None)
        if not self._is_accepting and len(self.streams) < self.max_connections and self.port is not None:
            self._is_accepting = True
            self.update_accepting()

    def update_accepting(self) -> None:
        """Accept connections or leave them in the kernel's queue, depending on the room and the lifecycle."""
        if self.port is not None and self.port.connected:
            (
                self.port.startReading
                if self._is_accepting and self.lifecycle.accepts_connections
                else self.port.stopReading
            )()

    def resize(self, max_connections: int) -> None:
        """Change the limit on connections, and close idle ones above it."""
        self.max_connections = max_connections
        while len(self.streams) > max_connections and self._close_longest_idle():
            pass
        self._is_accepting = len(self.streams) < max_connections
        self.update_accepting()

    def _sweep(self) -> None:
        self.reactor.callLater(SWEEP_INTERVAL_S, self._sweep)
        now_s = self.reactor.seconds()
        is_crowded = not self._is_accepting
        if self.lifecycle.closes_idle_connections(now_s):
            self.close_idle_connections()
        waiting = list(takewhile(lambda s: now_s - s.wait_began_s >= CROWDED_SILENT_TIMEOUT_S, self.streams))
        for stream in waiting:
            waited_s = now_s - stream.wait_began_s
            if not stream.is_flushed:
                if waited_s >= SLOW_READER_TIMEOUT_S:
                    COUNTS["client.slow_reader"] += 1
                    stream.transport.abortConnection()
            elif stream.http1.busy:
                if stream.upload is not None and stream.is_reading and now_s - stream.last_received_s >= HEAD_TIMEOUT_S:
                    COUNTS["client.slow_writer"] += 1
                    stream.abort_request(408, "the body stands still")
            elif stream.http1.closing:
                if (
                    waited_s >= LINGER_QUIET_S
                    and now_s - stream.last_received_s >= LINGER_QUIET_S
                    or waited_s >= MAX_LINGER_S
                ):
                    stream.transport.abortConnection()
            elif stream.http1.partial:
                timeout_s = HEAD_TIMEOUT_S + stream.http1.body_size / MIN_BODY_BYTES_PER_S
                if waited_s >= timeout_s or is_crowded and now_s - stream.last_received_s >= CROWDED_PAUSE_TIMEOUT_S:
                    COUNTS["client.slow_writer"] += 1
                    stream.send(write_response(408, close=True))
                    stream.close()
            elif waited_s >= (
                IDLE_TIMEOUT_S if stream.has_had_request else CROWDED_SILENT_TIMEOUT_S if is_crowded else HEAD_TIMEOUT_S
            ):
                COUNTS["client.idle" if stream.has_had_request else "client.silent"] += 1
                stream.close()

    def decay_loads(self) -> None:
        """Halve the load (`recent_requests`) of each connection; called at regular intervals."""
        for stream in self.streams:
            stream.recent_requests *= 0.5

    def hand_over(self, wanted_load: float, on_handed_over: Callable[[socket, float], None]) -> None:
        """Give a connection between requests away: the one whose load (`recent_requests`) is nearest to `wanted_load`.

        Only loads from an eighth to twice the wanted one qualify.  If no such connection is between requests now, the
        next one that is goes, because busy connections are between requests for moments only.

        Args:
            wanted_load: the load to give away.
            on_handed_over: takes the connection's socket, which it must close, and its load; not called if no
                connection qualifies.
        """
        self.wanted_load, self._on_handed_over = wanted_load, on_handed_over
        best = min(
            filter(self._is_hand_over_candidate, self.streams),
            key=lambda s: abs(s.recent_requests - wanted_load),
            default=None,
        )
        if best is not None:
            self._detach(best)

    def _is_hand_over_candidate(self, stream: ClientStream) -> bool:
        is_load_near = self.wanted_load / 8 <= stream.recent_requests <= 2 * self.wanted_load
        return is_load_near and stream.has_had_request and stream.is_idle and not stream.http1.closing

    def offer_for_hand_over(self, stream: ClientStream) -> None:
        """Hand a connection that is now between requests over, if its load is near the wanted one."""
        if self._is_hand_over_candidate(stream):
            self.reactor.callLater(0, self._detach, stream)  # not inside this connection's own read handler

    def _detach(self, stream: ClientStream) -> None:
        if not self.wanted_load or not stream.connected or not self._is_hand_over_candidate(stream):
            return
        self.wanted_load = 0.0
        handle = stream.transport.getHandle()
        duplicate = handle.dup()
        # Twisted shuts the socket down when it closes the transport, which would end the connection for every process
        # that holds it.  So the transport's descriptor is first replaced by a dummy socket.
        stream.transport.stopReading()
        stream.transport.stopWriting()
        dummy, dummy_peer = socketpair()
        os.dup2(dummy.fileno(), handle.fileno(), inheritable=False)
        dummy.close()
        dummy_peer.close()
        stream.transport.connectionLost(Failure(ConnectionDone()))
        COUNTS["client.handed_over"] += 1
        self._on_handed_over(duplicate, stream.recent_requests)

    def has_unfinished(self, counts_partial: bool) -> bool:
        """Return whether an answer is not flushed, or, with `counts_partial`, a request is partly received.

        On a socket that another process shares, `begin_shutdown` leaves new connections open, so one without a
        request counts as partly received.
        """
        counts_new = self.lifecycle.is_socket_shared
        return any(
            not s.is_flushed
            or s.http1.busy
            or counts_partial
            and (s.http1.partial or counts_new and not s.has_had_request)
            for s in self.streams
        )

    def close_idle_connections(self) -> None:
        """Close the connections between requests; one with a request on its way stays open."""
        for stream in list(self.streams):
            if stream.is_idle and stream.has_had_request and not stream.http1.closing and not stream.has_unread:
                COUNTS["client.shed"] += 1
                stream.close()

    def stop_accepting(self) -> None:
        """Close the listening port; a shared socket stays open in the other process."""
        port, self.port = self.port, None
        if port is not None:
            port.stopListening()

    def begin_shutdown(self) -> None:
        """Accept no more connections and close the idle ones; the others close after their answer."""
        self.lifecycle.mark_listener_closed()
        self.stop_accepting()
        for stream in list(self.streams):
            if stream.is_idle and not stream.has_had_request and not self.lifecycle.is_socket_shared:
                stream.close()
        self.close_idle_connections()
        log("leaving", open=len(self.engine.requests), connections=len(self.streams))
