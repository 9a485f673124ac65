"""Duties that one ingress does: its holder names the next, or a majority of the core does once it is lost (pure).

Terms only climb; of two holders of one term (a voter that lost its memory) the higher address is the one, so that
beats alone make all agree.  What a double does until then is bounded by the duty: two ask the platform.
"""

from __future__ import annotations

from collections.abc import Iterable

from .table import Member


def first(able: Iterable[Member]) -> int:
    """Who is to have a duty next, of those that can: the core first, then by the ring; 0 if there is none."""
    return min(able, key=lambda m: (not m.disk, m.place), default=Member(0, 0, 0)).ip


class Leadership:
    """One ingress's knowledge of who has a duty, and its vote."""

    def __init__(self, me: int) -> None:
        self.me = me
        self.term, self.holder = 0, 0
        self.promised = 0  #: the highest term that was voted for here
        self._asked, self._votes = 0, set()  #: our own claim, and who granted it

    @property
    def mine(self) -> bool:
        return self.holder == self.me

    def told(self, term: int, holder: int) -> bool:
        """As another knows it; says whether that was news."""
        if (term, holder) <= (self.term, self.holder):
            return False
        self.term, self.holder = term, holder
        return True

    def hand_on(self, to: int) -> None:
        """The holder leaves, and names the next; nothing if there is none."""
        if self.mine and to:
            self.term, self.holder = self.term + 1, to

    def claim(self) -> int:
        """The holder is lost: the term to ask the core's votes for."""
        self._asked, self._votes = max(self.term, self.promised, self._asked) + 1, set()
        return self._asked

    def vote(self, term: int, lost: bool) -> bool:
        """Whether this one grants that claim: one for each term, and only where it misses the holder as well."""
        if not lost or term <= max(self.term, self.promised):
            return False
        self.promised = term
        return True

    def granted(self, term: int, by: int, voters: list[int]) -> bool:
        """A vote has come; says whether the duty is now ours."""
        if term != self._asked or by not in voters or term <= self.term:
            return False
        self._votes.add(by)
        if len(self._votes & set(voters)) <= len(voters) // 2:
            return False
        self.term, self.holder = term, self.me
        return True
