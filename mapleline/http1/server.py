"""The server's side of a connection as a state machine: requests come in, each gets one response.

| `busy` | `closing` | state                                                                                     |
| ------ | --------- | ----------------------------------------------------------------------------------------- |
| False  | False     | idle, or a request is arriving (`partial`): `next_request` gives it                       |
| True   | False     | a request awaits its response; what arrives behind it waits (RFC 9112, section 9.3.2)     |
| True   | True      | the response will be the last: the client or the owner closes, or nothing behind the      |
|        |           | request can be read; only a body that is streamed is still read                           |
| False  | True      | done: nothing is read or given any more, the owner closes once all is sent                |

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

#: Taken in before reading pauses: one message that is not streamed.
MAX_WAITING_BYTES = MAX_HEAD_BYTES + MAX_BUFFERED_BODY_BYTES + len(END_OF_HEAD)


class ResponseFraming(enum.Enum):
    """How the end of a response's body is found (RFC 9112, section 6.3)."""

    LENGTH = enum.auto()  #: by its Content-Length
    CHUNKED = enum.auto()  #: by the last chunk
    UNTIL_CLOSE = enum.auto()  #: by the end of the connection: a client of HTTP/1.0 knows no chunks


class ServerConnection:
    """One request at a time: what arrives behind it waits until it is answered."""

    __slots__ = ("_framing", "_is_http10", "_reader", "busy", "closing")

    def __init__(
        self,
        pool: BufferPool,
        stream_threshold_bytes: int = 0,
        max_head_bytes: int = MAX_HEAD_BYTES,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        """With `stream_threshold_bytes`, larger bodies are streamed: see `MessageReader`."""
        self._reader = RequestReader(pool, stream_threshold_bytes, max_head_bytes, max_body_bytes)
        self.busy = False  #: a request awaits its response
        self.closing = False  #: nothing more is read, and the next response is the last
        self._is_http10 = False  # the request's version
        self._framing = ResponseFraming.LENGTH  # of the response that is being streamed

    def receive(self, data: bytes) -> None:
        """Take in what has arrived."""
        if not self.closing or self._reader.is_streaming:
            self._reader.feed(data)

    def clear(self) -> None:
        """Nothing more will arrive, and nothing that waits is read: its buffers go back."""
        self.closing = True
        self._reader.clear()

    @property
    def partial(self) -> bool:
        """A request has begun to arrive and is not complete."""
        return not self.busy and self._reader.waiting_bytes > 0

    @property
    def is_streaming(self) -> bool:
        """The body of the current request is still arriving."""
        return self._reader.is_streaming

    @property
    def body_size(self) -> int:
        """Bytes so far of a body that is arriving."""
        return self._reader.received_body_bytes

    def take_expectation(self) -> bool:
        """Return whether the client waits for a 100 (RFC 9110, section 10.1.1): True once for each request."""
        is_expected = self._reader.expects_continue
        self._reader.expects_continue = False
        return is_expected

    @property
    def full(self) -> bool:
        """What waits will not fit into one message: reading pauses until there is a response."""
        return self._reader.waiting_bytes > MAX_WAITING_BYTES

    def next_request(self) -> Request | None:
        """Return the next request once it has arrived and the one before it is answered.

        Raises:
            RemoteProtocolError: for a request that is rejected: the next response, with its status, is the last.
        """
        if self.busy or self.closing:
            return None
        self._is_http10 = False  # for the response to a request that cannot be read
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
        """Read nothing behind the last request (RFC 9112, section 9.6)."""
        if request.is_streamed:
            self.closing = True
        else:
            self.clear()

    def next_part(self) -> bytes:
        """Return more of the body of the current request.

        Raises:
            RemoteProtocolError: where it cannot be read to its end; nothing is read after that.
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
            self.clear()  # nobody wants the rest of the body, and the next request could only follow it
        if self._is_http10 and not self.closing:
            lines += b"Connection: keep-alive\r\n"
        return write_response(status, body, lines, self.closing)

    def begin(self, status: int, lines: bytes, length: int | None) -> bytes:
        """Return the head of a response whose body is streamed; without a `length` it goes in chunks."""
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
        """Only an orderly end of the connection says that the current response is complete."""
        return self._framing is ResponseFraming.UNTIL_CLOSE

    def part(self, data: bytes) -> bytes:
        """Return the bytes of a part, which is not empty, of the response's body."""
        return write_chunk(data) if self._framing is ResponseFraming.CHUNKED else data

    def end(self) -> bytes:
        """Return what ends the streamed response; the connection is free for the next request."""
        self.busy = False
        return LAST_CHUNK if self._framing is ResponseFraming.CHUNKED else b""
