"""Choice of a server from little news: what is out here and near, what answers told, and how far it is."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from .estimate import expected

NEAR, FAR = 0.1, 0.3  # usual answer times that another zone, another region, must be better by
NEAR_KB, FAR_KB = 0.008, 0.06  # the same for each kilobyte that goes there and back: links between regions are dear
TOLD_S = 0.6  # a told load is worth less and less; after this long a third of it is left
TAIL = 2.0  # usual answer times that most answers take less than
KEPT = 0.5  # usual answer times that the last slot of a kept region costs
AGAIN = 6.0  # usual answer times that a server already tried must be better by
SLOW_GAIN = 0.15  # weight of the newest answer in a server's slowness
BLAME, FORGET_S = 0.25, 3.0  # weight of the newest end in a server's sickness, and its half life
CHANCE_END = 0.27  # as sick as one bad end by chance leaves a server
SICK = 6.0  # usual answer times that a server costs where every request ends badly
HOLD_S, HOLD_MOST_S = 0.5, 4.0  # nothing goes to a server that could not be reached; doubled each time


@dataclass(slots=True, eq=False)
class Target:
    """One life of a server as this ingress sees it (times in seconds on its own clock)."""

    id: str
    service: str
    zone: str
    region: str
    slots: int
    out: int = 0  #: own requests out
    near: int = 0  #: those of the ingresses in this zone, as they last told
    told: float = 0.0  #: running and waiting by the last answer
    told_at: float = -1e9
    slow: float = 1.0  #: answer times over the usual ones
    hold: float = -1e9  #: nothing is sent before
    fails: int = 0  #: in a row
    bad: float = 0.0  #: share of requests that end badly there, as last seen here, and when
    bad_at: float = -1e9
    bad_near: float = 0.0  #: the worst that another ingress of the region has told
    cold_until: float = -1e9
    cold_at: float = -1e9  #: when the store of turns of a cold server was last filled
    cold_store: float = 1.0
    links: list = field(default_factory=list)  #: kept connections; the driver's

    def load(self, now: float) -> float:
        """Requests that are likely at work or waiting there."""
        known = self.out + self.near
        left = 0.33 ** ((now - self.told_at) / TOLD_S) if now - self.told_at < 10 else 0.0
        return max(known, known + (self.told - known) * left)

    def wait(self, now: float) -> float:
        """Usual answer times before one more would be begun with."""
        return self.slow * max(0.0, self.load(now) + 1 - self.slots) / self.slots

    def seen(self, now: float) -> float:
        """Share of requests that ended badly here, less and less believed."""
        return self.bad * 0.5 ** ((now - self.bad_at) / FORGET_S)

    def sick(self, now: float) -> float:
        """Share of requests that are likely to end badly, by what was seen here and near."""
        return max(self.seen(now), 0.7 * self.bad_near)

    def judged(self, now: float, badly: bool, weight: float = BLAME) -> None:
        """A request there has ended, or has been silent for long; by what requests saw, never by health answers."""
        seen = self.seen(now)
        self.bad, self.bad_at = seen + weight * (badly - seen), now

    def unreachable(self, now: float) -> None:
        """Held off longer with each time in a row."""
        self.hold = now + min(HOLD_MOST_S, HOLD_S * 2**self.fails)
        self.fails += 1

    def answered(self, ratio: float) -> None:
        """`ratio`: its time over the usual one."""
        self.fails = 0
        self.slow += SLOW_GAIN * (min(ratio, 4.0) - self.slow)

    def cold_turn(self, now: float, rate: float) -> bool:
        """A cold server's rate, saved up to one turn."""
        self.cold_store = min(1.0, self.cold_store + rate * (now - self.cold_at))
        self.cold_at = now
        return self.cold_store >= 1.0


def too_late(wait: float, usual: float, aim: float) -> bool:
    """Whether a first try had better come again: its answer would miss the aim, and everybody's behind it as well.

    `wait`: in usual answer times; `usual`, `aim`: seconds.
    """
    return wait * usual > max(0.5 * usual, aim - TAIL * usual)


def choose(
    now: float, targets: Iterable[Target], zone: str, region: str, tried: Iterable[str], rng: random.Random,
    kilobytes: float = 0.0, kept: Iterable[str] = (),
) -> Target | None:  # fmt: skip
    """Least expected time to an answer, in usual answer times, with the way there priced by what goes over it.

    `kept`: regions whose last slots are left to requests that may go nowhere else.
    """
    best, best_cost = None, 0.0
    near, far = NEAR + NEAR_KB * kilobytes, FAR + FAR_KB * kilobytes
    for t in targets:
        load = t.load(now)
        cost = expected(t.slow, max(0.0, load + 1 - t.slots) / t.slots + 0.1 * load / t.slots, rng)
        cost += 0.0 if t.zone == zone else near if t.region == region else far
        cost += KEPT * min(1.0, (load + 1) / t.slots) ** 2 if t.region in kept else 0.0
        cost += SICK * max(0.0, t.sick(now) - CHANCE_END)
        cost += AGAIN if t.id in tried else 0.0
        cost += AGAIN if now < t.hold else 0.0
        if best is None or cost < best_cost:
            best, best_cost = t, cost
    return best
