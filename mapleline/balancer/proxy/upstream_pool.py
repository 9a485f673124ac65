"""The connections to servers; idle ones are kept in their target and reused."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from ...net.dial import dial
from .outcome import EndReason
from .upstream_connection import UpstreamConnection

if TYPE_CHECKING:
    from twisted.python.failure import Failure

    from ...http1 import BufferPool
    from ...policy.placing import Target
    from ..clock import Reactor
    from .upstream_attempt import Attempt

CONNECT_TIMEOUT_S = 0.35
"""Timeout for establishing a connection.

A lost SYN is retransmitted after 1 s (RFC 6298), and waiting for that would take too long.
"""

MAX_IDLE_NON_IDEMPOTENT_S = 2.0
"""A connection that was idle for longer is not used for a request that may be executed only once."""


class UpstreamPool:
    """Sends attempts over idle connections or new ones."""

    def __init__(self, reactor: Reactor, buffer_pool: BufferPool) -> None:
        """`buffer_pool` provides the buffers for responses."""
        self._reactor = reactor
        self._buffer_pool = buffer_pool

    def send(self, attempt: Attempt, address: tuple[str, int]) -> None:
        """Send an attempt over an idle connection to its target, or over a new one to `address`."""
        attempt.target.in_flight += 1
        connection = self._take_idle_connection(attempt)
        if connection is not None:
            connection.start(attempt)
            return
        make_connection = partial(UpstreamConnection, self._reactor, self._buffer_pool, attempt.target)
        connecting = dial(self._reactor, address, make_connection, CONNECT_TIMEOUT_S)
        connecting.addCallbacks(partial(_on_connected, attempt), partial(_on_connect_failed, attempt))

    def _take_idle_connection(self, attempt: Attempt) -> UpstreamConnection | None:
        """Return an idle connection that is suitable for the attempt; unusable connections are aborted."""
        target = attempt.target
        now = self._reactor.seconds()
        while target.idle_connections:
            connection: UpstreamConnection = target.idle_connections[-1]
            if not _may_carry(connection, attempt, now):
                return None
            target.idle_connections.pop()
            if connection.is_reusable and now < connection.keep_until and not connection.has_unread:
                return connection
            connection.abort()
        return None

    def close_idle_connections(self, targets: list[Target], now: float, max_idle: int) -> None:
        """Close connections that were idle for too long, and the oldest of each server beyond `max_idle`."""
        for target in targets:
            for connection in list(target.idle_connections):
                if now >= connection.keep_until or not connection.connected:
                    target.idle_connections.remove(connection)
                    connection.abort()
            while len(target.idle_connections) > max_idle:
                target.idle_connections.pop(0).abort()

    def close_connections(self, target: Target) -> None:
        """Close the idle connections to a server that has been removed."""
        while target.idle_connections:
            target.idle_connections.pop().abort()


def _may_carry(connection: UpstreamConnection, attempt: Attempt, now: float) -> bool:
    """Return whether the attempt's outcome would be known reliably if it used this idle connection."""
    if connection.recent_ids[-1:] == [attempt.request_id]:
        return False  # a duplicate of the response to the first attempt would be taken for the response to this one
    # the server may have dropped an idle connection silently; a reset doesn't tell whether the request was executed
    return attempt.is_idempotent or now - connection.idle_since <= MAX_IDLE_NON_IDEMPOTENT_S


def _on_connected(attempt: Attempt, connection: UpstreamConnection) -> None:
    if attempt.end_reason is not None:
        connection.abort()
    else:
        connection.start(attempt)


def _on_connect_failed(attempt: Attempt, _: Failure) -> None:
    attempt.end(EndReason.UNREACHABLE)
