"""The engine's timer, and a Unix clock that never goes back."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .event_loop import DelayedCall, EventLoop

NANOSECONDS_PER_S = 1e9


def clock_start_ns() -> int:
    """Return the Unix time in nanoseconds at which the monotonic clock was 0."""
    return time.time_ns() - time.monotonic_ns()


def unix_clock(start_ns: int | None = None) -> Callable[[], int]:
    """Return a clock of Unix time in nanoseconds that never goes back.

    It reads the wall clock once and the monotonic clock from then on.  Names on the quota counter contain the number of
    a time window, so the clocks of all ingresses must be close.

    Args:
        start_ns: the Unix time at which the monotonic clock was 0 (`clock_start_ns`).  The processes of one ingress get
            the same value, so that steps of the wall clock between their starts do not matter.  None: read now.
    """
    zero_ns = clock_start_ns() if start_ns is None else start_ns
    monotonic_ns = time.monotonic_ns

    def now() -> int:
        return zero_ns + monotonic_ns()

    return now


class ReactorAlarm:
    """The engine's timer (`engine.drivers.Alarm`): one delayed call, which is rescheduled."""

    def __init__(self, reactor: EventLoop, clock: Callable[[], int], wake: Callable[[], None]) -> None:
        """Call `wake` at the time that was set; `clock` returns nanoseconds."""
        self._reactor = reactor
        self._clock = clock
        self._wake = wake
        self._delayed_call: DelayedCall | None = None

    def set(self, at_ns: int) -> None:
        """Schedule the timer for a time of the clock, in nanoseconds; a later call replaces the earlier one."""
        delay_s = max(0.0, (at_ns - self._clock()) / NANOSECONDS_PER_S)
        if self._delayed_call is not None:
            self._delayed_call.reset(delay_s)
        else:
            self._delayed_call = self._reactor.callLater(delay_s, self._fire)

    def _fire(self) -> None:
        self._delayed_call = None
        self._wake()
