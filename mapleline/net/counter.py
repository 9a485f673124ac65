"""The engine's client of the quota counter: pipelines calls over a few connections, each name on a fixed one."""

from __future__ import annotations

import re
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from ..http1 import ClientConnection, write_request
from ..policy.interface import Result
from ..telemetry import COUNTS
from .dial import dial
from .streams import Stream

if TYPE_CHECKING:
    from ..engine import CounterCall, Engine
    from ..http1 import BufferPool, Response
    from ..settings.platform import Address
    from .event_loop import DelayedCall, EventLoop

CONNECTIONS = 16  #: of the 32 that the counter allows an ingress: connections that close slowly must not block new ones
ANSWER_TIMEOUT_S = 1.0  #: for the oldest call; then the connection is closed, because the counter's machine may be gone
MAX_KEY_LIFETIME_MS = 60_000  #: the longest that the counter keeps a number
NOT_ADDED_STATUSES = (400, 404, 503)  #: HTTP statuses: the amount was not added
TOTAL_PATTERN = re.compile(rb"-?[0-9]{1,20}(?:\.[0-9]{1,20})?(?:[eE][+-]?[0-9]{1,2})?")  #: excludes nan and inf
MAX_QUEUED_CALLS = 256  #: for one connection that is being made
NANOSECONDS_PER_S = 1e9
NANOSECONDS_PER_MS = 1_000_000


def read_total(response: Response) -> float | None:
    """Return the total in a response; None if it does not say that the amount was added, or has no valid total."""
    total = TOTAL_PATTERN.fullmatch(response.body) if response.status == 200 else None
    return None if total is None else float(total[0])


