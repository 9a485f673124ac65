"""Bodies that are not in chunks, decoded as they come; `chunked.ChunkedBody` has the same form."""

from __future__ import annotations

from .buffers import BufferPool, Inbox
from .chunked import BadChunk


class BodyWithLength:
    """The next `length` bytes."""

    __slots__ = ("_inbox", "_taken", "length")

    def __init__(self, pool: BufferPool, length: int) -> None:
        self._inbox = Inbox(pool)
        self._taken = 0
        self.length = length

    @property
    def held(self) -> int:
        return self._inbox.size

    @property
    def size(self) -> int:
        """Bytes of body so far."""
        return self._taken + self._inbox.size

    @property
    def whole(self) -> bool:
        return self.size >= self.length

    def feed(self, data: bytes) -> int:
        """Take in what belongs here; returns where that ends in `data`."""
        end = min(len(data), self.length - self.size)
        self._inbox.put(data[:end] if end < len(data) else data)
        return end

    def take(self) -> bytes:
        """What is held; the buffers go back."""
        self._taken += self._inbox.size
        return self._inbox.take()


class BodyUntilClose:
    """All that comes before the end of the connection (RFC 9112, section 6.3), `most` bytes of it."""

    __slots__ = ("_inbox", "_most", "_taken", "whole")
    length = None

    def __init__(self, pool: BufferPool, most: int) -> None:
        self._inbox = Inbox(pool)
        self._most = most
        self._taken = 0
        self.whole = False  #: set by who learns of the end

    @property
    def held(self) -> int:
        return self._inbox.size

    @property
    def size(self) -> int:
        return self._taken + self._inbox.size

    def feed(self, data: bytes) -> int:
        """Take in all of it.  Raises BadChunk where that is too much."""
        if self.size + len(data) > self._most:
            raise BadChunk(413, "body too large")
        self._inbox.put(data)
        return len(data)

    def take(self) -> bytes:
        self._taken += self._inbox.size
        return self._inbox.take()
