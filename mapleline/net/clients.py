"""Client connections: bytes in and out of `ServerConnection`, requests to the engine, answers back."""

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

SWEEP_S = 0.25
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
# From connecting to the end of the first head, or from a later one's first byte: a client may take 2 s for
# it, and who sends nothing worth waiting for is owed an end within 3 s of connecting.
HEAD_S = 2.4
BODY_PER_S = 32 * 1024  # a body has as much longer as it would need at this rate: half of what clients may do
CROWDED_S = 0.5  # for who has sent nothing, while there is no room for others
PAUSED_S = 1.0  # then, for who has begun and sends no more
LINGER_S = 1.0  # for a client to read why it was turned down and to close
LINGER_MOST_S = 6.0  # while it still sends what nobody wants any more
SLOW_S = 10.0  # for an answer to be taken
IDLE_S = 60.0  # between requests
MOST_DISCARDED = 256 * 1024  # bytes read behind an answer that is the last; what is left then goes unread
OVERSHOOT = 24  # connections above the cap while none stands idle
ACCEPTED_LEAST = 16  # in one turn, if so many come: fewer than the overshoot


class ClientStream(Stream):
    """One client connection."""

    def __init__(self, front: Front) -> None:
        self.front = front
        self.machine = ServerConnection(front.pool, front.gather)
        self.open: OpenRequest | None = None
        self.id = b""  #: of the request in hand
        self.asked = False  #: a whole request has come
        self.since = front.reactor.seconds()  #: of the last change of what it waits for
        self.heard = self.since  #: when it last sent anything
        self.upload: Upload | None = None  #: takes the rest of the request in hand
        self.source: Any = None  #: gives the rest of the answer in hand
        self.reserved = 0  #: bytes of the pool's bound that the request in hand takes
        self.discarded, self.discards = 0, MOST_DISCARDED
        self.recent = 0.0  #: requests taken, the older ones weighing less; see `Front.fade`

    def connectionMade(self) -> None:
        super().connectionMade()
        self.front.joined(self)

    def dataReceived(self, data: bytes) -> None:
        machine = self.machine
        self.heard = self.front.reactor.seconds()
        if self.upload is not None:
            return self._more(data)
        if machine.closing:
            # It is read for a while, since closing with bytes unread may cost the client its answer; who has
            # 60 MB more to send is not waited for.
            self.discarded += len(data)
            if self.discarded > self.discards:
                self.pause_reading()
            return
        if self.asked and not machine.partial:
            self.front.touch(self)  # who has not asked yet has its time from connecting
        machine.receive(data)
        if machine.busy or not self.is_flushed:
            if machine.full:
                # A client that writes on and on, behind a request in hand or an answer that it does not take,
                # must not fill memory.
                self.pause_reading()
            return
        self._next()

    def _read_on(self) -> None:
        if not self.is_reading:
            self.heard = self.front.reactor.seconds()
            self.resume_reading()

    def _more(self, data: bytes) -> None:
        """More of a body that goes on as it comes."""
        machine, upload, opened = self.machine, self.upload, self.open
        machine.receive(data)
        try:
            part = machine.next_part()
        except RemoteProtocolError as err:
            COUNTS["client.bad_request"] += 1
            return self._give_up(err.status, err.reason)
        if machine.is_streaming:
            upload.put(part, False)
            if not upload.has_room:
                self.pause_reading()
            return
        self.upload = None
        upload.put(part, True)
        if opened is not None:
            self.front.engine.handle_body_end(opened, opened.payload.arrival.ttl_ns)

    def _give_up(self, status: int, why: str) -> None:
        """The rest of the request in hand is not to be had."""
        opened = self.open
        self.answer(status, why.encode() + b"\n", last=True)
        if opened is not None:
            self.front.engine.handle_disconnect(opened)

    def _spent(self) -> None:
        if self.open is not None and not self.open.is_body_released:
            self.open.is_body_released = True
            self.open.payload.request.body = b""  # of no more use
            self._release()

    def _next(self) -> None:
        # Never before the last answer is out: a slow reader holds one answer and no more.
        while self.is_flushed and not self.machine.busy:
            try:
                request = self.machine.next_request()
                if request is None:
                    if self.machine.take_expectation():
                        self.send(CONTINUE)
                    break
                self.asked = True
                self._take(request)
            except ProtocolError as err:
                COUNTS["client.bad_request"] += 1
                COUNTS[f"client.bad_request.{err.status}"] += 1
                self.answer(err.status, err.reason.encode() + b"\n", last=self.machine.closing)
        machine = self.machine
        if not self.is_reading and not (machine.full or machine.closing or machine.is_streaming) and self.is_flushed:
            self._read_on()

    def _take(self, request: Request) -> None:
        if request.target == READY_PATH and request.method == b"GET":
            return self.answer(200 if self.front.life.is_address_ready else 503)
        wish = self.front.translator.read(request)
        if len(self.front.engine.requests) >= self.front.open_cap:
            COUNTS["client.over_open_cap"] += 1
            return self.reject(self.front.retry_ns, False)
        if not self.front.ids.claim(wish.id):
            if self.front.outcome is not None and (known := self.front.outcome(wish.id)) is not None:
                return self.answer(known[0], known[1], known[2])
            # Sent on, it would be a second copy of that request to whoever looks at ids.
            raise RejectedRequestError(409, "the id of an open request")
        self.id = wish.id
        self.recent += 1
        if request.is_streamed:
            self.upload = wish.upload = Upload(request.length, self._read_on, self._spent)
            self.pause_reading()  # until an attempt takes what there is
        if len(request.body) > MAX_BUFFERED_BODY_BYTES:
            self.reserved = 2 * len(request.body)  # held to be sent again, and once more on its way out
            self.front.pool.reserved_bytes += self.reserved
        opened = self.front.engine.accept(wish.arrival, wish, self)
        if not opened.is_answered:
            self.open = opened

    def answer(self, status: int, body: bytes = b"", lines: bytes = b"", last: bool = False) -> None:
        self.open = self.upload = None
        self._forget()
        if not self.connected:
            return
        if self.front.life.closes_after_answer:
            self.machine.closing = True
        if self.machine.is_streaming:
            # What is still to come is no request; a client may read its answer only once it has sent that.
            self.machine.closing = last = True
            self.discards = MAX_BODY_BYTES
        self.send(self.machine.answer(status, body, lines))
        self._rest(last)

    def _rest(self, last: bool) -> None:
        """The answer is out: what becomes of the connection."""
        self.front.touch(self)
        if last:
            # Closing with bytes unread resets the connection, and the client may never see why.
            self.transport.loseWriteConnection()
            self._read_on()
        elif self.machine.closing:
            self.transport.loseConnection()
        elif self.front.wanted:
            self.front.rested(self)
            if self.is_flushed and self.machine.partial:
                self.front.reactor.callLater(0, self._next_if_connected)
        elif self.is_flushed and self.machine.partial:
            self.front.reactor.callLater(0, self._next_if_connected)

    def _forget(self) -> None:
        """The request in hand is over."""
        if self.id:
            self.front.ids.release(self.id)
            self.id = b""
        self._release()

    def _release(self) -> None:
        self.front.pool.reserved_bytes -= self.reserved
        self.reserved = 0

    def _next_if_connected(self) -> None:
        if self.connected:
            self._next()

    # --- the engine's Answerer

    def send_answer(self, answer: Response) -> None:
        kind = answer.headers.get(b"content-type")
        self.answer(200, answer.body, b"Content-Type: %b\r\n" % kind if kind else b"")

    def begin_answer(self, answer: Response, source: Any) -> None:
        """The answer goes out as it comes: `part`s, then `ended`.  `source` is paused and resumed."""
        if not self.connected:
            return
        if self.front.life.closes_after_answer:
            self.machine.closing = True
        self.source = source
        self.front.touch(self)
        kind = answer.headers.get(b"content-type")
        lines = b"Content-Type: %b\r\n" % kind if kind else b""
        self.send(self.machine.begin(200, lines, answer.length))

    def part(self, data: bytes) -> None:
        self.send(self.machine.part(data))
        if not self.is_flushed and self.source is not None:
            self.source.pause()

    def ended(self, whole: bool) -> None:
        """The last part has come; or no more will come, and the client is to see that."""
        self.open = self.source = None
        self._forget()
        if not self.connected:
            return
        if whole:
            if end := self.machine.end():
                self.send(end)
            return self._rest(False)
        self.machine.closing = True
        if self.machine.ends_by_close:
            self.transport.abortConnection()  # an orderly end would say that it is whole
        else:
            self.transport.loseConnection()  # what came still goes out

    def reject(self, retry_in_ns: int, over_quota: bool) -> None:
        lines = b"Retry-After: %.3f\r\n" % (retry_in_ns / 1e9) if retry_in_ns > 0 else b""
        self.answer(429 if over_quota else 503, lines=lines)

    def fail(self, overdue: bool) -> None:
        self.answer(504 if overdue else 502)

    def drop(self) -> None:
        """Another ingress has the request: this client asks there."""
        self.open = self.upload = None
        self.id = b""  # held by the other now
        self._release()
        if self.connected:
            self.transport.abortConnection()

    # --- the end of a connection

    def on_flushed(self) -> None:
        self.front.touch(self)
        if self.source is not None:
            self.source.resume()
        elif not self.machine.closing:
            self._next()

    def connectionLost(self, reason: Failure) -> None:
        super().connectionLost(reason)
        self._forget()
        self.machine.clear()
        self.upload = self.source = None
        self.front.parted(self)
        if self.open is not None:
            opened, self.open = self.open, None
            self.front.engine.handle_disconnect(opened)

    @property
    def idle(self) -> bool:
        return not self.machine.busy and not self.machine.partial and self.is_flushed

    def close(self) -> None:
        """Between requests, or amid one that is not whole."""
        self.machine.closing = True
        self.front.touch(self)
        self.transport.loseConnection()


