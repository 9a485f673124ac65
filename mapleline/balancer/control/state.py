"""The replicated state, one small value that each change replaces entirely, and its transitions (pure).

A state contains the voters on the next state, the configuration in force, the evacuated zones, and the digest of the
content that was confirmed for each version number.  Bodies of configurations are referenced by digest and are sent
beside the state.  Every transition returns the state itself if nothing changes, and otherwise a successor with
`number` + 1.

Voters change by joint consensus (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm",
section 6); docs/design/control.md explains why it is safe here.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from hashlib import blake2b
from typing import NamedTuple

import msgspec

#: Maximum number of versions whose content is remembered: 14 bytes each in a state (docs/design/control.md, point 2).
MAX_PAST_VERSIONS = 512

#: Size of a configuration's digest; file names and `archive dump` show it as 16 hexadecimal digits.
DIGEST_BYTES = 8


class ReplicaId(NamedTuple):
    """Identifies a replica: an IPv4 address and the identity of the disk at that address."""

    ip: int
    disk_id: int


class ConfigurationRef(NamedTuple):
    """References the body of a configuration by its version and its digest."""

    version: int
    digest: int


class Replica(msgspec.Struct, array_like=True, frozen=True, order=True):
    """A machine's disk as a voter.

    An address with a new disk is a new replica, since the promises on the old disk are lost.

    Attributes:
        ip: the IPv4 address.
        disk_id: the identity of the disk; 0 matches any disk at the address (seeds, until the first voters are chosen).
        zone: the number of the machine's zone.
    """

    ip: int
    disk_id: int
    zone: int = 0

    def matches(self, replica_id: ReplicaId) -> bool:
        """Return whether an address and disk identify this replica."""
        ip, disk_id = replica_id
        return self.ip == ip and self.disk_id in (0, disk_id)


class State(msgspec.Struct, array_like=True, frozen=True):
    """One state of the chain of chosen states.

    The field names are keys in the JSON of `mapleline archive dump`.

    Attributes:
        number: increases by one with each change, so that one chosen state exists for each number.
        system: the identity of the system, generated when the first voters were proposed; 0 before.
        epoch: increases with each change of the voters.
        voters: the replicas that vote.
        former: the previous voters, while a change is in progress: a quorum then needs a majority of both sets.
        config: the configuration in force.
        evacuated: zones whose servers get no requests, sorted.
        changed: for each zone that was ever evacuated, the number of the state that last changed it; sorted.
        past: the confirmed configurations by ascending version, the newest `MAX_PAST_VERSIONS` of them.
    """

    number: int
    system: int
    epoch: int
    voters: tuple[Replica, ...]
    former: tuple[Replica, ...] = ()
    config: ConfigurationRef | None = None
    evacuated: tuple[str, ...] = ()
    changed: tuple[tuple[str, int], ...] = ()
    past: tuple[ConfigurationRef, ...] = ()

    def all_voters(self) -> list[Replica]:
        """Return the voters, followed by the former voters that are not among them."""
        return list(dict.fromkeys((*self.voters, *self.former)))

    def has_quorum(self, replica_ids: Collection[ReplicaId]) -> bool:
        """Return whether these replicas include a majority of each voter set."""
        return all(has_majority(voters, replica_ids) for voters in (self.voters, self.former) if voters)

    def is_voter(self, ip: int, disk_id: int) -> bool:
        """Return whether that replica is one of `voters`."""
        return any(voter.ip == ip and voter.disk_id == disk_id for voter in self.voters)

    def without_past(self) -> State:
        """Return the state as sent to machines without a disk: they never propose, so they need no past versions."""
        return msgspec.structs.replace(self, past=())


class Replacement(NamedTuple):
    """The result of `replace_configuration`: the resulting state, and whether the content is confirmed."""

    state: State
    is_confirmed: bool


def has_majority(voters: Collection[Replica], replica_ids: Collection[ReplicaId]) -> bool:
    """Return whether these replicas are more than half of the voters."""
    present = sum(any(voter.matches(replica_id) for replica_id in replica_ids) for voter in voters)
    return present > len(voters) // 2


def content_digest(body: bytes) -> int:
    """Return the digest by which a configuration is referenced."""
    return int.from_bytes(blake2b(body, digest_size=DIGEST_BYTES).digest(), "big")


def has_contents(state: State | None, contents: Mapping[int, bytes]) -> bool:
    """Return whether there is a state and `contents` (by digest) has the body that it references."""
    return state is not None and (state.config is None or state.config.digest in contents)


def initial_state(seed_ips: Iterable[int]) -> State:
    """Return state 0, in which the seeds vote on the first voters.

    All processes derive it from the same seeds at the first start, so it needs no consensus.
    """
    return State(number=0, system=0, epoch=0, voters=tuple(Replica(ip, 0) for ip in sorted(set(seed_ips))))


def bootstrap(state: State, system: int, voters: Iterable[Replica]) -> State:
    """Set the system's identity and begin the change to its first voters; has an effect only in state 0."""
    if state.number:
        return state
    return begin_reconfiguration(msgspec.structs.replace(state, system=system), voters)


def begin_reconfiguration(state: State, voters: Iterable[Replica]) -> State:
    """Begin a change of the voters; has no effect while another change is in progress."""
    new_voters = tuple(sorted(voters))
    if state.former or new_voters == state.voters:
        return state
    return msgspec.structs.replace(
        state, number=state.number + 1, epoch=state.epoch + 1, voters=new_voters, former=state.voters
    )


def finish_reconfiguration(state: State) -> State:
    """Finish a change of the voters, if one is in progress.

    The state must be known to be chosen: otherwise, replicas that know only the former set and have not seen this state
    could decide without the new set.
    """
    if not state.former:
        return state
    return msgspec.structs.replace(state, number=state.number + 1, epoch=state.epoch + 1, former=())


def replace_configuration(state: State, version: int, digest: int) -> Replacement:
    """Put a configuration in force.

    The first content that is confirmed for a version is final.  A version lower than the one in force is confirmed
    without effect (docs/design/control.md, "Interpretations chosen").
    """
    past = dict(state.past)
    if version in past:
        return Replacement(state, past[version] == digest)
    confirmed = ConfigurationRef(version, digest)
    if state.config is None or version >= state.config.version:
        return Replacement(remember_version(state, confirmed, confirmed), True)
    if len(past) >= MAX_PAST_VERSIONS and version < min(past):
        return Replacement(state, True)  # older than all remembered versions: superseded, whatever its content
    return Replacement(remember_version(state, confirmed, state.config), True)


def remember_version(state: State, confirmed: ConfigurationRef, in_force: ConfigurationRef) -> State:
    """Return the successor in which `confirmed` is remembered and `in_force`, the same or a higher version, applies."""
    past = tuple(sorted((*state.past, confirmed))[-MAX_PAST_VERSIONS:])
    return msgspec.structs.replace(state, number=state.number + 1, config=in_force, past=past)


def set_evacuation(state: State, zone: str, is_evacuated: bool) -> State:
    """Evacuate a zone, or end its evacuation; has no effect if the zone is in that condition already."""
    if (zone in state.evacuated) == is_evacuated:
        return state
    number = state.number + 1
    evacuated = set(state.evacuated) ^ {zone}
    changed = dict(state.changed) | {zone: number}
    return msgspec.structs.replace(
        state, number=number, evacuated=tuple(sorted(evacuated)), changed=tuple(sorted(changed.items()))
    )
