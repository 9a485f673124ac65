"""The engine's one timer on the reactor's clock, and the clock that all ingresses share."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .event_loop import DelayedCall, EventLoop

NANOSECONDS = 1e9


def clock_start_ns() -> int:
    """Return the Unix time in nanoseconds at which the monotonic clock was 0."""
    return time.time_ns() - time.monotonic_ns()


def unix_clock(start_ns: int | None = None) -> Callable[[], int]:
    """Return a clock of Unix time in nanoseconds that never goes back: the wall clock once, then the monotonic one.

    The names of counts carry the window's number, so all ingresses must read nearly the same time.

    Args:
        start_ns: when the monotonic clock was 0 (`clock_start_ns`); the processes of one ingress get the same, whatever
            steps the wall clock makes between their starts.  None: read now.
    """
    zero_ns = clock_start_ns() if start_ns is None else start_ns
    monotonic_ns = time.monotonic_ns

    def now() -> int:
        return zero_ns + monotonic_ns()

    return now


class ReactorAlarm:
    """The engine's timer (`engine.drivers.Alarm`): one delayed call, moved rather than made anew."""

    def __init__(self, reactor: EventLoop, clock: Callable[[], int], wake: Callable[[], None]) -> None:
        """Call `wake` when the time set has come; `clock` returns nanoseconds."""
        self._reactor = reactor
        self._clock = clock
        self._wake = wake
        self._delayed_call: DelayedCall | None = None

    def set(self, at_ns: int) -> None:
        """Go off at a time of the clock; a later call replaces the earlier one."""
        delay_s = max(0.0, (at_ns - self._clock()) / NANOSECONDS)
        if self._delayed_call is not None:
            self._delayed_call.reset(delay_s)
        else:
            self._delayed_call = self._reactor.callLater(delay_s, self._go_off)

    def _go_off(self) -> None:
        self._delayed_call = None
        self._wake()
