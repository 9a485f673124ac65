"""Bytes that wait for the rest of their message, in buffers of one size that are used again."""

from __future__ import annotations

BUFFER_SIZE = 16 * 1024
KEPT = 64  # free buffers held on to: 1 MiB


class BufferPool:
    """Hands out buffers of `BUFFER_SIZE` bytes and takes them back."""

    def __init__(self, kept: int = KEPT, most: int = 1 << 30) -> None:
        """`most` bytes are to be out at once: nobody is refused a buffer, who can wait asks `tight` first."""
        self._free: list[bytearray] = []
        self._kept = kept
        self.most = most
        self.out = 0  #: buffers in use
        self.held = 0  #: bytes elsewhere that count with them: what has been taken and is kept to be sent

    @property
    def tight(self) -> bool:
        """More is out than there should be: what can go on, or wait, does."""
        return self.out * BUFFER_SIZE + self.held >= self.most

    def take(self) -> bytearray:
        self.out += 1
        return self._free.pop() if self._free else bytearray(BUFFER_SIZE)

    def give(self, buffer: bytearray) -> None:
        self.out -= 1
        if len(self._free) < self._kept:
            self._free.append(buffer)


class Inbox:
    """A queue of bytes; while it is empty it holds no buffer at all."""

    __slots__ = ("_buffers", "_pool", "size")

    def __init__(self, pool: BufferPool) -> None:
        self._pool = pool
        self._buffers: list[bytearray] = []
        self.size = 0

    def put(self, data: bytes) -> None:
        view, at = memoryview(data), 0
        while at < len(view):
            used = self.size % BUFFER_SIZE
            if used == 0:
                self._buffers.append(self._pool.take())
            part = view[at : at + BUFFER_SIZE - used]
            self._buffers[-1][used : used + len(part)] = part
            self.size += len(part)
            at += len(part)

    def take(self) -> bytes:
        """Everything that waits; the buffers go back to the pool."""
        if not self._buffers:
            return b""
        whole = b"".join(self._buffers[:-1])
        whole += self._buffers[-1][: self.size - len(whole)]
        for buffer in self._buffers:
            self._pool.give(buffer)
        self._buffers.clear()
        self.size = 0
        return whole
