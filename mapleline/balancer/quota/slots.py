"""Slots: the fixed intervals of time that counts are stored under, the same for all tenants.

A replica numbers the slots of its own counts by its own clock.  Neither a tenant's limit nor the clock of the ingress
that sends an increment affects the number (docs/incidents/quota-many-machines.md).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...policy.window import SLOTS_PER_QUOTA_WINDOW

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..clock import Clock

#: Slots that counts are kept for: a period as long as a quota's own window, wherever it begins, lies within so many.
KEPT_SLOTS = SLOTS_PER_QUOTA_WINDOW + 1


class SlotClock:
    """Numbers slots by the time of day.

    The time of day is read once, at the start, and advanced by the steady clock, so that steps of the system's clock
    have no effect.
    """

    def __init__(self, clock: Clock, unix_time: Callable[[], float], quota_window_s: float) -> None:
        """Read the time of day.

        Args:
            clock: The steady clock.
            unix_time: Returns the time of day, in seconds since 1970.
            quota_window_s: Length of the window that quotas are defined for; it has `SLOTS_PER_QUOTA_WINDOW` slots.
        """
        self._clock = clock
        self._unix_offset_s = unix_time() - clock.seconds()
        self.slot_s = quota_window_s / SLOTS_PER_QUOTA_WINDOW

    def unix_time(self) -> float:
        """Return the time of day, in seconds since 1970."""
        return self._unix_offset_s + self._clock.seconds()

    def current(self) -> int:
        """Return the number of the current slot."""
        return int(self.unix_time() // self.slot_s)

    def remaining_share(self, window_slots: int) -> float:
        """Return the share of the current window that is left; windows begin at multiples of `window_slots`."""
        window_s = window_slots * self.slot_s
        return 1.0 - self.unix_time() % window_s / window_s

    def offset_of(self, unix_time_s: float) -> int:
        """Return by how many slots a clock that shows `unix_time_s` now is behind this one (negative: ahead)."""
        return round((self.unix_time() - unix_time_s) / self.slot_s)
