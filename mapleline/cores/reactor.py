"""Protocol classes for the parts of Twisted's reactor and transports that this package uses, for type checking."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import Protocol


class Reactor(Protocol):
    """The part of Twisted's reactor that this package uses."""

    running: bool

    def callLater(self, delay: float, callback: Callable[..., object], *args: object) -> object:
        """Call back after `delay` seconds."""

    def callWhenRunning(self, callback: Callable[..., object]) -> object:  # noqa: N802  # Twisted's own name
        """Call back once the reactor runs."""

    def callFromThread(self, callback: Callable[..., object]) -> None:  # noqa: N802  # Twisted's own name
        """Call back in the reactor's thread; signal handlers use this."""

    def addReader(self, reader: object) -> None:  # noqa: N802  # Twisted's own name
        """Watch a descriptor for reading."""

    def removeReader(self, reader: object) -> None:  # noqa: N802  # Twisted's own name
        """Stop watching a descriptor."""

    def adoptStreamConnection(self, descriptor: int, family: int, factory: object) -> object:  # noqa: N802  # Twisted's own name
        """Take over a duplicate of a connected stream socket."""

    def spawnProcess(  # noqa: N802  # Twisted's own name
        self,
        protocol: object,
        executable: str,
        args: Sequence[str],
        env: Mapping[str, str],
        *,
        childFDs: Mapping[int, int],  # noqa: N803  # Twisted's own name
    ) -> object:
        """Start a process."""

    def run(self) -> None:
        """Run until stopped."""

    def stop(self) -> None:
        """Stop running."""

    def seconds(self) -> float:
        """Return the time of a monotonic clock in seconds."""


class ChannelTransport(Protocol):
    """The part of the transport of a UNIX socket that the channel uses."""

    def sendFileDescriptor(self, descriptor: int) -> None:  # noqa: N802  # Twisted's own name
        """Send a descriptor together with the next bytes."""

    def loseConnection(self) -> None:
        """Close the connection once all sent bytes are written."""


class ProcessTransport(Protocol):
    """The part of a process's transport that the supervisor uses."""

    pid: int | None

    def signalProcess(self, signal_name: str) -> None:  # noqa: N802  # Twisted's own name
        """Send the process a signal."""
