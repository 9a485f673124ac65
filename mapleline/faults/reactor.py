"""Structural types for the parts of Twisted that the rig uses; Twisted's own interfaces are not typed."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from ..balancer.clock import Clock

if TYPE_CHECKING:
    from twisted.internet.protocol import ClientFactory, ServerFactory


class HostAddress(Protocol):
    """An address of a socket."""

    port: int


class ListeningPort(Protocol):
    """A listening socket."""

    def getHost(self) -> HostAddress:
        """Return the address it listens on."""

    def stopListening(self) -> object:
        """Close it."""


class StreamTransport(Protocol):
    """A TCP connection."""

    connected: int

    def write(self, data: bytes, /) -> None:
        """Send bytes."""

    def loseConnection(self) -> None:
        """Close the connection once all that was written has been sent."""

    def abortConnection(self) -> None:
        """Close the connection at once, with a reset."""


class Reactor(Clock, Protocol):
    """Twisted's event loop."""

    def listenTCP(self, port: int, factory: ServerFactory, backlog: int = 50, interface: str = "") -> ListeningPort:
        """Accept connections on a port of an address; 0 for any free port."""

    def connectTCP(self, host: str, port: int, factory: ClientFactory, timeout: float = 30) -> object:
        """Open a connection."""

    def addSystemEventTrigger(self, phase: str, event: str, function: Callable[[], object]) -> object:
        """Call the function before, during or after an event such as `shutdown`."""

    def run(self, installSignalHandlers: bool = True) -> None:  # noqa: N803  # the name is Twisted's
        """Run until `stop`."""

    def stop(self) -> None:
        """End `run`."""
