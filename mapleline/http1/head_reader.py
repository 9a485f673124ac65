"""Extracts message heads from a byte stream, however it is split."""

from __future__ import annotations

from .buffers import BufferPool, ByteQueue
from .errors import RemoteProtocolError

MAX_HEAD_BYTES = 8 * 1024  #: of a start line with its header section
END_OF_HEAD = b"\r\n\r\n"

#: Start line, header section, and the offset of the body; a plain tuple is cheap to create for every message.
Head = tuple[bytes, bytes, int]


class HeadReader:
    """Keeps the received bytes that belong to no message yet.

    A head that arrives in one piece is parsed in place.  Only incomplete input is copied to pooled buffers, and
    each byte is searched once, however the input is split.
    """

    __slots__ = ("_data", "_is_head_pending", "_max_head_bytes", "_queue", "_tail")

    def __init__(self, pool: BufferPool, max_head_bytes: int) -> None:
        """Create a reader that rejects heads longer than `max_head_bytes`."""
        self._max_head_bytes = max_head_bytes
        self._queue = ByteQueue(pool)
        self._data = b""  # the newest bytes, which have not been searched
        self._is_head_pending = False  # whether the queue holds a head without its end
        self._tail = b""  # the last bytes of the queue, since END_OF_HEAD may be split

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        if self._data:
            self._queue.put(self._data)
            if self._is_head_pending:
                self._tail = (self._tail + self._data)[1 - len(END_OF_HEAD) :]
        self._data = data

    def _join_data(self) -> bytes:
        """Move all buffered bytes to `_data` and return them."""
        if self._queue.size:
            self._data = self._queue.take() + self._data
        return self._data

    def _consume(self, end: int) -> None:
        """Drop the first `end` bytes of `_data`, which have been parsed."""
        self._data = self._data[end:] if end < len(self._data) else b""

    def _has_head_end(self) -> bool:
        """Return whether the newest bytes complete the pending head or make it too long."""
        waiting_bytes = self._queue.size + len(self._data)
        return waiting_bytes > self._max_head_bytes or END_OF_HEAD in self._tail + self._data

    def _next_head(self) -> Head | None:
        """Return the next head, or None while it is incomplete; the caller consumes it.

        Raises:
            RemoteProtocolError: 431 if the head is longer than the limit.
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
        """Buffer the beginning of a head whose end has not arrived."""
        if len(data) > self._max_head_bytes:
            raise RemoteProtocolError(431, "head too large")
        if data:
            self._queue.put(data)
            self._data = b""
            self._is_head_pending = True
            self._tail = data[1 - len(END_OF_HEAD) :]
