"""State machine of the server side of a connection: each request gets one response, in order.

| `busy` | `closing` | state                                                                                     |
| ------ | --------- | ----------------------------------------------------------------------------------------- |
| False  | False     | idle, or a request is arriving (`partial`): `next_request` returns it                     |
| True   | False     | a request awaits its response; further input is buffered (RFC 9112, section 9.3.2)        |
| True   | True      | the response will be the last, as the client or the owner closes or the input after the   |
|        |           | request cannot be parsed; only a body that is streamed is still read                      |
| False  | True      | finished: input is ignored, and the owner closes once all output is sent                  |

The owner may set `closing` at any time.
"""

from __future__ import annotations

import enum

from ..telemetry import invariant
from .buffers import BufferPool
from .errors import RemoteProtocolError
from .head_reader import END_OF_HEAD, MAX_HEAD_BYTES
from .message_reader import MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES
from .messages import Request
from .request_reader import RequestReader
from .writer import LAST_CHUNK, write_chunk, write_head, write_response

#: Reading pauses above this; it is the largest message that is not streamed.
MAX_WAITING_BYTES = MAX_HEAD_BYTES + MAX_BUFFERED_BODY_BYTES + len(END_OF_HEAD)


class ResponseFraming(enum.Enum):
    """How a client finds the end of a response's body (RFC 9112, section 6.3)."""

    LENGTH = enum.auto()  #: by its Content-Length
    CHUNKED = enum.auto()  #: by the last chunk
    UNTIL_CLOSE = enum.auto()  #: by the end of the connection, as an HTTP/1.0 client does not know chunks


class ServerConnection:
    """Serves one request at a time; later requests stay buffered until it is answered."""

    __slots__ = ("_framing", "_is_http10", "_reader", "busy", "closing")

    def __init__(
        self,
        pool: BufferPool,
        stream_threshold_bytes: int = 0,
        max_head_bytes: int = MAX_HEAD_BYTES,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        """Create the state of a new connection; `MessageReader` describes the arguments."""
        self._reader = RequestReader(pool, stream_threshold_bytes, max_head_bytes, max_body_bytes)
        self.busy = False  #: whether a request awaits its response
        self.closing = False  #: whether input is ignored and the next response is the last
        self._is_http10 = False  # whether the current request's version is HTTP/1.0
        self._framing = ResponseFraming.LENGTH  # of the response that is being streamed

    def receive(self, data: bytes) -> None:
        """Add received bytes."""
        if not self.closing or self._reader.is_streaming:
            self._reader.feed(data)

    def clear(self) -> None:
        """Stop reading: drop all buffered input and release its buffers."""
        self.closing = True
        self._reader.clear()

    @property
    def partial(self) -> bool:
        """Whether a request has begun to arrive and is incomplete."""
        return not self.busy and self._reader.waiting_bytes > 0

    @property
    def is_streaming(self) -> bool:
        """Whether the streamed body of the current request is still arriving."""
        return self._reader.is_streaming

    @property
    def body_size(self) -> int:
        """Number of bytes received of the body that is arriving."""
        return self._reader.received_body_bytes

    def take_expectation(self) -> bool:
        """Return whether the client waits for a 100 (RFC 9110, section 10.1.1), and reset that state."""
        is_expected = self._reader.expects_continue
        self._reader.expects_continue = False
        return is_expected

    @property
    def full(self) -> bool:
        """What waits will not fit into one message: reading pauses until there is a response."""
        return self._reader.waiting_bytes > MAX_WAITING_BYTES

    def next_request(self) -> Request | None:
        """Return the next request once it has arrived and the previous one is answered, or None before that.

        Raises:
            RemoteProtocolError: if the request is rejected; the response with the error's status is the last one.
        """
        if self.busy or self.closing:
            return None
        self._is_http10 = False  # used if the request cannot be parsed
        try:
            request = self._reader.next_request()
        except RemoteProtocolError:
            self.busy = True
            self.clear()
            raise
        if request is not None:
            self.busy = True
            self._is_http10 = request.minor_version == b"0"
            if not request.keep_alive:
                self._end_after(request)
        return request

    def _end_after(self, request: Request) -> None:
        """Ignore the input after the last request (RFC 9112, section 9.6)."""
        if request.is_streamed:
            self.closing = True
        else:
            self.clear()

    def next_part(self) -> bytes:
        """Return the next part of the current request's streamed body.

        Raises:
            RemoteProtocolError: if the body is malformed; no further input is read then.
        """
        try:
            return self._reader.next_part()
        except RemoteProtocolError:
            self.clear()
            raise

    def answer(self, status: int, body: bytes = b"", lines: bytes = b"") -> bytes:
        """Return the bytes of a complete response to the current request."""
        invariant(self.busy, "answer.without_request")
        self.busy = False
        if self._reader.is_streaming:
            self.clear()  # the rest of the body is not needed, and no later request is read after it
        if self._is_http10 and not self.closing:
            lines += b"Connection: keep-alive\r\n"
        return write_response(status, body, lines, self.closing)

    def begin(self, status: int, lines: bytes, length: int | None) -> bytes:
        """Return the head of a response whose body is streamed.

        Without a `length` the body is sent in chunks, or until the connection's end to an HTTP/1.0 client.
        """
        invariant(self.busy, "answer.without_request")
        if self._reader.is_streaming:
            self.clear()
        self._framing = self._framing_for(length)
        if self._framing is ResponseFraming.UNTIL_CLOSE:
            self.closing = True
        elif self._is_http10 and not self.closing:
            lines += b"Connection: keep-alive\r\n"
        return write_head(status, lines, length, self._framing is ResponseFraming.CHUNKED, self.closing)

    def _framing_for(self, length: int | None) -> ResponseFraming:
        if length is not None:
            return ResponseFraming.LENGTH
        return ResponseFraming.UNTIL_CLOSE if self._is_http10 else ResponseFraming.CHUNKED

    @property
    def ends_by_close(self) -> bool:
        """Whether only an orderly end of the connection marks the end of the current response."""
        return self._framing is ResponseFraming.UNTIL_CLOSE

    def part(self, data: bytes) -> bytes:
        """Return the encoded form of a non-empty part of the response's body."""
        return write_chunk(data) if self._framing is ResponseFraming.CHUNKED else data

    def end(self) -> bytes:
        """End the streamed response and return its last bytes; the next request may follow."""
        self.busy = False
        return LAST_CHUNK if self._framing is ResponseFraming.CHUNKED else b""
