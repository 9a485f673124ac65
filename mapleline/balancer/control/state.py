"""What the core agrees on: one small value that each change replaces whole (pure).

A state says who votes on the next one, what is in force, and which content each version number stands for.  Bodies of
configurations are named by their digest and travel beside it.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from hashlib import blake2b

import msgspec

PAST_MOST = 512  # numbers of configurations that are remembered with their content: 14 B each


class Replica(msgspec.Struct, array_like=True, frozen=True, order=True):
    """One machine's disk.  An address that comes back with another disk is another replica: what the first had
    promised is gone with it.  `disk` 0: whatever is at that address (the seeds, at the founding only).
    """

    ip: int
    disk: int
    zone: int = 0

    def is_at(self, ip: int, disk: int) -> bool:
        return self.ip == ip and self.disk in (0, disk)


class State(msgspec.Struct, array_like=True, frozen=True):
    """One state of the chain.  `number` climbs by one with each change, so that of chosen states there is one a number;
    `epoch` climbs with each change of who votes.  While `former` is not empty a change of members is under way, and
    everything needs a majority of both sets.
    """

    number: int
    system: int  #: the identity of the system, drawn at its founding
    epoch: int
    voters: tuple[Replica, ...]
    former: tuple[Replica, ...] = ()
    config: tuple[int, int] | None = None  #: version and digest of what is in force
    evacuated: tuple[str, ...] = ()  #: zones whose servers are to get nothing
    changed: tuple[tuple[str, int], ...] = ()  #: zones, and the number of the state that last emptied or took one back
    past: tuple[tuple[int, int], ...] = ()  #: version and digest of each number that was confirmed, climbing

    def members(self) -> list[Replica]:
        """All whose word counts now."""
        return list(dict.fromkeys((*self.voters, *self.former)))

    def quorum(self, heard: Collection[tuple[int, int]]) -> bool:
        """Whether those (address, disk) are a majority of each set that has to agree."""
        return all(majority(voters, heard) for voters in (self.voters, self.former) if voters)

    def is_voter(self, ip: int, disk: int) -> bool:
        return any(r.ip == ip and r.disk == disk for r in self.voters)

    def brief(self) -> State:
        """As an ingress without a disk needs it."""
        return msgspec.structs.replace(self, past=())


def majority(voters: Collection[Replica], heard: Collection[tuple[int, int]]) -> bool:
    """More than half of a set."""
    return sum(any(r.is_at(*one) for one in heard) for r in voters) > len(voters) // 2


def digest(body: bytes) -> int:
    """The name of a content."""
    return int.from_bytes(blake2b(body, digest_size=8).digest(), "big")


def genesis(seeds: Iterable[int]) -> State:
    """Before the founding: the seeds of the first start, which all have been told alike, vote on who the core is."""
    return State(0, 0, 0, tuple(Replica(ip, 0) for ip in sorted(set(seeds))))


def founded(state: State, system: int, core: Iterable[Replica]) -> State:
    """The first core; nothing changes if there is one."""
    return state if state.number else reformed(msgspec.structs.replace(state, system=system), core)


def reformed(state: State, voters: Iterable[Replica]) -> State:
    """Other voters, in two steps: until the second, both sets have to agree.  One change at a time."""
    voters = tuple(sorted(voters))
    if state.former or voters == state.voters:
        return state
    return msgspec.structs.replace(
        state, number=state.number + 1, epoch=state.epoch + 1, voters=voters, former=state.voters
    )


def settled(state: State) -> State:
    """The second step.  Only of a state that is known to be chosen: else those who know the former set alone, and have
    not seen this one, could decide without the new set.
    """
    if not state.former:
        return state
    return msgspec.structs.replace(state, number=state.number + 1, epoch=state.epoch + 1, former=())


def replaced(state: State, version: int, content: int) -> tuple[State, bool]:
    """A configuration is asked for: the state after it, and whether it is confirmed.

    The first content that was confirmed under a number stands for ever.  One that is no higher than what is in force
    changes nothing but that its number is taken from now on.
    """
    past = dict(state.past)
    if version in past:
        return state, past[version] == content
    if state.config is not None and version < state.config[0]:
        if len(past) >= PAST_MOST and version < min(past):
            return state, True  # older than what is remembered: overtaken in any case
        return _numbered(state, version, content, state.config), True
    return _numbered(state, version, content, (version, content)), True


def _numbered(state: State, version: int, content: int, config: tuple[int, int]) -> State:
    past = tuple(sorted((*state.past, (version, content)))[-PAST_MOST:])
    return msgspec.structs.replace(state, number=state.number + 1, config=config, past=past)


def emptied(state: State, zone: str, begin: bool) -> State:
    """A zone is to get nothing, or may have requests again; twice is once."""
    if (zone in state.evacuated) == begin:
        return state
    number, zones = state.number + 1, set(state.evacuated) ^ {zone}
    changed = dict(state.changed) | {zone: number}
    return msgspec.structs.replace(
        state, number=number, evacuated=tuple(sorted(zones)), changed=tuple(sorted(changed.items()))
    )
