"""Finds the heads of messages in bytes that arrive split or run together."""

from __future__ import annotations

from .buffers import BufferPool, ByteQueue
from .errors import RemoteProtocolError

MAX_HEAD_BYTES = 8 * 1024  #: of a start line and its header section
END_OF_HEAD = b"\r\n\r\n"

#: Start line, header section, and the offset of the body.  A bare tuple: one is made for every message.
Head = tuple[bytes, bytes, int]


class HeadReader:
    """Keeps what has arrived and belongs to no message yet.

    A head that arrives in one piece is parsed where it lies; only what must wait is copied to a pooled buffer,
    and each byte is searched once, however they are split.
    """

    __slots__ = ("_data", "_is_head_pending", "_max_head_bytes", "_queue", "_tail")

    def __init__(self, pool: BufferPool, max_head_bytes: int) -> None:
        """Start without any byte; a longer head than `max_head_bytes` is rejected."""
        self._max_head_bytes = max_head_bytes
        self._queue = ByteQueue(pool)
        self._data = b""  # the newest bytes, not searched yet
        self._is_head_pending = False  # what waits in the queue has no end of a head
        self._tail = b""  # the last bytes of the queue: an end of a head may be split

    def feed(self, data: bytes) -> None:
        """Take in what has arrived."""
        if self._data:
            self._queue.put(self._data)
            if self._is_head_pending:
                self._tail = (self._tail + self._data)[1 - len(END_OF_HEAD) :]
        self._data = data

    def _join_data(self) -> bytes:
        """Put together all that waits; it is in `_data` then."""
        if self._queue.size:
            self._data = self._queue.take() + self._data
        return self._data

    def _consume(self, end: int) -> None:
        """Drop what has been parsed, the first `end` bytes of `_data`."""
        self._data = self._data[end:] if end < len(self._data) else b""

    def _has_head_end(self) -> bool:
        """Whether the newest bytes may end the head that waits, or make it too long."""
        waiting_bytes = self._queue.size + len(self._data)
        return waiting_bytes > self._max_head_bytes or END_OF_HEAD in self._tail + self._data

    def _next_head(self) -> Head | None:
        """Return the next head once all of it has arrived; the caller consumes it.

        Raises:
            RemoteProtocolError: 431, where it is longer than the limit.
        """
        if not self._data and not self._queue.size:
            return None
        if self._is_head_pending and not self._has_head_end():
            return None  # `feed` moves the newest bytes to the queue
        self._is_head_pending = False
        self._tail = b""
        data = self._join_data()
        if data.startswith(b"\r\n"):  # empty lines before a message are ignored (RFC 9112, section 2.2)
            data = self._data = data.lstrip(b"\r\n")
        end = data.find(END_OF_HEAD, 0, self._max_head_bytes + len(END_OF_HEAD))
        if end < 0:
            self._keep_partial_head(data)
            return None
        start_line, _, section = data[: end + 2].partition(b"\r\n")
        return start_line, section, end + 4

    def _keep_partial_head(self, data: bytes) -> None:
        """Let a head wait whose end has not arrived."""
        if len(data) > self._max_head_bytes:
            raise RemoteProtocolError(431, "head too large")
        if data:
            self._queue.put(data)
            self._data = b""
            self._is_head_pending = True
            self._tail = data[1 - len(END_OF_HEAD) :]
