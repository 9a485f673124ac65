"""Who votes: which change of the members is due (pure; time is an argument).

Every machine with a disk is a voter once it holds what was decided (until then it is a learner, without a vote), as
long as the set then bears what is to be borne.  One that leaves in order, that was lost for long, or that came back
with another disk is let go by the same agreement: one change at a time, each decided by majorities of both sets.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from .state import Replica, State


@dataclass(frozen=True, slots=True)
class ReplicaStatus:
    """One machine with a disk, as the one who decides sees it."""

    replica: Replica  #: with the identity of the disk that it has now
    whole: bool  #: holds, on its disk, what is decided
    leaving: bool = False
    silent: float = 0.0  #: for how long it has not been heard of, in seconds; of one that is there, 0


def bears(voters: Iterable[Replica], losses: int, zones: int) -> bool:
    """Whether a majority is left after so many machines, or so many whole zones, are lost at once."""
    voters = list(voters)
    least = len(voters) // 2 + 1
    largest = sum(sorted(Counter(r.zone for r in voters).values(), reverse=True)[:zones])
    return len(voters) - max(losses, largest) >= least


def due(
    state: State, seen: Iterable[ReplicaStatus], losses: int, zones: int, lost_s: float
) -> tuple[Replica, ...] | None:
    """The next set of voters, or None where the present one is to stay.

    In this order: another disk at a voter's address, a new voter, one that leaves, one that is lost for `lost_s`.
    Whoever is let go without another in its place must leave a set that bears the next loss.
    """
    if state.former or not state.number:
        return None
    there = {one.replica.ip: one for one in seen}
    able = {ip: one.replica for ip, one in there.items() if one.whole and not one.leaving and not one.silent}
    voters = set(state.voters)
    for one in sorted(voters):
        if one.ip in able and able[one.ip].disk != one.disk:
            return tuple(sorted(voters - {one} | {able[one.ip]}))
    held = {r.ip for r in voters}
    bearing = bears(voters, losses, zones)
    for ip in sorted(able.keys() - held):
        larger = voters | {able[ip]}
        if bears(larger, losses, zones) or not bearing:
            return tuple(sorted(larger))
    for one in sorted(voters, key=lambda r: (not (r.ip in there and there[r.ip].leaving), r)):
        gone = there.get(one.ip)
        if gone is None or not (gone.leaving or gone.silent > lost_s):
            continue
        if bears(voters - {one}, losses, zones):
            return tuple(sorted(voters - {one}))
    return None
