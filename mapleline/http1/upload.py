"""The rest of a request's body on its way from a client's connection to an attempt's; knows neither."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from .writer import LAST_CHUNK, write_chunk


class Sink(Protocol):
    """Takes a body to a server."""

    @property
    def is_flushed(self) -> bool:
        """Everything given to it has been sent."""

    def send(self, data: bytes) -> None:
        """Send `data` behind what was given before."""


def _ignore_end() -> None:
    """Stand in for the callback of an attempt while there is none."""


class Upload:
    """Keeps what arrives before there is an attempt; what arrives later is sent on and not kept.

    Attributes:
        length: of the whole body, in bytes; without one it is sent in chunks.
        is_complete: the client has sent all of it.
    """

    def __init__(self, length: int | None, on_wanted: Callable[[], None], on_spent: Callable[[], None]) -> None:
        """Start without any byte.

        Args:
            length: of the whole body, in bytes, or None.
            on_wanted: more may be read from the client.
            on_spent: something is gone that another attempt would need.
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
        """More may be read from the client: one part is kept at most."""
        return self._sink.is_flushed if self._sink is not None else not self._kept

    def put(self, part: bytes, is_last: bool) -> None:
        """Take in what the client sent; `is_last` says that nothing follows."""
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
        """Send what follows to an attempt whose head and first part are sent.

        Args:
            sink: the attempt's connection.
            on_sent: the last byte of the body has been sent.
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
        """The attempt is over."""
        if self._sink is sink:
            self._sink = None

    def flushed(self) -> None:
        """The sink has sent all it was given (called as well when it may not have)."""
        if self._sink is None or not self._sink.is_flushed:
            return
        if self.is_complete:
            on_sent = self._on_sent
            self._on_sent = _ignore_end
            on_sent()
        else:
            self._on_wanted()
