"""The rest of a request's body on its way from the client's connection to an attempt's; knows neither."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from .messages import LAST_CHUNK, write_chunk


class Sink(Protocol):
    """Takes a body to a server."""

    @property
    def flushed(self) -> bool: ...

    def send(self, data: bytes) -> None: ...


class Upload:
    """What comes before there is an attempt is held; what comes later goes out and is held no more.

    `wanted` is called when more may be read, `spent` once something is gone that another attempt would need,
    `whole` when the last byte has gone out.
    """

    def __init__(self, length: int | None, wanted: Callable[[], None], spent: Callable[[], None]) -> None:
        self.length = length  #: of the whole body; without one it goes on in chunks
        self._wanted, self._spent = wanted, spent
        self._held: list[bytes] = []
        self._sink: Sink | None = None
        self._out: Callable[[], None] = lambda: None
        self.complete = False  #: the client has sent all of it

    @property
    def room(self) -> bool:
        """More may be read: one part is held at most."""
        return self._sink.flushed if self._sink is not None else not self._held

    def put(self, part: bytes, last: bool) -> None:
        """What the client sent."""
        data = self._framed(part)
        if last:
            self.complete = True
            if self.length is None:
                data += LAST_CHUNK
        if self._sink is None:
            self._held.append(data)
            return
        self._pass(data)

    def _framed(self, part: bytes) -> bytes:
        return write_chunk(part) if self.length is None and part else part

    def _pass(self, data: bytes) -> None:
        self._spent()
        if data:
            self._sink.send(data)
        self.flushed()

    def attach(self, sink: Sink, out: Callable[[], None]) -> None:
        """An attempt whose head and first part are sent takes what follows; `out` tells it of the end."""
        self._sink, self._out = sink, out
        if self._held or self.complete:
            held, self._held = b"".join(self._held), []
            self._pass(held)
        else:
            self.flushed()

    def detach(self, sink: Sink) -> None:
        """The attempt is over."""
        if self._sink is sink:
            self._sink = None

    def flushed(self) -> None:
        """The sink has taken all it was given (called as well when it may not have)."""
        if self._sink is None or not self._sink.flushed:
            return
        if self.complete:
            out, self._out = self._out, lambda: None
            out()
        else:
            self._wanted()
