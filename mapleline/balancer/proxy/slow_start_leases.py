"""Who alone may do something for a while: leases by number, granted by more than half of the core (pure, but its tick).

A voter grants a number to one process at a time, for `LEASE_S` on its own clock from when it was asked; the holder
counts from when it asked, which is earlier.  Two majorities have a voter in common, so two never hold one number at
once, whatever they believe of each other, and between the beginnings of two holders lie `LEASE_S` at least.  A voter
that was started anew has forgotten what it granted and grants nothing until that has ended.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from ..transport.messages import LeaseGrant, LeaseRequest

LEASE_S = 1.5  # more than a second and `DIAL_S`: the span of the rule meets two holders at most (docs/design/cold.md)
RENEW_S = 0.4  # one lost question, and the way there and back, cost no lease
EARLY_S = 0.05  # the holder ends before its voters: clocks run apart by less


class Voter:
    """What one machine of the core has granted."""

    def __init__(self, started: float) -> None:
        self.started = started
        self.granted: dict[int, tuple[int, int, float]] = {}  #: holder, its life, until when

    def ask(self, now: float, ip: int, life: int, numbers: list[int]) -> list[int]:
        """Those of the numbers that this process has from now on, for `LEASE_S`."""
        if now - self.started < LEASE_S:
            return []
        self.granted = {number: row for number, row in self.granted.items() if row[2] > now}
        given = [number for number in numbers if self.granted.get(number, (ip, life))[:2] == (ip, life)]
        self.granted.update(dict.fromkeys(given, (ip, life, now + LEASE_S)))
        return given


class SlowStartLeases:
    """What one process holds, and its questions to the core.

    `wanted(now)` says which numbers it should hold; `voters()` who the core is.
    """

    def __init__(
        self,
        reactor: Any,
        me: int,
        rng: random.Random,
        send: Callable[[int, Any], None],
        voters: Callable[[], list[int]],
        wanted: Callable[[float], list[int]],
        disk: bool,
    ) -> None:
        self.reactor, self.me, self.send, self.voters, self.wanted = reactor, me, send, voters, wanted
        self.life = rng.getrandbits(31)
        self.voter = Voter(reactor.seconds()) if disk else None
        self.nonce = 0
        self.asked: dict[int, float] = {}  #: questions out, and since when
        self.grants: dict[int, dict[int, float]] = {}  #: by number and voter: when that was asked for
        self.sizes: dict[int, int] = {}  #: how many the core are, as each voter said

    def tick(self) -> None:
        self.reactor.callLater(RENEW_S, self.tick)
        self.tend()

    def tend(self) -> None:
        """Ask for what is wanted now; what isn't any more ends by itself."""
        now = self.reactor.seconds()
        numbers = self.wanted(now)
        if not numbers:
            return
        self.grants = {
            number: rows for number, rows in self.grants.items() if any(now - at < LEASE_S for at in rows.values())
        }
        self.asked = {nonce: at for nonce, at in self.asked.items() if now - at < LEASE_S}
        self.nonce = (self.nonce + 1) & 0x7FFFFFFF
        self.asked[self.nonce] = now
        question = LeaseRequest(self.nonce, self.life, numbers)
        for ip in self.voters():
            if ip != self.me:
                self.send(ip, question)
            elif (answer := self.answer(ip, question)) is not None:
                self.told(ip, answer)

    def answer(self, ip: int, question: LeaseRequest) -> LeaseGrant | None:
        """What this one grants; None where it is no voter."""
        if self.voter is None:
            return None
        given = self.voter.ask(self.reactor.seconds(), ip, question.life, question.numbers)
        return LeaseGrant(question.nonce, len(self.voters()), given)

    def told(self, ip: int, answer: LeaseGrant) -> None:
        """A voter has answered."""
        asked = self.asked.get(answer.nonce)
        if asked is None:
            return
        self.sizes[ip] = answer.core
        for number in answer.numbers:
            rows = self.grants.setdefault(number, {})
            rows[ip] = max(asked, rows.get(ip, asked))

    def holds(self, number: int, now: float) -> bool:
        """It is this one's alone, now."""
        voters = self.voters()
        size = max([len(voters), *(self.sizes.get(ip, 0) for ip in voters)])
        rows = self.grants.get(number, {})
        fresh = [ip for ip in voters if now - rows.get(ip, -1e9) < LEASE_S - EARLY_S]
        return len(fresh) > size // 2
