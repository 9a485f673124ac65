"""Structural types for time and timers, so that tests need no reactor.

The reactor of a real process and the virtual clock of `mapleline.simulation` both have these methods; the names are
Twisted's (`IReactorTime`).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from twisted.internet.protocol import ServerFactory


class DelayedCall(Protocol):
    """A timer set by `Clock.callLater`."""

    def active(self) -> bool:
        """Return whether the call is pending: neither made nor cancelled."""

    def cancel(self) -> None:
        """Cancel the call; it must be active."""


class Clock(Protocol):
    """A steady clock with timers."""

    def seconds(self) -> float:
        """Return the time in seconds since an arbitrary moment; it never decreases."""

    def callLater(self, delay: float, function: Callable[..., object], /, *args: object) -> DelayedCall:
        """Call `function(*args)` after `delay` seconds."""


class Reactor(Clock, Protocol):
    """The methods of an event loop that a node uses, apart from the clock."""

    def listenTCP(self, port: int, factory: ServerFactory, backlog: int = 50, interface: str = "") -> object:
        """Accept connections on a port of an address."""

    def stop(self) -> None:
        """End the process's event loop."""
