"""The engine's one timer on the reactor's clock, and the clock that all ingresses share."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any


def clock_start() -> int:
    """Unix time in ns at which the monotonic clock was 0."""
    return time.time_ns() - time.monotonic_ns()


def unix_clock(start: int | None = None) -> Callable[[], int]:
    """Unix time in ns that never goes back: the wall clock once, then the monotonic one.

    The names of counts carry the window's number, so all ingresses must read nearly the same time;
    processes of one ingress are given one `start`, whatever steps the wall clock makes between theirs.
    """
    start = clock_start() if start is None else start
    monotonic = time.monotonic_ns

    def now() -> int:
        return start + monotonic()

    return now


class ReactorAlarm:
    """One delayed call, moved rather than made anew."""

    def __init__(self, reactor: Any, clock: Callable[[], int], wake: Callable[[], None]) -> None:
        self._reactor, self._clock, self._wake = reactor, clock, wake
        self._call: Any = None

    def set(self, at_ns: int) -> None:
        after = max(0.0, (at_ns - self._clock()) / 1e9)
        if self._call is not None:
            self._call.reset(after)
        else:
            self._call = self._reactor.callLater(after, self._ring)

    def _ring(self) -> None:
        self._call = None
        self._wake()
