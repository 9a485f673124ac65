"""A body in chunks (RFC 9112, section 7.1), decoded as it comes."""

from __future__ import annotations

import re

from .buffers import BufferPool, Inbox

MOST_LINE = 256  # bytes of one size line: nobody needs longer extensions, and none is read
MOST_FRAMING = 64 * 1024  # bytes of size lines, and FRAMING_EACH more for each byte of body: chunks of one
FRAMING_EACH = 8  # byte each are allowed, empty work is not
MOST_TRAILERS = 8 * 1024
SIZE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;[^\x00\r\n]*)?")
TRAILER = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[^\x00\r\n]*")
#: Fields that frame, route, or say who asks: behind a body they could only contradict the head
#: (RFC 9110, section 6.5.1).
NEVER_TRAILERS = frozenset(
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


class BadChunk(Exception):
    """Framing that is turned down; `status` says why (400, 413 or 431)."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status, self.why = status, why


class ChunkedBody:
    """Takes the bytes behind a head; each is looked at once, however they are split.

    What has been decoded waits in pooled buffers and is bounded by `most`; framing and trailers are bounded
    by the constants above.  Trailers are checked and dropped; `strict` refuses those that belong into a head.
    """

    length = None  #: not known beforehand

    __slots__ = ("_framing", "_inbox", "_left", "_line", "_most", "_step", "_strict", "_taken", "_trailers", "whole")

    def __init__(self, pool: BufferPool, most: int, strict: bool) -> None:
        self._inbox = Inbox(pool)
        self._most = most  # bytes of body
        self._strict = strict
        self._line = b""  # the part of a line that has come
        self._left = 0  # bytes of the chunk in hand that have not come
        self._framing = self._trailers = 0
        self._taken = 0  # bytes of body given out
        self._step = self._size
        self.whole = False

    @property
    def held(self) -> int:
        """Bytes that wait here, in buffers and in a line that is not whole."""
        return self._inbox.size + len(self._line)

    @property
    def size(self) -> int:
        """Bytes of body so far."""
        return self._taken + self._inbox.size

    def feed(self, data: bytes, at: int = 0) -> int:
        """Take in `data` from `at`; returns where the body ends in it, or its length.  Raises BadChunk."""
        while at < len(data) and not self.whole:
            at = self._step(data, at)
        return at

    def take(self) -> bytes:
        """The body, or what there is of it; the buffers go back."""
        self._taken += self._inbox.size
        return self._inbox.take()

    def _line_of(self, data: bytes, at: int, most: int) -> tuple[bytes | None, int]:
        """The line that ends in `data`, without its end, and where the next one begins."""
        end = data.find(b"\n", at, at + most + 2)
        if end < 0:
            self._line += data[at : at + most + 2]
            if len(self._line) > most + 1:
                raise BadChunk(431 if most == MOST_TRAILERS else 400, "chunk line too long")
            return None, len(data)
        line, self._line = self._line + data[at:end], b""
        if len(line) > most + 1 or not line.endswith(b"\r"):
            raise BadChunk(400, "malformed chunk")
        return line[:-1], end + 1

    def _size(self, data: bytes, at: int) -> int:
        line, end = self._line_of(data, at, MOST_LINE)
        self._framing += end - at
        if self._framing > MOST_FRAMING + FRAMING_EACH * self.size:
            raise BadChunk(413, "too many chunks")
        if line is None:
            return end
        match = SIZE.fullmatch(line)
        if not match:
            raise BadChunk(400, "malformed chunk")
        self._left = int(match[1], 16)
        if self.size + self._left > self._most:
            raise BadChunk(413, "body too large")
        self._step = self._data if self._left else self._trailer
        return end

    def _data(self, data: bytes, at: int) -> int:
        part = data[at : at + self._left]
        self._inbox.put(part)
        self._left -= len(part)
        if not self._left:
            self._step = self._end_of_data
        return at + len(part)

    def _end_of_data(self, data: bytes, at: int) -> int:
        line, end = self._line_of(data, at, 0)
        if line is not None:
            self._step = self._size
        return end

    def _trailer(self, data: bytes, at: int) -> int:
        line, end = self._line_of(data, at, MOST_TRAILERS)
        self._trailers += end - at
        if self._trailers > MOST_TRAILERS:
            raise BadChunk(431, "trailers too large")
        if line is None:
            return end
        if not line:
            self.whole = True
            return end
        match = TRAILER.fullmatch(line)
        if not match:
            raise BadChunk(400, "malformed trailer")
        if self._strict and match[1].lower() in NEVER_TRAILERS:
            raise BadChunk(400, "a trailer that belongs into the head")
        return end
