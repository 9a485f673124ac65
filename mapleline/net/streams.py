"""The base of every TCP connection here: writes at once, knows what was written, and pauses its reading."""

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
    """A protocol whose bytes go to the kernel at once, as far as that takes them.

    Twisted's own `write` leaves every byte to the next turn of the reactor and pays two epoll calls for it, a good part
    of what a request costs.  Only what the kernel does not take goes that way.

    Attributes:
        connect_result: fires with this stream once it is connected; set by `dial.dial`.
        is_flushed: the kernel has taken every byte sent.
        is_reading: bytes that arrive are taken.
    """

    transport: Any  # Twisted's TCP transport, beyond what ITransport has
    connect_result: Deferred[Any] | None = None
    is_flushed = True
    is_reading = True
    _is_registering = False

    def connectionMade(self) -> None:
        """Configure the socket, and report that it is connected."""
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = BUFFER_SIZE  # of one read; Twisted would make 64 KiB for each
        if self.connect_result is not None:
            self.connect_result.callback(self)

    def send(self, data: bytes) -> None:
        """Send bytes; dropped if the connection is lost, which `connectionLost` has reported."""
        if not self.connected:
            return
        if not self.is_flushed:
            self.transport.write(data)
            return
        try:
            written = self.transport.socket.send(data)
        except OSError:  # full, or lost: a write of the transport handles either
            written = 0
        if written < len(data):
            self._write_rest(data[written:])

    def _write_rest(self, data: bytes) -> None:
        """Have the transport write what the kernel did not take, and report when it is written."""
        self.is_flushed = False
        self.transport.write(data)
        self._is_registering = True
        self.transport.registerProducer(self, False)
        self._is_registering = False

    def pause_reading(self) -> None:
        """Take no more bytes for now."""
        if self.is_reading and self.connected:
            self.is_reading = False
            self.transport.pauseProducing()

    def resume_reading(self) -> None:
        """Take bytes again."""
        if not self.is_reading and self.connected:
            self.is_reading = True
            self.transport.resumeProducing()

    @property
    def has_unread(self) -> bool:
        """Whether something has arrived that the reactor has not reported yet: bytes, an end or an error."""
        try:
            self.transport.getHandle().recv(1, MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            pass
        return True

    def resumeProducing(self) -> None:
        """Handle that Twisted has handed everything to the kernel (and ignore its call on registering)."""
        if not self._is_registering:
            self.is_flushed = True
            self.transport.unregisterProducer()
            self.on_flushed()

    def stopProducing(self) -> None:
        """Do nothing: the connection is lost with bytes unwritten, and `connectionLost` follows."""

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Mark the stream as not connected, which Twisted leaves undone."""
        self.connected = 0

    def on_flushed(self) -> None:
        """Do nothing; for subclasses that wait to write more."""
