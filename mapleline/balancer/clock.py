"""Structural types for time and timers, so that pure parts and drivers need no reactor to be tested.

The reactor of a real process and the virtual clock of `mapleline.simulation` both have these methods; the names are
Twisted's (`IReactorTime`).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from twisted.internet.protocol import ServerFactory


class DelayedCall(Protocol):
    """A timer that was set by `Clock.callLater`."""

    def active(self) -> bool:
        """Return whether the call is still to come: neither made nor cancelled."""

    def cancel(self) -> None:
        """Cancel the call; it must be active."""


class Clock(Protocol):
    """A steady clock with timers."""

    def seconds(self) -> float:
        """Return the time in seconds since an arbitrary moment; it never goes back."""

    def callLater(self, delay: float, function: Callable[..., object], /, *args: object) -> DelayedCall:
        """Call `function(*args)` in `delay` seconds."""


class Reactor(Clock, Protocol):
    """What a node needs of its event loop beside the clock."""

    def listenTCP(self, port: int, factory: ServerFactory, backlog: int = 50, interface: str = "") -> object:
        """Accept connections on a port of an address."""

    def stop(self) -> None:
        """End the process's event loop."""
