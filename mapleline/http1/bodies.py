"""Decoders of bodies that end after a known number of bytes or at the end of the connection."""

from __future__ import annotations

from .buffers import BufferPool, ByteQueue
from .errors import RemoteProtocolError


class BufferedBody:
    """Base of all body decoders: keeps decoded bytes in pooled buffers until the caller takes them."""

    __slots__ = ("_queue", "_taken_bytes")

    def __init__(self, pool: BufferPool) -> None:
        """Create a decoder without buffered bytes."""
        self._queue = ByteQueue(pool)
        self._taken_bytes = 0

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes that are buffered and not yet taken."""
        return self._queue.size

    @property
    def received_bytes(self) -> int:
        """Number of body bytes received so far, including those already taken."""
        return self._taken_bytes + self._queue.size

    def take(self) -> bytes:
        """Return the buffered bytes and release their buffers to the pool."""
        self._taken_bytes += self._queue.size
        return self._queue.take()


class ContentLengthBody(BufferedBody):
    """Decodes a body of `length` bytes (RFC 9112, section 6.2)."""

    __slots__ = ("length",)

    def __init__(self, pool: BufferPool, length: int) -> None:
        """Create a decoder of the next `length` bytes."""
        super().__init__(pool)
        self.length = length

    @property
    def is_complete(self) -> bool:
        """Whether the last byte has arrived."""
        return self.received_bytes >= self.length

    def feed(self, data: bytes) -> int:
        """Buffer the part of `data` that belongs to the body; return the offset of its end in `data`."""
        end = min(len(data), self.length - self.received_bytes)
        self._queue.put(data[:end] if end < len(data) else data)
        return end


class UntilCloseBody(BufferedBody):
    """Decodes a body that ends with the connection (RFC 9112, section 6.3, rule 8)."""

    __slots__ = ("_max_bytes", "is_complete")
    length = None  #: not known in advance

    def __init__(self, pool: BufferPool, max_bytes: int) -> None:
        """Create a decoder of at most `max_bytes` bytes."""
        super().__init__(pool)
        self._max_bytes = max_bytes
        self.is_complete = False  #: set by the caller when the connection ends

    def feed(self, data: bytes) -> int:
        """Buffer all of `data`; return its length.

        Raises:
            RemoteProtocolError: 413 if the body becomes larger than the limit.
        """
        if self.received_bytes + len(data) > self._max_bytes:
            raise RemoteProtocolError(413, "body too large")
        self._queue.put(data)
        return len(data)
