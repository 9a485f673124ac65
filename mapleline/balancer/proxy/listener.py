"""A listener for clients or operators: its limits and its open connections."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from twisted.internet.protocol import ServerFactory

from .client_connection import ClientConnection, RequestInFlight

if TYPE_CHECKING:
    from twisted.internet.interfaces import IAddress

    from ...http1 import BufferPool, Request
    from ..clock import Clock

NEVER_STREAM = 1 << 30
"""A stream threshold in bytes, 1 GiB, for handlers that need every body whole."""

DEFAULT_HEADER_TIMEOUT_S = 10.0
DEFAULT_MAX_HEADER_BYTES = 16 * 1024
DEFAULT_MAX_BODY_BYTES = 64 << 20

RequestHandler = Callable[[ClientConnection, "Request"], RequestInFlight | None]
"""Handles a request; returns it if it was not answered at once and must be informed of the connection's end."""


class Listener(ServerFactory):
    """The connections at one address.  A change of the size limits applies to later connections only."""

    noisy = False  # Twisted logs nothing for this factory

    def __init__(
        self,
        clock: Clock,
        buffer_pool: BufferPool,
        handle_request: RequestHandler,
        stream_threshold_bytes: int = NEVER_STREAM,
    ) -> None:
        """Start with no connections.

        Args:
            clock: time and timers.
            buffer_pool: provides the buffers for requests, and limits the memory for bodies.
            handle_request: called with the connection and the request, for each request.
            stream_threshold_bytes: longer bodies are streamed.
        """
        self.clock = clock
        self.buffer_pool = buffer_pool
        self.handle_request = handle_request
        self.stream_threshold_bytes = stream_threshold_bytes
        self.connections: set[ClientConnection] = set()
        self.is_draining = False  #: while draining, each connection is closed after its next response
        self.idle_timeout_s = 0.0  #: announced to clients in `Keep-Alive` if not 0
        self.header_timeout_s = DEFAULT_HEADER_TIMEOUT_S
        self.max_header_bytes = DEFAULT_MAX_HEADER_BYTES
        self.max_body_bytes = DEFAULT_MAX_BODY_BYTES

    def buildProtocol(self, addr: IAddress | None) -> ClientConnection:
        """Return the protocol of a new connection."""
        return ClientConnection(self)

    def close_idle_connections(self, now: float) -> None:
        """Close connections that were idle for too long."""
        for client_conn in list(self.connections):
            client_conn.close_if_idle(now)