def _target_of(call: CounterCall) -> bytes:
    """Return the request target of a call; the amount has seven significant digits, the lifetime is rounded up."""
    lifetime_ms = max(1, min(MAX_KEY_LIFETIME_MS, -(-call.ttl_ns // NANOSECONDS_PER_MS)))
    amount = format(call.amount, ".7g").encode()
    return b"/v2/numbers/%016x?delta=%b&life_ms=%d" % (call.name, amount, lifetime_ms)


class CounterStream(Stream):
    """One connection; the counter answers calls in their order."""

    def __init__(self, channel: CounterChannel) -> None:
        """Start without calls; `channel` queues the calls for this connection."""
        self._channel = channel
        self._http1: ClientConnection[CounterCall] = ClientConnection(channel.driver.buffers)
        self._is_retired = False  # closes after the answer to its last call
        self._closing: DelayedCall | None = None  # closes it if that answer does not arrive

    def call(self, call: CounterCall) -> None:
        """Send a call."""
        call.is_written = True
        self._http1.add_request(call)
        self.send(write_request(b"POST", _target_of(call), self._channel.driver.host_line))

    @property
    def oldest_call(self) -> CounterCall | None:
        """The call that has waited longest for its answer."""
        return self._http1.pending[0] if self._http1.pending else None

    def dataReceived(self, data: bytes) -> None:
        """Report the answers; close the connection after one that cannot be read."""
        is_readable = True
        for call, response in self._http1.receive(data):
            is_readable = self._channel.driver.on_answer(call, response) and is_readable
        if self._http1.protocol_error:
            COUNTS["counter.malformed"] += 1
        if not self._http1.reusable or not is_readable:
            # The calls behind that answer may have been added, but their answers cannot be trusted.
            self.abort()
        elif self._is_retired:
            self._close_when_answered()

    def abort(self) -> None:
        """Close now; the channel makes a new connection for its next call."""
        self._channel.detach(self)
        self.transport.abortConnection()

    def retire(self) -> None:
        """Send no further calls, and close after the answer to the last one."""
        self._is_retired = True
        self._close_when_answered()

    def _close_when_answered(self) -> None:
        """Close if no call is in flight, or after a timeout, because the old counter may never answer."""
        if not self._http1.pending:
            self.transport.loseConnection()
        elif self._closing is None:
            self._closing = self._channel.driver.reactor.callLater(ANSWER_TIMEOUT_S, self.transport.abortConnection)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Report the calls without an answer."""
        super().connectionLost(reason)
        self._http1.on_closed(False)
        self._channel.detach(self)
        if self._closing is not None and self._closing.active():
            self._closing.cancel()
        self._report_unanswered()

    def _report_unanswered(self) -> None:
        """Report the calls in flight: each may have been added, but not the last if it was not sent completely."""
        calls = list(self._http1.pending)
        written = len(calls) if self.is_flushed else len(calls) - 1
        for index, call in enumerate(calls):
            result = Result.TIMEOUT if index < written else Result.NO_CONNECTION
            self._channel.driver.engine.handle_counter_result(call, result)


class CounterChannel:
    """The calls that share a connection to the counter; it is made when a call needs it."""

    def __init__(self, driver: CounterDriver) -> None:
        """Start without a connection."""
        self.driver = driver
        self.stream: CounterStream | None = None
        self._is_retired = False  # the counter has moved; no further calls are added
        self._is_dialing = False
        self._queue: deque[CounterCall] = deque()  # while the connection is being made

    def add(self, call: CounterCall) -> None:
        """Send a call, or queue it for the connection that is being made."""
        if self.stream is not None:
            self.stream.call(call)
            return
        if len(self._queue) >= MAX_QUEUED_CALLS:
            self.driver.engine.handle_counter_result(call, Result.NO_CONNECTION)
            return
        self._queue.append(call)
        if not self._is_dialing:
            self._dial()

    def _dial(self) -> None:
        self._is_dialing = True
        COUNTS["counter.dialed"] += 1
        driver = self.driver
        dialed = dial(driver.reactor, driver.address, lambda: CounterStream(self), driver.dial_timeout_s)
        dialed.addBoth(self._on_dialed)

    def _on_dialed(self, result: CounterStream | Failure) -> None:
        self._is_dialing = False
        queue = self._take_queue()
        if self._is_retired:
            if not isinstance(result, Failure):
                result.transport.abortConnection()  # nothing was written on it, and its calls went to the new address
        elif isinstance(result, Failure):
            self._fail(queue)
        else:
            self._send_queued(result, queue)

    def _fail(self, queue: deque[CounterCall]) -> None:
        COUNTS["counter.dial_failed"] += 1
        for call in queue:
            if not call.is_finished:
                self.driver.engine.handle_counter_result(call, Result.NO_CONNECTION)

    def _send_queued(self, stream: CounterStream, queue: deque[CounterCall]) -> None:
        self.stream = stream
        for call in queue:
            if not call.is_finished:  # a call that timed out in the queue was reported as not added
                stream.call(call)

    def _take_queue(self) -> deque[CounterCall]:
        queue = self._queue
        self._queue = deque()
        return queue

    def detach(self, stream: CounterStream) -> None:
        """Stop using a connection."""
        if self.stream is stream:
            self.stream = None

    def retire(self) -> list[CounterCall]:
        """Let the calls in flight finish here; return the queued ones in their order."""
        self._is_retired = True
        stream = self.stream
        self.stream = None
        if stream is not None:
            stream.retire()
        return [call for call in self._take_queue() if not call.is_finished]


class CounterDriver:
    """The engine's client of the counter (`engine.drivers.QuotaCounter`).

    Attributes:
        reactor: the event loop.
        engine: receives the result of each call.
        buffers: where answers are read into.
        dial_timeout_s: seconds that making a connection may take.
        address: of the counter.
        host_line: the Host header line of each request.
        channels: one for each connection.
    """

    def __init__(
        self,
        reactor: EventLoop,
        engine: Engine,
        clock: Callable[[], int],
        buffers: BufferPool,
        address: Address,
        dial_timeout_s: float,
        connections: int = CONNECTIONS,
    ) -> None:
        """Connect with the first calls; `clock` is the engine's, in nanoseconds."""
        self.reactor = reactor
        self.engine = engine
        self.buffers = buffers
        self.dial_timeout_s = dial_timeout_s
        self._clock = clock
        self._connections = connections
        self.channels: list[CounterChannel] = []
        self.move(address)

    def move(self, address: Address) -> None:
        """Send further calls and queued ones to a new address; calls in flight finish on their connections."""
        unwritten = [call for channel in self.channels for call in channel.retire()]
        self.address = address
        self.host_line = b"Host: %b:%d\r\n" % (address[0].encode(), address[1])
        self.channels = [CounterChannel(self) for _ in range(self._connections)]
        for call in unwritten:
            self.add(call)

    def add(self, call: CounterCall) -> None:
        """Make a call."""
        self._channel_of(call).add(call)

    def _channel_of(self, call: CounterCall) -> CounterChannel:
        return self.channels[call.name % self._connections]

    def on_answer(self, call: CounterCall, response: Response) -> bool:
        """Report the result of a call from its answer; return whether the answer can be read."""
        if response.status in NOT_ADDED_STATUSES:
            self.engine.handle_counter_result(call, Result.REJECTED)
            return True
        total = read_total(response)
        if total is None:
            # The amount may have been added, but the total is unknown.  The decision module treats the call as one
            # without an answer, whose amount it must not add again.
            COUNTS["counter.malformed"] += 1
            self.engine.handle_counter_result(call, Result.TIMEOUT)
            return False
        self.engine.handle_counter_result(call, Result.OK, total)
        return True

    def expire(self, call: CounterCall) -> None:
        """Handle a call that timed out; a connection without an answer for `ANSWER_TIMEOUT_S` is replaced."""
        stream = self._channel_of(call).stream
        oldest = stream.oldest_call if stream is not None else None
        if stream is None or oldest is None:
            return
        if self._clock() - oldest.created_ns > ANSWER_TIMEOUT_S * NANOSECONDS_PER_S:
            COUNTS["counter.given_up"] += 1
            stream.abort()
