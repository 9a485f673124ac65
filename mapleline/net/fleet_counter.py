"""The calls of one fleet member to the shared counter: heartbeats, demands, claims and reports (a Twisted driver).

All calls are pipelined on one connection of their own, so that answers arrive in the order of the calls.  A call that
has no answer within the time limit fails.  Its amount may have been added all the same: callers treat that amount as
lost and never add it again (docs/design/fleet.md).
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from ..telemetry import COUNTS
from .counter import read_total
from .dial import dial
from .discovery import AgentStream

if TYPE_CHECKING:
    from ..http1 import BufferPool, Response
    from ..settings.platform import Address
    from .event_loop import DelayedCall, EventLoop

CONNECT_SHARE = 0.5  #: the share of a call's time limit that connecting may take
MIN_CONNECT_S = 0.1  #: the least time for connecting, however short the call's time limit is


class CounterAnswerError(ValueError):
    """An answer that contains no total."""


def count_lost_call(failure: Failure) -> None:
    """Count a call without an answer; it needs no retry, since the next call of its kind replaces it."""
    COUNTS["budget.beat_lost"] += 1


def _total_of(response: Response) -> float:
    """Return the total in an answer.

    Raises:
        CounterAnswerError: The answer contains no total.
    """
    total = read_total(response)
    if total is None:
        raise CounterAnswerError(f"counter answered {response.status}")
    return total


@dataclass(slots=True, eq=False)
class _PendingCall:
    """A call whose result is awaited.

    Attributes:
        target: The target of the HTTP request.
        host_line: The Host header line of the HTTP request.
        result: Fires with the total, or with the reason why there is none.
        timer: Fails the call at its time limit.
    """

    target: bytes
    host_line: bytes
    result: Deferred[float]
    timer: DelayedCall

    def send(self, connection: AgentStream) -> None:
        """Send the call, unless it has timed out."""
        if self.result.called:
            return
        answer = connection.call(self.target, self.host_line, b"POST").addCallback(_total_of)
        answer.addCallbacks(self.succeed, self.fail)

    def succeed(self, total: float) -> None:
        """Fire the result with the total."""
        self._stop_timer()
        if not self.result.called:
            self.result.callback(total)

    def fail(self, reason: Failure) -> None:
        """Fire the result with the reason why there is no total."""
        self._stop_timer()
        if not self.result.called:
            self.result.errback(reason)

    def _stop_timer(self) -> None:
        if self.timer.active():
            self.timer.cancel()


class FleetCounter:
    """The client of the shared counter.

    Attributes:
        address: The counter's host and port; a change applies to later calls.
    """

    def __init__(
        self, reactor: EventLoop, buffers: BufferPool, address: Address, timeout_s: float, key_lifetime_ms: int
    ) -> None:
        """Make no connection yet; the first call connects.

        Args:
            reactor: The event loop.
            buffers: The buffers that answers are read into.
            address: The counter's host and port.
            timeout_s: The time limit of a call, in seconds.
            key_lifetime_ms: How long the counter keeps a number after the last call for it, in milliseconds.
        """
        self.address = address
        self._reactor = reactor
        self._buffers = buffers
        self._timeout_s = timeout_s
        self._key_lifetime_ms = key_lifetime_ms
        self._connection: AgentStream | None = None
        self._waiting: list[_PendingCall] = []

    def add(self, key: str, amount: float) -> Deferred[float]:
        """Add an amount to a number; return its new total, as a Deferred that fails at the time limit at the latest."""
        result: Deferred[float] = Deferred()
        timer = self._reactor.callLater(self._timeout_s, self._on_timeout, result)
        host, port = self.address
        target = f"/v2/numbers/{key}?delta={amount:.7g}&life_ms={self._key_lifetime_ms}".encode()
        host_line = b"Host: %b:%d\r\n" % (host.encode(), port)
        self._send(_PendingCall(target, host_line, result, timer))
        return result

    def _on_timeout(self, result: Deferred[float]) -> None:
        if result.called:
            return
        COUNTS["budget.call_late"] += 1
        result.errback(TimeoutError("no answer in a heartbeat period"))
        if self._connection is not None and self._connection.transport is not None:
            self._connection.transport.abortConnection()  # answers to the calls behind it are not read
        self._connection = None

    def _send(self, call: _PendingCall) -> None:
        """Send a call on the open connection, or connect first; calls made meanwhile wait for the connection."""
        connection = self._connection
        if connection is not None and connection.connected and connection.http1.reusable:
            call.send(connection)
            return
        self._waiting.append(call)
        if len(self._waiting) == 1:
            self._connect()

    def _connect(self) -> None:
        timeout_s = max(MIN_CONNECT_S, self._timeout_s * CONNECT_SHARE)
        connecting = dial(self._reactor, self.address, lambda: AgentStream(self._buffers), timeout_s)
        connecting.addCallbacks(self._on_connected, self._on_connect_failed)

    def _on_connected(self, connection: AgentStream) -> None:
        self._connection = connection
        for call in self._take_waiting():
            call.send(connection)

    def _on_connect_failed(self, reason: Failure) -> None:
        for call in self._take_waiting():
            call.fail(reason)

    def _take_waiting(self) -> list[_PendingCall]:
        waiting = self._waiting
        self._waiting = []
        return waiting