class RequestIds(Protocol):
    """The ids of requests in flight (`OpenIds`, or `fleet_ids.FleetIds`)."""

    def claim(self, request_id: bytes) -> bool:
        """Claim an id; False while a request with it is in flight."""

    def release(self, request_id: bytes) -> None:
        """Release an id whose request was answered."""


class OpenIds:
    """The ids of requests in hand; with several workers see `cores.open_request_ids`."""

    def __init__(self) -> None:
        self._held: set[bytes] = set()

    def claim(self, request_id: bytes) -> bool:
        """Hold the id; False if it is held."""
        if request_id in self._held:
            return False
        self._held.add(request_id)
        return True

    def release(self, request_id: bytes) -> None:
        self._held.discard(request_id)


class FrontPort(Port):
    """Accepts no more in one turn than the front has room for: pausing counts from the next turn only."""

    def doRead(self) -> None:
        room = self.factory.most - len(self.factory.streams)
        self.numberAccepts = min(self.numberAccepts, max(ACCEPTED_LEAST, room))
        super().doRead()


def inherited_port(reactor: Any, fd: int, front: Front) -> FrontPort:
    """A port on a copy of a listening socket's descriptor; closing it does not shut the socket down."""
    port = FrontPort._fromListeningDescriptor(reactor, fd, AF_INET, front)
    port.startListening()
    return port


