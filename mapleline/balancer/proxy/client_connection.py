"""A connection of a client; its requests are handled one at a time."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Any, Protocol

from twisted.internet.protocol import connectionDone

from ...http1 import RemoteProtocolError, Request, Upload
from ...http1 import ServerConnection as Http1Server
from ...net.streams import Stream

if TYPE_CHECKING:
    from twisted.python.failure import Failure

    from .listener import Listener

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

BODY_COPIES = 2
"""Copies of a buffered body that are counted in memory: one for retries, and one that is being sent."""

MIN_KEEP_ALIVE_S = 1
"""The smallest timeout that is announced in `Keep-Alive`, which has whole seconds."""

LINGER_S = 6.0
"""How long the connection stays open for a client that is still sending a rejected body, so that it can read the
response.
"""

MAX_DRAINING_IDLE_S = 1.0
"""Idle timeout while the node is draining."""

IDLE_GRACE_S = 2.0
"""Time added to the idle timeout that was announced to the client, for a request that is in transit."""

DEFAULT_IDLE_TIMEOUT_S = 15.0

HEADER_TIMEOUT_FACTOR = 3
"""A request must be complete within this many header timeouts."""


class RequestInFlight(Protocol):
    """A request that its handler has not answered yet."""

    def on_client_disconnected(self) -> None:
        """Abort the request: its response is no longer needed."""

    def on_body_discarded(self) -> None:
        """Record that a part of the body was sent and is no longer buffered."""


class ResponseSource(Protocol):
    """The connection that a streamed response is read from."""

    def pause(self) -> None:
        """Stop sending parts."""

    def resume(self) -> None:
        """Resume sending parts."""


class ClientConnection(Stream):
    """A connection whose requests are passed to the listener's handler.

    A body longer than the listener's `stream_threshold_bytes` is streamed, and so is one longer than
    `MAX_BUFFERED_BODY_BYTES` while the buffer pool is short.  A streamed body has an `upload`, and is read no faster
    than a server accepts it.
    """

    transport: Any  # Twisted's TCP transport, beyond what ITransport has

    def __init__(self, listener: Listener) -> None:
        """`listener` provides the limits and the handler."""
        self.upload: Upload | None = None  #: forwards the rest of the body of the request in flight
        self._listener = listener
        self._http1 = Http1Server(
            listener.buffer_pool,
            listener.stream_threshold_bytes,
            listener.max_header_bytes,
            listener.max_body_bytes,
        )
        self._active_at = listener.clock.seconds()  # time of the last response, or of the first byte of a request
        self._request_in_flight: RequestInFlight | None = None
        self._source: ResponseSource | None = None  # source of the response that is being streamed
        self._has_unread_body = False  # the streamed response began before the request's body was received
        self._reserved_bytes = 0  # counted in the buffer pool for the request in flight

    # -- requests ------------------------------------------------------------------------------------------

    def connectionMade(self) -> None:
        """Register the connection with the listener."""
        super().connectionMade()
        self._listener.connections.add(self)

    def dataReceived(self, data: bytes) -> None:
        """Read requests, or the next part of a body."""
        if not self._http1.busy and not self._http1.partial:
            self._active_at = self._listener.clock.seconds()
        self._http1.receive(data)
        if self.upload is not None:
            self._receive_body_part(self.upload)
        else:
            self._handle_next_requests()

    def _receive_body_part(self, upload: Upload) -> None:
        try:
            part = self._http1.next_part()
        except RemoteProtocolError as error:
            request_in_flight = self._request_in_flight
            self.reply(error.status, error.reason.encode())
            if request_in_flight is not None:
                request_in_flight.on_client_disconnected()
            return
        if not self._http1.is_streaming:
            self.upload = None
        upload.put(part, self.upload is None)
        if self.upload is not None and not upload.has_room:
            self.pause_reading()

    def _handle_next_requests(self) -> None:
        """Handle the received requests, until one is not answered at once."""
        while not self._http1.busy and self.connected:
            try:
                request = self._http1.next_request()
            except RemoteProtocolError as error:
                self.reply(error.status, error.reason.encode())
                return
            if request is None:
                if self._http1.take_expectation():
                    self.send(CONTINUE)
                return
            self._handle_request(request)

    def _handle_request(self, request: Request) -> None:
        if request.is_streamed:
            self.upload = Upload(request.length, self.resume_reading, partial(self._on_body_discarded, request))
            self.pause_reading()  # until a server has received the buffered part
        self._reserve_memory(BODY_COPIES * len(request.body))
        self._request_in_flight = self._listener.handle_request(self, request)

    def _reserve_memory(self, size_bytes: int) -> None:
        """Count `size_bytes` for the request in flight against the limit of the buffer pool."""
        self._listener.buffer_pool.reserved_bytes += size_bytes - self._reserved_bytes
        self._reserved_bytes = size_bytes

    def _on_body_discarded(self, request: Request) -> None:
        """Release the buffered part of a streamed body: a later part was sent unbuffered, so no retry can use it."""
        request.body = b""
        self._reserve_memory(0)
        if self._request_in_flight is not None:
            self._request_in_flight.on_body_discarded()

    # -- responses -----------------------------------------------------------------------------------------

    def reply(self, status: int, body: bytes = b"", header_lines: bytes = b"") -> None:
        """Send the response to the request in flight; without one, nothing is sent."""
        if not self.connected or not self._http1.busy:
            return
        has_unread_body = self._http1.is_streaming
        if has_unread_body:
            self._http1.closing = True
        header_lines += self._connection_header_lines()
        self.send(self._http1.answer(status, body, header_lines))
        self._finish_request(has_unread_body)

    def begin_reply(self, status: int, header_lines: bytes, length: int | None, source: ResponseSource) -> None:
        """Send the head of a streamed response; calls of `send_part` and `end_reply` follow.

        Args:
            status: the status code.
            header_lines: complete header lines, without those for connection and framing.
            length: the length of the body in bytes; None if it is unknown.
            source: paused while the client does not read the response.
        """
        self._source = source
        self._has_unread_body = self._http1.is_streaming
        if self.connected:
            header_lines += self._connection_header_lines()
            self.send(self._http1.begin(status, header_lines, length))

    def send_part(self, data: bytes) -> None:
        """Send the next part of a streamed response."""
        if data:
            self.send(self._http1.part(data))
        if not self.is_flushed and self._source is not None:
            self._source.pause()

    def end_reply(self, is_complete: bool) -> None:
        """End a streamed response; if it is incomplete, close the connection so that the client can tell."""
        if not self.connected or not self._http1.busy:
            return
        end = self._http1.end()
        if is_complete:
            self.send(end)
            self._finish_request(self._has_unread_body)
            return
        self._http1.closing = True
        self._reserve_memory(0)
        if self._http1.ends_by_close:
            self.transport.abortConnection()  # an orderly close would mark the response as complete
        else:
            self.transport.loseConnection()

    def _connection_header_lines(self) -> bytes:
        listener = self._listener
        if listener.is_draining:
            self._http1.closing = True
        elif not self._http1.closing and listener.idle_timeout_s:
            return b"Keep-Alive: timeout=%d\r\n" % max(MIN_KEEP_ALIVE_S, int(listener.idle_timeout_s))
        return b""

    def on_flushed(self) -> None:
        """Resume the streamed response."""
        if self._source is not None:
            self._source.resume()

    def _finish_request(self, has_unread_body: bool) -> None:
        """Prepare for the next request, or close the connection."""
        self._forget_request()
        self._active_at = self._listener.clock.seconds()
        if self._http1.closing:
            self._close(has_unread_body)
        else:
            self._listener.clock.callLater(0, self._handle_next_requests)

    def _forget_request(self) -> None:
        self._request_in_flight = None
        self.upload = None
        self._source = None
        self._reserve_memory(0)

    # -- the end -------------------------------------------------------------------------------------------

    def _close(self, has_unread_body: bool) -> None:
        if has_unread_body:  # closing with unread bytes sends a reset, which may discard the response at the client
            self.transport.loseWriteConnection()
            self.resume_reading()
        else:
            self.transport.loseConnection()

    def close_if_idle(self, now: float) -> None:
        """Close the connection if it was idle, or its request was incomplete, for too long."""
        if self._http1.busy:
            return
        idle_s = now - self._active_at
        if self._http1.closing:
            if idle_s > LINGER_S:
                self.transport.abortConnection()
        elif self._http1.partial:
            if idle_s > HEADER_TIMEOUT_FACTOR * self._listener.header_timeout_s:
                self.transport.abortConnection()
        elif self._is_idle_for_too_long(idle_s):
            self.transport.loseConnection()

    def _is_idle_for_too_long(self, idle_s: float) -> bool:
        if self._listener.is_draining and idle_s > MAX_DRAINING_IDLE_S:
            return True
        return idle_s > (self._listener.idle_timeout_s or DEFAULT_IDLE_TIMEOUT_S) + IDLE_GRACE_S

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Abort the request in flight."""
        super().connectionLost(reason)
        self._listener.connections.discard(self)
        self._http1.clear()
        request_in_flight = self._request_in_flight
        self._forget_request()
        if request_in_flight is not None:
            request_in_flight.on_client_disconnected()
