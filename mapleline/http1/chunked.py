"""Incremental decoder of the chunked transfer coding (RFC 9112, section 7.1)."""

from __future__ import annotations

import re

from .bodies import BufferedBody
from .buffers import BufferPool
from .errors import RemoteProtocolError
from .headers import TOKEN

MAX_SIZE_LINE_BYTES = 256  #: of a size line with its extensions, which are ignored (RFC 9112, section 7.1.1)
#: The size lines of a body may have this many bytes, and FRAMING_BYTES_PER_BODY_BYTE more for each body byte.  This
#: allows chunks of one byte and bounds the framing that a peer can send without any body.
MAX_FRAMING_BYTES = 64 * 1024
FRAMING_BYTES_PER_BODY_BYTE = 8
MAX_TRAILER_BYTES = 8 * 1024  #: of the whole trailer section (RFC 9112, section 7.1.2)

SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;[^\x00\r\n]*)?")
TRAILER_LINE = re.compile(rb"(" + TOKEN + rb"):[^\x00\r\n]*")
#: Fields for framing, routing, authentication and request identity.  As trailers they could only contradict the head
#: (RFC 9110, section 6.5.1).
FORBIDDEN_TRAILERS = frozenset(
    {
        b"content-length",
        b"transfer-encoding",
        b"host",
        b"trailer",
        b"connection",
        b"content-encoding",
        b"content-type",
        b"content-range",
        b"authorization",
        b"cookie",
        b"expect",
        b"te",
        b"upgrade",
        b"idempotency-key",
        b"x-request-id",
        b"x-tariff",
        b"x-timeout-ms",
        b"x-weight",
        b"x-retried",
    }
)


class ChunkedBody(BufferedBody):
    """Decodes a chunked body; each byte is parsed once, however the input is split.

    `max_bytes` bounds the decoded body, and the constants above bound framing and trailers.  Trailers are
    checked and dropped.

    The decoder has five states; the method of the current state reads the next bytes:

    | state            | reads                              | then                                            |
    | ---------------- | ---------------------------------- | ----------------------------------------------- |
    | `_read_size`     | the line with the size of a chunk  | `_read_data`, or `_read_trailer` after a size 0 |
    | `_read_data`     | the bytes of a chunk               | `_read_data_end` after the last                 |
    | `_read_data_end` | the empty line after the chunk     | `_read_size`                                    |
    | `_read_trailer`  | a line of the trailer section      | complete after an empty one                     |
    | complete         | nothing: the next message follows  |                                                 |
    """

    __slots__ = (
        "_chunk_left_bytes",
        "_framing_bytes",
        "_is_strict",
        "_max_bytes",
        "_partial_line",
        "_read",
        "_trailer_bytes",
        "is_complete",
    )
    length = None  #: not known in advance

    def __init__(self, pool: BufferPool, max_bytes: int, is_strict: bool) -> None:
        """Expect the first size line; with `is_strict`, reject `FORBIDDEN_TRAILERS`."""
        super().__init__(pool)
        self._max_bytes = max_bytes
        self._is_strict = is_strict
        self._partial_line = b""  # the beginning of a line whose end has not arrived
        self._chunk_left_bytes = 0  # bytes of the current chunk that have not arrived
        self._framing_bytes = 0
        self._trailer_bytes = 0
        self._read = self._read_size
        self.is_complete = False

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes in the buffers and in an incomplete line."""
        return self._queue.size + len(self._partial_line)

    def feed(self, data: bytes) -> int:
        """Decode `data`; return the offset of the body's end in it, or its length if the body goes on.

        Raises:
            RemoteProtocolError: 400 for malformed framing, 413 if framing or body exceed their limit, 431 if
                the trailers do.
        """
        offset = 0
        while offset < len(data) and not self.is_complete:
            offset = self._read(data, offset)
        return offset

    def _next_line(self, data: bytes, offset: int, max_bytes: int) -> tuple[bytes | None, int]:
        """Return the line that ends in `data`, without its CRLF, and the offset of the next line.

        The line is None, and its beginning is kept, while its end has not arrived.
        """
        end = data.find(b"\n", offset, offset + max_bytes + 2)
        if end < 0:
            self._partial_line += data[offset : offset + max_bytes + 2]
            if len(self._partial_line) > max_bytes + 1:
                raise RemoteProtocolError(431 if max_bytes == MAX_TRAILER_BYTES else 400, "chunk line too long")
            return None, len(data)
        line = self._partial_line + data[offset:end]
        self._partial_line = b""
        if len(line) > max_bytes + 1 or not line.endswith(b"\r"):
            raise RemoteProtocolError(400, "malformed chunk")
        return line[:-1], end + 1

    def _read_size(self, data: bytes, offset: int) -> int:
        line, end = self._next_line(data, offset, MAX_SIZE_LINE_BYTES)
        self._framing_bytes += end - offset
        if self._framing_bytes > MAX_FRAMING_BYTES + FRAMING_BYTES_PER_BODY_BYTE * self.received_bytes:
            raise RemoteProtocolError(413, "too many chunks")
        if line is None:
            return end
        match = SIZE_LINE.fullmatch(line)
        if not match:
            raise RemoteProtocolError(400, "malformed chunk")
        self._chunk_left_bytes = int(match[1], 16)
        if self.received_bytes + self._chunk_left_bytes > self._max_bytes:
            raise RemoteProtocolError(413, "body too large")
        self._read = self._read_data if self._chunk_left_bytes else self._read_trailer
        return end

    def _read_data(self, data: bytes, offset: int) -> int:
        part = data[offset : offset + self._chunk_left_bytes]
        self._queue.put(part)
        self._chunk_left_bytes -= len(part)
        if not self._chunk_left_bytes:
            self._read = self._read_data_end
        return offset + len(part)

    def _read_data_end(self, data: bytes, offset: int) -> int:
        line, end = self._next_line(data, offset, 0)
        if line is not None:
            self._read = self._read_size
        return end

    def _read_trailer(self, data: bytes, offset: int) -> int:
        line, end = self._next_line(data, offset, MAX_TRAILER_BYTES)
        self._trailer_bytes += end - offset
        if self._trailer_bytes > MAX_TRAILER_BYTES:
            raise RemoteProtocolError(431, "trailers too large")
        if line is None:
            return end
        if not line:
            self.is_complete = True
            return end
        match = TRAILER_LINE.fullmatch(line)
        if not match:
            raise RemoteProtocolError(400, "malformed trailer")
        if self._is_strict and match[1].lower() in FORBIDDEN_TRAILERS:
            raise RemoteProtocolError(400, "a trailer that belongs into the head")
        return end
