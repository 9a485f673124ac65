"""A heap of all timers of the engine, which needs one alarm of the reactor only."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .drivers import Alarm
    from .records import Expiring

NOT_SET = 0


class TimerQueue:
    """Timers ordered by time; timers of the same time keep the order in which they were added.

    A timer is not removed early: a finished one stays until it reaches the top of the heap, where it is dropped
    without an alarm.
    """

    alarm: Alarm

    def __init__(self) -> None:
        """Start empty; `alarm` must be set before the first `arm`."""
        self._heap: list[tuple[int, int, Expiring]] = []
        self._added = 0
        self._alarm_at_ns = NOT_SET

    def add(self, at_ns: int, timer: Expiring) -> None:
        """Add a timer for a time; it takes effect with the next call of `arm`."""
        self._added += 1
        heapq.heappush(self._heap, (at_ns, self._added, timer))

    def arm(self) -> None:
        """Set the alarm for the first unfinished timer, unless it is set for that time or an earlier one."""
        heap = self._heap
        while heap and heap[0][2].is_finished:
            heapq.heappop(heap)
        if not heap:
            return
        first_ns = heap[0][0]
        if self._alarm_at_ns == NOT_SET or first_ns < self._alarm_at_ns:
            self._alarm_at_ns = first_ns
            self.alarm.set(first_ns)

    def clear_alarm(self) -> None:
        """Record that the alarm has gone off."""
        self._alarm_at_ns = NOT_SET

    def pop_due(self, now_ns: int) -> Expiring | None:
        """Remove and return the first unfinished timer that is due, or None."""
        heap = self._heap
        while heap and heap[0][0] <= now_ns:
            timer = heapq.heappop(heap)[2]
            if not timer.is_finished:
                return timer
        return None
