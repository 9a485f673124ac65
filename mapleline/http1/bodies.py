"""Bodies that end after a number of bytes or with the connection, decoded as they arrive."""

from __future__ import annotations

from .buffers import BufferPool, ByteQueue
from .errors import RemoteProtocolError


class BufferedBody:
    """What all bodies share: decoded bytes wait in pooled buffers until they are taken."""

    __slots__ = ("_queue", "_taken_bytes")

    def __init__(self, pool: BufferPool) -> None:
        """Start without any byte."""
        self._queue = ByteQueue(pool)
        self._taken_bytes = 0

    @property
    def buffered_bytes(self) -> int:
        """Bytes that wait here."""
        return self._queue.size

    @property
    def received_bytes(self) -> int:
        """Bytes of body so far, with those already taken."""
        return self._taken_bytes + self._queue.size

    def take(self) -> bytes:
        """Return what waits; the buffers go back to the pool."""
        self._taken_bytes += self._queue.size
        return self._queue.take()


class ContentLengthBody(BufferedBody):
    """The next `length` bytes (RFC 9112, section 6.2)."""

    __slots__ = ("length",)

    def __init__(self, pool: BufferPool, length: int) -> None:
        """Expect `length` bytes."""
        super().__init__(pool)
        self.length = length

    @property
    def is_complete(self) -> bool:
        """The last byte has arrived."""
        return self.received_bytes >= self.length

    def feed(self, data: bytes) -> int:
        """Take in what belongs to the body; return where that ends in `data`."""
        end = min(len(data), self.length - self.received_bytes)
        self._queue.put(data[:end] if end < len(data) else data)
        return end


class UntilCloseBody(BufferedBody):
    """All that arrives before the connection ends (RFC 9112, section 6.3, rule 8)."""

    __slots__ = ("_max_bytes", "is_complete")
    length = None  #: not known beforehand

    def __init__(self, pool: BufferPool, max_bytes: int) -> None:
        """Allow `max_bytes` of body."""
        super().__init__(pool)
        self._max_bytes = max_bytes
        self.is_complete = False  #: set by whoever sees the end of the connection

    def feed(self, data: bytes) -> int:
        """Take in all of `data`.

        Raises:
            RemoteProtocolError: 413, where that is more than the limit.
        """
        if self.received_bytes + len(data) > self._max_bytes:
            raise RemoteProtocolError(413, "body too large")
        self._queue.put(data)
        return len(data)
