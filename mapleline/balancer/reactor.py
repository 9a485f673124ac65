"""The balancer's reactor: the lean epoll reactor with timers on the monotonic clock."""

from __future__ import annotations

import time

from twisted.internet import main

from ..net.reactor import LeanEPollReactor


class MonotonicReactor(LeanEPollReactor):
    """Timers by the monotonic clock: a step of the time of day moves none."""

    seconds = staticmethod(time.monotonic)


def install() -> MonotonicReactor:
    """Make this the process's reactor and return it."""
    reactor = MonotonicReactor()  # type: ignore[no-untyped-call]  # Twisted's reactors have no annotations
    main.installReactor(reactor)  # type: ignore[no-untyped-call]  # nor has this
    return reactor
