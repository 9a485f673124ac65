"""Bytes that wait for the rest of their message, in pooled buffers of one size."""

from __future__ import annotations

BUFFER_SIZE = 16 * 1024  #: bytes
MAX_FREE_BUFFERS = 64  #: kept for the next message: 1 MiB
UNLIMITED_BYTES = 1 << 30  #: more than a process of ours has


class BufferPool:
    """Hands out buffers of `BUFFER_SIZE` bytes and takes them back.

    Attributes:
        limit_bytes: what should be in use at most.  No caller is refused a buffer; those who can wait ask
            `is_short` first.
        buffers_in_use: buffers handed out.
        reserved_bytes: bytes elsewhere that count against the limit: bodies kept to be sent.
    """

    def __init__(self, max_free: int = MAX_FREE_BUFFERS, limit_bytes: int = UNLIMITED_BYTES) -> None:
        """Start without any buffer; at most `max_free` are kept once they come back."""
        self._free: list[bytearray] = []
        self._max_free = max_free
        self.limit_bytes = limit_bytes
        self.buffers_in_use = 0
        self.reserved_bytes = 0

    @property
    def is_short(self) -> bool:
        """More is in use than should be: bodies are streamed, readers pause."""
        return self.buffers_in_use * BUFFER_SIZE + self.reserved_bytes >= self.limit_bytes

    def acquire(self) -> bytearray:
        """Hand out a buffer; its content is whatever was in it."""
        self.buffers_in_use += 1
        return self._free.pop() if self._free else bytearray(BUFFER_SIZE)

    def release(self, buffer: bytearray) -> None:
        """Take a buffer back."""
        self.buffers_in_use -= 1
        if len(self._free) < self._max_free:
            self._free.append(buffer)


class ByteQueue:
    """A queue of bytes in pooled buffers; while it is empty it has none."""

    __slots__ = ("_buffers", "_pool", "size")

    def __init__(self, pool: BufferPool) -> None:
        """Start empty."""
        self._pool = pool
        self._buffers: list[bytearray] = []
        self.size = 0  #: bytes that wait

    def put(self, data: bytes) -> None:
        """Copy `data` to the end of the queue."""
        view = memoryview(data)
        offset = 0
        while offset < len(view):
            used = self.size % BUFFER_SIZE
            if used == 0:
                self._buffers.append(self._pool.acquire())
            part = view[offset : offset + BUFFER_SIZE - used]
            self._buffers[-1][used : used + len(part)] = part
            self.size += len(part)
            offset += len(part)

    def take(self) -> bytes:
        """Empty the queue and return what was in it; the buffers go back to the pool."""
        if not self._buffers:
            return b""
        content = b"".join(self._buffers[:-1])
        content += self._buffers[-1][: self.size - len(content)]
        for buffer in self._buffers:
            self._pool.release(buffer)
        self._buffers.clear()
        self.size = 0
        return content
