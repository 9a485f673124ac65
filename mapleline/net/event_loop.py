"""Structural types of the event loop that this package's drivers use (types only, not imported at run time).

The names of the methods are Twisted's (`IReactorTime`, `IReactorTCP`, `IReactorCore`, `IReactorThreads`).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from twisted.internet.protocol import ClientFactory


class DelayedCall(Protocol):
    """A timer set by `callLater`."""

    def active(self) -> bool:
        """Return whether the call is pending: neither made nor cancelled."""

    def cancel(self) -> None:
        """Cancel the call; it must be active."""

    def reset(self, delay: float, /) -> None:
        """Move the call to `delay` seconds from now; it must be active."""


class Connector(Protocol):
    """A connection that is being made or is open."""

    def disconnect(self) -> None:
        """Cancel the attempt, or close the connection."""


class EventLoop(Protocol):
    """The methods of Twisted's reactor that this package calls."""

    def callLater(self, delay: float, function: Callable[..., object], /, *args: object) -> DelayedCall:
        """Call `function(*args)` in `delay` seconds."""

    def connectTCP(self, host: str, port: int, factory: ClientFactory, timeout: float = 30) -> Connector:
        """Begin to connect; `timeout` in seconds."""

    def callInThread(self, function: Callable[..., object], /, *args: object) -> None:
        """Call `function(*args)` in a thread of the pool."""

    def addSystemEventTrigger(self, phase: str, event: str, function: Callable[..., object], /) -> object:
        """Call `function()` at a phase ("before", "during", "after") of an event such as "shutdown"."""
