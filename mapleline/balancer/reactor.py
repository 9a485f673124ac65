"""The balancer's reactor: an epoll reactor with timers on the monotonic clock."""

from __future__ import annotations

import time

from twisted.internet import main

from ..net.reactor import LeanEPollReactor


class MonotonicReactor(LeanEPollReactor):
    """A reactor whose timers follow the monotonic clock, so that a step of the time of day does not move them."""

    seconds = staticmethod(time.monotonic)


def install() -> MonotonicReactor:
    """Create the process's reactor, install it and return it."""
    reactor = MonotonicReactor()  # type: ignore[no-untyped-call]  # Twisted's reactors have no annotations
    main.installReactor(reactor)  # type: ignore[no-untyped-call]  # Twisted has no annotation here
    return reactor