class Front(Factory):
    """All client connections: their cap, their sweeps, and leaving."""

    noisy = False

    def __init__(
        self,
        reactor: Any,
        engine: Engine,
        translator: Translator,
        pool: BufferPool,
        most: int,
        open_cap: int,
        retry_ns: int,
        life: Lifecycle,
        gather: int,
    ) -> None:
        """At most `most` connections and `open_cap` requests; a body of up to `gather` bytes is taken in
        before its request arrives."""
        self.reactor, self.engine, self.translator, self.pool = reactor, engine, translator, pool
        self.life, self.gather = life, gather
        self.most, self.open_cap, self.retry_ns = most, open_cap, retry_ns
        self.streams: OrderedDict[ClientStream, None] = OrderedDict()  # in the order of `since`
        self.ids: RequestIds = OpenIds()  #: of the requests in hand
        self.outcome: Callable[[bytes], tuple[int, bytes, bytes] | None] | None = None  #: of one taken over
        self.port: Any = None
        self._adopting_asked = False
        self.wanted = 0.0  #: see `hand_over`
        self._accepting = True
        reactor.callLater(SWEEP_S, self._sweep)

    def buildProtocol(self, addr: Any) -> ClientStream | None:
        if len(self.streams) >= self.most + OVERSHOOT:
            COUNTS["client.turned_away"] += 1  # a turn accepts dozens, and accepting stops only after it
            return None
        stream = ClientStream(self)
        stream.asked = self._adopting_asked
        return stream

    def adopt(self, handle: socket, asked: bool) -> None:
        """Take over a connection; `asked`: a request has come on it, so that it may stand idle."""
        self._adopting_asked = asked
        try:
            self.reactor.adoptStreamConnection(handle.fileno(), handle.family, self)
        finally:
            self._adopting_asked = False

    def touch(self, stream: ClientStream) -> None:
        stream.since = self.reactor.seconds()
        if stream in self.streams:
            self.streams.move_to_end(stream)

    def joined(self, stream: ClientStream) -> None:
        COUNTS["client.connected"] += 1
        self.streams[stream] = None
        if len(self.streams) >= self.most:
            self._make_room(stream)

    def _make_room(self, newest: ClientStream) -> None:
        """Descriptors are capped: one that stands idle makes room, else the next ones wait unaccepted."""
        if not self._close_idle(newest) and self._accepting and self.port is not None:
            COUNTS["client.accepting_paused"] += 1
            self._accepting = False
            self.read_port()

    def _close_idle(self, newest: ClientStream | None = None) -> bool:
        """The order spares a search: before the longest idle one there are none but busy ones."""
        for stream in self.streams:
            if stream.idle and not stream.machine.closing and stream is not newest:
                COUNTS["client.closed_for_room"] += 1
                # At once, as the reactor would in its next turn: this one may go on to accept dozens.
                stream.transport.connectionLost(Failure(ConnectionDone()))
                return True
        return False

    def parted(self, stream: ClientStream) -> None:
        self.streams.pop(stream, None)
        if not self._accepting and len(self.streams) < self.most and self.port is not None:
            self._accepting = True
            self.read_port()

    def read_port(self) -> None:
        """Take new connections, or leave them to the kernel: as there is room, and as the lifecycle says."""
        if self.port is not None and self.port.connected:
            (self.port.startReading if self._accepting and self.life.accepts_connections else self.port.stopReading)()

    def resize(self, most: int) -> None:
        """Another bound on connections; idle ones beyond it go."""
        self.most = most
        while len(self.streams) > most and self._close_idle():
            pass
        self._accepting = len(self.streams) < most
        self.read_port()

    def _sweep(self) -> None:
        self.reactor.callLater(SWEEP_S, self._sweep)
        now = self.reactor.seconds()
        crowded = not self._accepting
        if self.life.closes_idle_connections(now):
            self.shed()
        waiting = list(takewhile(lambda s: now - s.since >= CROWDED_S, self.streams))
        for stream in waiting:
            waited = now - stream.since
            if not stream.is_flushed:
                if waited >= SLOW_S:
                    COUNTS["client.slow_reader"] += 1
                    stream.transport.abortConnection()
            elif stream.machine.busy:
                if stream.upload is not None and stream.is_reading and now - stream.heard >= HEAD_S:
                    COUNTS["client.slow_writer"] += 1
                    stream._give_up(408, "the body stands still")
            elif stream.machine.closing:
                if waited >= LINGER_S and now - stream.heard >= LINGER_S or waited >= LINGER_MOST_S:
                    stream.transport.abortConnection()
            elif stream.machine.partial:
                given_s = HEAD_S + stream.machine.body_size / BODY_PER_S
                if waited >= given_s or crowded and now - stream.heard >= PAUSED_S:
                    COUNTS["client.slow_writer"] += 1
                    stream.send(write_response(408, close=True))
                    stream.close()
            elif waited >= (IDLE_S if stream.asked else CROWDED_S if crowded else HEAD_S):
                COUNTS["client.idle" if stream.asked else "client.silent"] += 1
                stream.close()

    def fade(self) -> None:
        """Called at even times: half of each connection's `recent` is forgotten."""
        for stream in self.streams:
            stream.recent *= 0.5

    def hand_over(self, wanted: float, give: Callable[[socket, float], None]) -> None:
        """Give up a connection that stands between requests, the one whose `recent` is nearest to `wanted`,
        at most twice that and no trifle; or, as busy ones stand so for moments only, the next that does.

        `give` gets its socket, which it must close, and its `recent`; it is not called where nothing fits.
        """
        self.wanted, self._give = wanted, give
        best = min(filter(self._fits, self.streams), key=lambda s: abs(s.recent - wanted), default=None)
        if best is not None:
            self._detach(best)

    def _fits(self, stream: ClientStream) -> bool:
        near = self.wanted / 8 <= stream.recent <= 2 * self.wanted
        return near and stream.asked and stream.idle and not stream.machine.closing

    def rested(self, stream: ClientStream) -> None:
        """A connection stands between requests while one is wanted."""
        if self._fits(stream):
            self.reactor.callLater(0, self._detach, stream)  # not amid the reading of this very connection

    def _detach(self, stream: ClientStream) -> None:
        if not self.wanted or not stream.connected or not self._fits(stream):
            return
        self.wanted = 0.0
        handle = stream.transport.getHandle()
        kept = handle.dup()
        # Twisted shuts a socket down with its transport, for every process that holds it: it gets another.
        stream.transport.stopReading()
        stream.transport.stopWriting()
        dummy, other = socketpair()
        os.dup2(dummy.fileno(), handle.fileno(), inheritable=False)
        dummy.close()
        other.close()
        stream.transport.connectionLost(Failure(ConnectionDone()))
        COUNTS["client.handed_over"] += 1
        self._give(kept, stream.recent)

    def unfinished(self, half_in: bool) -> bool:
        """Some answer is not yet in the kernel's hands, or, if that counts, some request is half in.

        On a socket that another process shares, a connection that is new has not been closed by `leave`.
        """
        coming = self.life.is_socket_shared
        return any(
            not s.is_flushed or s.machine.busy or half_in and (s.machine.partial or coming and not s.asked)
            for s in self.streams
        )

    def shed(self) -> None:
        """Close what stands between requests; who is on its way with one has its time."""
        for stream in list(self.streams):
            if stream.idle and stream.asked and not stream.machine.closing and not stream.has_unread:
                COUNTS["client.shed"] += 1
                stream.close()

    def stop_accepting(self) -> None:
        """No new connections; a shared socket stays open in the other process."""
        port, self.port = self.port, None
        if port is not None:
            port.stopListening()

    def leave(self) -> None:
        """No new connections; those that stand idle close, the others close with their answer."""
        self.life.mark_listener_closed()
        self.stop_accepting()
        for stream in list(self.streams):
            if stream.idle and not stream.asked and not self.life.is_socket_shared:
                stream.close()
        self.shed()
        log("leaving", open=len(self.engine.requests), connections=len(self.streams))
