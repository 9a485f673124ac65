"""What every connection here shares: writing without a turn of the reactor, and knowing what was written."""

from __future__ import annotations

from socket import MSG_PEEK

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IPullProducer
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from zope.interface import implementer

from ..http1 import BUFFER_SIZE


@implementer(IPullProducer)
class Stream(Protocol):
    """A protocol whose bytes go to the kernel at once where it takes them.

    Twisted's own `write` leaves every byte to the next turn of the reactor and pays two epoll calls for it, a
    good part of what a request costs.  What the kernel does not take goes that way.
    """

    up: Deferred | None = None  #: fires once it is connected; see `dial`
    flushed = True  #: the kernel has taken every byte sent
    reading = True  #: bytes that come are taken
    _registering = False

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = BUFFER_SIZE  # of one read; Twisted would make 64 KiB for each
        if self.up is not None:
            self.up.callback(self)

    def send(self, data: bytes) -> None:
        if not self.connected:
            return  # `connectionLost` has told whoever waits
        if self.flushed:
            try:
                written = self.transport.socket.send(data)
            except OSError:  # full, or gone: a write sees to either
                written = 0
            if written == len(data):
                return
            self.flushed = False
            self.transport.write(data[written:])
            self._registering = True
            self.transport.registerProducer(self, False)
            self._registering = False
        else:
            self.transport.write(data)

    def hold(self) -> None:
        """Read nothing more for now."""
        if self.reading and self.connected:
            self.reading = False
            self.transport.pauseProducing()

    def go_on(self) -> None:
        """Read on."""
        if not self.reading and self.connected:
            self.reading = True
            self.transport.resumeProducing()

    @property
    def unread(self) -> bool:
        """Something has come that the reactor has not told of yet: bytes, an end or a fault."""
        try:
            self.transport.getHandle().recv(1, MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            pass
        return True

    def resumeProducing(self) -> None:
        """Twisted has handed everything to the kernel (and calls this once on registering)."""
        if not self._registering:
            self.flushed = True
            self.transport.unregisterProducer()
            self.on_flushed()

    def stopProducing(self) -> None:
        """The connection is lost with bytes unwritten; `connectionLost` follows."""

    def connectionLost(self, reason: Failure) -> None:
        self.connected = 0  # Twisted leaves it set

    def on_flushed(self) -> None:
        """For those who wait to write more."""
