"""How sure one ingress is that it holds the newest: by ages, never by times of day (pure).

A machine speaks for the system only after contact with a majority: each of more than half of the voters, asked at some
moment, had accepted nothing beyond what is held here.  Whatever was chosen before the oldest of these moments is held
here, since the first state chosen after ours stands on a majority of the same voters.
"""

from __future__ import annotations

from .state import Replica, State

NEVER = float("-inf")


class ReadLease:
    """`since(state)`: everything that was chosen before that moment is held."""

    def __init__(self) -> None:
        self.asked: dict[tuple[int, int], float] = {}  #: by address and disk: when that one was asked
        self.relayed = NEVER  #: the same certainty at second hand

    def agree(self, ip: int, disk: int, asked: float) -> None:
        """That replica, asked at that time, had accepted nothing beyond what is held here now."""
        self.asked[ip, disk] = max(asked, self.asked.get((ip, disk), NEVER))

    def relay(self, asked: float, age: float) -> None:
        """Another ingress, asked at that time, held nothing newer and was certain of what is that old.  The age counts
        from the question: the answer was given no earlier.
        """
        self.relayed = max(self.relayed, asked - age)

    def since(self, state: State | None) -> float:
        """Minus infinity where nothing is known."""
        if state is None or not state.number:
            return NEVER
        own = min(self._majority(voters) for voters in (state.voters, state.former) if voters)
        return max(own, self.relayed)

    def _majority(self, voters: tuple[Replica, ...]) -> float:
        times = sorted(
            (max((at for one, at in self.asked.items() if r.is_at(*one)), default=NEVER) for r in voters), reverse=True
        )
        return times[len(voters) // 2]

    def keep(self, state: State) -> None:
        """Replicas that do not count any more say nothing."""
        members = state.members()
        self.asked = {one: at for one, at in self.asked.items() if any(r.is_at(*one) for r in members)}
