"""Slots: the pieces of time that counters are named by, the same for all tenants.

A replica names the slots of what it counts itself, by its own clock.  Neither a tenant's limit nor the clock of an
ingress that asks has a part in the name (docs/incidents/quota-many-machines.md).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...policy.window import SLOTS

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..clock import Clock

#: Slots that counts are kept for: any time as long as a quota's own window lies in so many.
KEPT_SLOTS = SLOTS + 1


class SlotClock:
    """Numbers slots by the time of day that was read at the start; it goes on evenly where the system's clock steps."""

    def __init__(self, clock: Clock, unix_time: Callable[[], float], quota_window_s: float) -> None:
        """`quota_window_s`: the window that a quota is defined for, which has `SLOTS` slots."""
        self._clock = clock
        self._unix_offset_s = unix_time() - clock.seconds()
        self.slot_s = quota_window_s / SLOTS

    def unix_time(self) -> float:
        """Return the time of day, in seconds since 1970."""
        return self._unix_offset_s + self._clock.seconds()

    def current(self) -> int:
        """Return the number of the current slot."""
        return int(self.unix_time() // self.slot_s)

    def remaining_share(self, window_slots: int) -> float:
        """Return the share that is left of the current window; windows begin at multiples of so many slots."""
        window_s = window_slots * self.slot_s
        return 1.0 - self.unix_time() % window_s / window_s

    def offset_of(self, unix_time_s: float) -> int:
        """Return by how many slots a clock that shows this time of day now is behind (negative: ahead)."""
        return round((self.unix_time() - unix_time_s) / self.slot_s)
