"""When a worker that died is replaced, and when the program gives up."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class Lives:
    """The deaths of one ingress's workers.  All times in ns.

    Each place's pause doubles with each death at once in a row and begins anew after a life that lasted.  The
    deaths at once that end the program are counted over all places: what kills each new worker, a broken
    installation say, kills them wherever they start.
    """

    pause_ns: int
    pause_most_ns: int
    settled_ns: int
    deaths_most: int
    in_a_row: int = 0  #: deaths at once, over all places, since a worker last settled
    _deaths: dict[int, int] = field(default_factory=dict)
    _ready_at: dict[int, int] = field(default_factory=dict)

    def ready(self, place: int, now: int) -> None:
        """The worker in this place serves."""
        self._ready_at[place] = now

    def settled(self, now: int) -> None:
        """Called from time to time: who has served long enough has not died at once."""
        for place, at in self._ready_at.items():
            if now - at >= self.settled_ns and self._deaths.pop(place, 0):
                self.in_a_row = 0

    def died(self, place: int, now: int) -> int | None:
        """How long to wait before the next one in this place; None: no more."""
        at = self._ready_at.pop(place, None)
        if at is not None and now - at >= self.settled_ns:
            self._deaths[place] = 0
            self.in_a_row = 0
            return self.pause_ns
        self.in_a_row += 1
        if self.in_a_row >= self.deaths_most:
            return None
        deaths = self._deaths[place] = self._deaths.get(place, 0) + 1
        return min(self.pause_most_ns, self.pause_ns << min(deaths - 1, 40))
