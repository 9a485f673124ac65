"""A pool of buffers of one size, and a queue that keeps the bytes of incomplete messages in them."""

from __future__ import annotations

BUFFER_SIZE = 16 * 1024  #: bytes
MAX_FREE_BUFFERS = 64  #: free buffers that a pool keeps for reuse: 1 MiB
UNLIMITED_BYTES = 1 << 30  #: more than the memory of a process, so in effect no limit


class BufferPool:
    """Pool of reusable buffers of `BUFFER_SIZE` bytes.

    Attributes:
        limit_bytes: soft limit of the bytes in use.  `acquire` never fails; callers that can wait check
            `is_short` first.
        buffers_in_use: number of buffers that are acquired and not released.
        reserved_bytes: bytes outside the pool that count against the limit: bodies kept to be sent.
    """

    def __init__(self, max_free: int = MAX_FREE_BUFFERS, limit_bytes: int = UNLIMITED_BYTES) -> None:
        """Create an empty pool that keeps at most `max_free` released buffers."""
        self._free: list[bytearray] = []
        self._max_free = max_free
        self.limit_bytes = limit_bytes
        self.buffers_in_use = 0
        self.reserved_bytes = 0

    @property
    def is_short(self) -> bool:
        """Whether `limit_bytes` is reached: bodies are then streamed, and readers pause."""
        return self.buffers_in_use * BUFFER_SIZE + self.reserved_bytes >= self.limit_bytes

    def acquire(self) -> bytearray:
        """Return a buffer with arbitrary content."""
        self.buffers_in_use += 1
        return self._free.pop() if self._free else bytearray(BUFFER_SIZE)

    def release(self, buffer: bytearray) -> None:
        """Return a buffer to the pool."""
        self.buffers_in_use -= 1
        if len(self._free) < self._max_free:
            self._free.append(buffer)


class ByteQueue:
    """A queue of bytes in pooled buffers; an empty queue holds no buffer."""

    __slots__ = ("_buffers", "_pool", "size")

    def __init__(self, pool: BufferPool) -> None:
        """Create an empty queue."""
        self._pool = pool
        self._buffers: list[bytearray] = []
        self.size = 0  #: number of bytes in the queue

    def put(self, data: bytes) -> None:
        """Append a copy of `data`."""
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
        """Return all bytes, empty the queue and release its buffers to the pool."""
        if not self._buffers:
            return b""
        content = b"".join(self._buffers[:-1])
        content += self._buffers[-1][: self.size - len(content)]
        for buffer in self._buffers:
            self._pool.release(buffer)
        self._buffers.clear()
        self.size = 0
        return content
