"""The two-window estimate of a tenant's use, and what it says of a try.

The window is about one burst time long: the longest whose limit lets the whole rate through.  The limit is what
the quota's own window may hold, spread over the windows that can lie in it (one more than fit); a part of the slack
is left for what holders do not see of each other.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from .estimate import weighted

SPARE = 0.6  # of overshoot and slack that are used: holders far apart do not see each other's last adds
EVEN = 1.05  # of the rate goes on through full windows


def room_after(previous: float, left: float, current: float, limit: float) -> float:
    """After which share of the window the estimate is down at the limit; `left` if only its end helps."""
    if current > limit or previous <= 0:
        return left
    return min(left, max(0.0, (weighted(previous, left, current) - limit) / previous))


class Tenancy:
    """One tenant's limit, in windows (times in seconds)."""

    def __init__(
        self, name: str, rate: float, burst: float, quota_window: float, overshoot: float, slack: float
    ) -> None:
        self.name, self.limits = name, (rate, burst)
        allowed = (rate * quota_window + burst) * (1 + SPARE * overshoot) + SPARE * slack
        longest = allowed / (EVEN * rate) - quota_window  # a longer one bears more chance, and less of the rate
        self.window = min(max(longest, quota_window / 10), quota_window / 2)
        self.limit = allowed / (quota_window / self.window + 1)
        self.let_in = self.turned_away = 0.0  #: tries here, each window worth half of the one after it
        self._at = 0.0

    def place(self, unix: float) -> tuple[int, float]:
        """Number of the window at that time of day, and the share of it that is left."""
        number, into = divmod(unix, self.window)
        return int(number), 1.0 - into / self.window

    def judge(self, before: float, previous: float, left: float, now: float) -> float | None:
        """As `over`, and remembers.  The wait counts those turned away before, who will come back as well: each
        window has room for so many of them.
        """
        fade = 0.5 ** ((now - self._at) / self.window)
        self.let_in, self.turned_away, self._at = self.let_in * fade, self.turned_away * fade, now
        wait = self.over(before, previous, left)
        if wait is None:
            self.let_in += 1
            return None
        wait += self.window * self.turned_away / max(1.0, self.let_in)
        self.turned_away += 1
        return wait

    def over(self, before: float, previous: float, left: float) -> float | None:
        """None inside the limit; else seconds until there may be room."""
        previous = min(previous, self.limit)  # what lies beyond was refused, and not taken off yet
        if weighted(previous, left, before) <= self.limit:
            return None
        return self.window * room_after(previous, left, before, self.limit)


class WindowUsage(NamedTuple):
    """A tenant's units in the current window before a request, in the previous one, and the share of it left."""

    current: float
    previous: float
    remaining_share: float


@dataclass(slots=True)
class Ask:
    """A consultation: `done` gets the usage, or None; it returns whether the request's units stay counted."""

    tenancy: Tenancy
    homes: list[str]
    done: Callable[[WindowUsage | None], bool]
