"""A connection to a server; it carries one request at a time."""

from __future__ import annotations

import socket
from functools import partial
from typing import TYPE_CHECKING, Any

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import connectionDone

from ...http1 import BUFFER_SIZE, BufferPool
from ...http1 import ClientConnection as Http1Client
from ...net.streams import Stream
from .outcome import EndReason

if TYPE_CHECKING:
    from twisted.python.failure import Failure

    from ...http1 import Response
    from ...policy.placing import Target
    from ..clock import Clock
    from .upstream_attempt import Attempt, ResponseSink

MAX_IDLE_S = 8.0
"""The longest time for which an idle connection is kept, also if the server sends no `Keep-Alive` timeout."""

KEEP_ALIVE_SHARE = 0.75
"""Share of the server's `Keep-Alive` timeout after which an idle connection is no longer used.

The rest keeps a request from arriving just after the server has closed the connection.
"""

USER_TIMEOUT_MS = 4000
"""The connection is lost if sent bytes stay unacknowledged for this long (RFC 5482)."""

STREAM_THRESHOLD_BYTES = 1 << 20
"""A body up to this length is buffered, so that a request can be retried; a longer one is streamed."""

STREAM_READ_BYTES = 64 * 1024
"""Size of one read of a response that is streamed."""


class UpstreamConnection(Stream):
    """A connection to a server, reused for further requests while the server keeps it open."""

    transport: Any  # Twisted's TCP transport, beyond what ITransport has

    def __init__(self, clock: Clock, buffer_pool: BufferPool, target: Target) -> None:
        """`target` is the server; its `idle_connections` hold the connection between requests."""
        self.attempt: Attempt | None = None
        self.idle_since = 0.0
        self.keep_until = 0.0
        self.recent_ids: list[bytes] = []  #: ids of the last two requests sent over the connection, the newest last
        self._clock = clock
        self._target = target
        self._http1 = Http1Client(buffer_pool, STREAM_THRESHOLD_BYTES, is_response_to)
        self._sink: ResponseSink | None = None  # receives the response that is being streamed
        self._streamed_response: Response | None = None  # the head of that response

    @property
    def is_reused(self) -> bool:
        """Whether an earlier request was sent over the connection: a response may belong to that one."""
        return len(self.recent_ids) > 1

    @property
    def is_reusable(self) -> bool:
        """Whether a further request may be sent over the connection."""
        return bool(self.connected) and self._http1.reusable

    def abort(self) -> None:
        """Reset the connection."""
        self.transport.abortConnection()

    def abandon(self) -> None:
        """Reset the connection of an attempt that has ended already."""
        self.attempt = None
        self._sink = None
        self.abort()

    # -- the request ---------------------------------------------------------------------------------------

    def connectionMade(self) -> None:
        """Set the timeout of unacknowledged bytes."""
        handle = self.transport.getHandle()
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        super().connectionMade()

    def start(self, attempt: Attempt) -> None:
        """Send the attempt's request."""
        self.attempt = attempt
        attempt.connection = self
        self.recent_ids = [*self.recent_ids[-1:], attempt.request_id]
        attempt.is_written = True  # set before sending: a send that fails may have written a part
        attempt.sent_at = self._clock.seconds()
        self._http1.add_request(attempt)
        self.send(attempt.data)
        if attempt.upload is not None:
            attempt.upload.attach(self, partial(self._on_uploaded, attempt))

    def _on_uploaded(self, attempt: Attempt) -> None:
        """Measure the latency from now: the server begins to execute the request once it has the last byte."""
        attempt.sent_at = self._clock.seconds()

    def on_flushed(self) -> None:
        """Resume a streamed request body."""
        if self.attempt is not None and self.attempt.upload is not None:
            self.attempt.upload.flushed()

    # -- the response --------------------------------------------------------------------------------------

    def dataReceived(self, data: bytes) -> None:
        """Read a response, or forward the next part of a streamed one."""
        if self._sink is not None:
            self._stream_part(self._sink, data)
            return
        responses = self._http1.receive(data)
        attempt = self.attempt
        if responses and attempt is not None:
            response = responses[0][1]
            if not (response.is_streamed and self._start_streaming(attempt, response)):
                self._finish(attempt, response, EndReason.RESPONSE)
        elif not self._http1.reusable:
            self._end_after_protocol_error()

    def _end_after_protocol_error(self) -> None:
        attempt = self.attempt
        self.attempt = None
        self._remove_from_idle()  # now: `connectionLost` is called in a later turn of the reactor
        self.abort()
        if attempt is not None:
            attempt.end(EndReason.PROTOCOL_ERROR)

    def _finish(self, attempt: Attempt, response: Response | None, reason: EndReason) -> None:
        self.attempt = None
        if response is not None and reason is EndReason.RESPONSE and self._can_be_kept(attempt):
            self._keep(response)
        else:
            self.abort()
        attempt.end(reason, response)

    def _can_be_kept(self, attempt: Attempt) -> bool:
        """Return whether the connection can be reused: request and response are complete, with no bytes after them."""
        if not self._http1.reusable or self._http1.is_streaming or not self.is_flushed:
            return False
        return attempt.upload is None or attempt.upload.is_complete

    def _keep(self, response: Response) -> None:
        """Keep the connection for `KEEP_ALIVE_SHARE` of the server's `Keep-Alive` timeout, at most `MAX_IDLE_S`."""
        header = response.headers.get(b"keep-alive", b"")
        _, _, timeout = header.partition(b"timeout=")
        timeout = timeout.partition(b",")[0].strip()
        keep_alive_s = float(timeout) if timeout.isdigit() else MAX_IDLE_S / KEEP_ALIVE_SHARE
        self.idle_since = self._clock.seconds()
        self.keep_until = self.idle_since + min(MAX_IDLE_S, keep_alive_s * KEEP_ALIVE_SHARE)
        self._target.idle_connections.append(self)

    # -- streaming -----------------------------------------------------------------------------------------

    def _start_streaming(self, attempt: Attempt, response: Response) -> bool:
        """Start to stream a response; return False if it is not to be streamed."""
        sink = attempt.on_response_start(attempt, response, self)
        self._sink = sink
        if sink is None:
            return False
        self._streamed_response = response
        self.transport.bufferSize = STREAM_READ_BYTES
        sink.send_part(response.body)
        return True

    def _stream_part(self, sink: ResponseSink, data: bytes) -> None:
        part = self._http1.receive_part(data)
        if part:
            sink.send_part(part)
        if self._http1.is_streaming or self._sink is None:
            return  # the response is not complete, or the client has disconnected meanwhile
        self._finish_streaming(EndReason.PROTOCOL_ERROR if self._http1.is_truncated else EndReason.RESPONSE)

    def _finish_streaming(self, reason: EndReason) -> None:
        self._sink = None
        self.transport.bufferSize = BUFFER_SIZE
        if self.attempt is not None:
            self._finish(self.attempt, self._streamed_response, reason)

    def pause(self) -> None:
        """Stop reading: the receiver of the streamed response is full."""
        self.pause_reading()

    def resume(self) -> None:
        """Resume reading."""
        self.resume_reading()

    # -- the end -------------------------------------------------------------------------------------------

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """End the attempt that is in flight on the connection."""
        super().connectionLost(reason)
        self._remove_from_idle()
        is_closed_in_order = isinstance(reason.value, ConnectionDone)
        if self._sink is not None:
            is_complete = self._http1.on_closed_while_streaming(is_closed_in_order)
            self._finish_streaming(EndReason.RESPONSE if is_complete else EndReason.CONNECTION_LOST)
            return
        attempt = self.attempt
        self.attempt = None
        if attempt is not None:
            attempt.end(EndReason.CONNECTION_CLOSED if is_closed_in_order else EndReason.CONNECTION_LOST)

    def _remove_from_idle(self) -> None:
        if self in self._target.idle_connections:
            self._target.idle_connections.remove(self)


def is_response_to(attempt: Attempt, response: Response) -> bool:
    """Return whether a response belongs to the attempt, and not to an earlier request.

    The header `Request-Id` decides.  A response without it, but with `Not-Executed`, says that some request was not
    executed.  For a request that may be executed only once, it is accepted only if no other request was sent over the
    connection, as it may otherwise belong to that one.
    """
    request_id = response.headers.get(b"request-id")
    if request_id is None and b"not-executed" in response.headers:
        return attempt.is_idempotent or (attempt.connection is not None and not attempt.connection.is_reused)
    return request_id == attempt.request_id
