"""The base class of TCP connections: writes directly to the socket, tracks flushing and can pause reading."""

from __future__ import annotations

from socket import MSG_PEEK
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IPullProducer
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer  # type: ignore[import-untyped]  # it has no types

from ..http1 import BUFFER_SIZE


@implementer(IPullProducer)
class Stream(Protocol):
    """A protocol that writes to the socket directly and leaves only the rest to Twisted.

    Twisted's own `write` defers every byte to the next turn of the reactor and makes two epoll calls for it, which is a
    good part of the cost of a request.  So only the bytes that the kernel's send buffer has no room for go through it.

    Attributes:
        connect_result: fires with this stream once it is connected; set by `dial.dial`.
        is_flushed: whether the kernel has taken every byte sent.
        is_reading: whether arriving bytes are read.
    """

    transport: Any  # Twisted's TCP transport, beyond what ITransport has
    connect_result: Deferred[Any] | None = None
    is_flushed = True
    is_reading = True
    _is_registering = False

    def connectionMade(self) -> None:
        """Configure the socket, and report that it is connected."""
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = BUFFER_SIZE  # bytes per read; Twisted would allocate 64 KiB for each
        if self.connect_result is not None:
            self.connect_result.callback(self)

    def send(self, data: bytes) -> None:
        """Send bytes; drops them if the connection is lost, which `connectionLost` has reported."""
        if not self.connected:
            return
        if not self.is_flushed:
            self.transport.write(data)
            return
        try:
            written = self.transport.socket.send(data)
        except OSError:  # the buffer is full or the connection lost; the transport's write handles both
            written = 0
        if written < len(data):
            self._write_rest(data[written:])

    def _write_rest(self, data: bytes) -> None:
        """Pass bytes to the transport; it calls `resumeProducing` once all are written."""
        self.is_flushed = False
        self.transport.write(data)
        self._is_registering = True
        self.transport.registerProducer(self, False)
        self._is_registering = False

    def pause_reading(self) -> None:
        """Stop reading until `resume_reading`."""
        if self.is_reading and self.connected:
            self.is_reading = False
            self.transport.pauseProducing()

    def resume_reading(self) -> None:
        """Read again."""
        if not self.is_reading and self.connected:
            self.is_reading = True
            self.transport.resumeProducing()

    @property
    def has_unread(self) -> bool:
        """Whether bytes, an end of stream or an error have arrived that the reactor has not reported yet."""
        try:
            self.transport.getHandle().recv(1, MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            pass
        return True

    def resumeProducing(self) -> None:
        """Handle that Twisted has written everything; its call during registration is ignored."""
        if not self._is_registering:
            self.is_flushed = True
            self.transport.unregisterProducer()
            self.on_flushed()

    def stopProducing(self) -> None:
        """Do nothing: the connection was lost with bytes unwritten, and `connectionLost` follows."""

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Mark the stream as not connected, which Twisted does not do."""
        self.connected = 0

    def on_flushed(self) -> None:
        """Do nothing; subclasses that wait to write more override it."""
