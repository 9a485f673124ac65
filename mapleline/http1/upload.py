"""Forwards a streamed request body from the client's connection to that of an attempt.

The module depends on neither connection: both sides are reached through callbacks and the `Sink` protocol.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from .writer import LAST_CHUNK, write_chunk


class Sink(Protocol):
    """A connection that sends a body to a server."""

    @property
    def is_flushed(self) -> bool:
        """Whether all data passed to `send` has been sent."""

    def send(self, data: bytes) -> None:
        """Send `data` after the data of earlier calls."""


def _ignore_end() -> None:
    """Do nothing: the callback while no attempt is attached."""


class Upload:
    """Buffers the body until an attempt is attached, and then forwards later parts without keeping them.

    Attributes:
        length: bytes of the whole body; if None, it is sent in chunks.
        is_complete: whether the client has sent the whole body.
    """

    def __init__(self, length: int | None, on_wanted: Callable[[], None], on_spent: Callable[[], None]) -> None:
        """Create an upload without data.

        Args:
            length: bytes of the whole body, or None if unknown.
            on_wanted: called when more may be read from the client.
            on_spent: called when data is sent that is not kept, so that another attempt cannot send it.
        """
        self.length = length
        self._on_wanted = on_wanted
        self._on_spent = on_spent
        self._kept: list[bytes] = []
        self._sink: Sink | None = None
        self._on_sent: Callable[[], None] = _ignore_end
        self.is_complete = False

    @property
    def has_room(self) -> bool:
        """Whether more may be read from the client; at most one part is buffered."""
        return self._sink.is_flushed if self._sink is not None else not self._kept

    def put(self, part: bytes, is_last: bool) -> None:
        """Accept a part from the client; `is_last` marks the end of the body."""
        data = self._framed(part)
        if is_last:
            self.is_complete = True
            if self.length is None:
                data += LAST_CHUNK
        if self._sink is None:
            self._kept.append(data)
            return
        self._send(self._sink, data)

    def _framed(self, part: bytes) -> bytes:
        return write_chunk(part) if self.length is None and part else part

    def _send(self, sink: Sink, data: bytes) -> None:
        self._on_spent()
        if data:
            sink.send(data)
        self.flushed()

    def attach(self, sink: Sink, on_sent: Callable[[], None]) -> None:
        """Forward the rest of the body to an attempt whose head and first part are sent.

        Args:
            sink: the attempt's connection.
            on_sent: called when the last byte of the body has been sent.
        """
        self._sink = sink
        self._on_sent = on_sent
        if self._kept or self.is_complete:
            kept = b"".join(self._kept)
            self._kept = []
            self._send(sink, kept)
        else:
            self.flushed()

    def detach(self, sink: Sink) -> None:
        """Stop forwarding to an attempt that has ended."""
        if self._sink is sink:
            self._sink = None

    def flushed(self) -> None:
        """Continue once the sink has sent all data; it is harmless to call this earlier."""
        if self._sink is None or not self._sink.is_flushed:
            return
        if self.is_complete:
            on_sent = self._on_sent
            self._on_sent = _ignore_end
            on_sent()
        else:
            self._on_wanted()
