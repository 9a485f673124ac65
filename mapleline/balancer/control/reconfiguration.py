"""Decides which change of the voters is due (pure; durations are arguments).

Every machine with a disk becomes a voter once its disk holds what is chosen (until then it is a learner, without a
vote), as long as the voters then tolerate the configured faults.  A voter is removed when it shuts down gracefully, is
lost for long, or came back with another disk.  Changes come one at a time, each agreed by majorities of both sets
(docs/design/control.md, point 3).
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from .state import Replica, State


@dataclass(frozen=True, slots=True)
class FaultTolerance:
    """What may be lost at once while a majority of the voters has to remain.

    Attributes:
        machine_losses: machines, of any zones.
        zones: whole zones.
    """

    machine_losses: int
    zones: int


@dataclass(frozen=True, slots=True)
class ReplicaStatus:
    """One machine with a disk, as the node that sees to the voters knows it.

    Attributes:
        replica: the machine, with the identity of the disk that it has now.
        is_complete: its disk holds what is chosen.
        is_leaving: it is shutting down gracefully.
        unreachable_s: for how long nothing was heard of it; 0 while it is alive.
    """

    replica: Replica
    is_complete: bool
    is_leaving: bool = False
    unreachable_s: float = 0.0

    @property
    def can_vote(self) -> bool:
        """Whether it may be let in as a voter."""
        return self.is_complete and not self.is_leaving and not self.unreachable_s


def tolerates_faults(voters: Iterable[Replica], tolerance: FaultTolerance) -> bool:
    """Return whether a majority of the voters remains after any loss that is to be tolerated."""
    voters = list(voters)
    majority = len(voters) // 2 + 1
    sizes_of_zones = sorted(Counter(voter.zone for voter in voters).values(), reverse=True)
    lost_with_zones = sum(sizes_of_zones[: tolerance.zones])
    return len(voters) - max(tolerance.machine_losses, lost_with_zones) >= majority


def next_voters(
    state: State, statuses: Iterable[ReplicaStatus], tolerance: FaultTolerance, lost_after_s: float
) -> tuple[Replica, ...] | None:
    """Return the next set of voters, or None where the present one is to stay.

    One change, the first that applies: replace a voter whose address has another disk; add a voter; remove one that
    is leaving; remove one that was unreachable for more than `lost_after_s` seconds.
    """
    if state.former or not state.number:
        return None
    by_ip = {status.replica.ip: status for status in statuses}
    able = {ip: status.replica for ip, status in by_ip.items() if status.can_vote}
    voters = set(state.voters)
    changed = _replace_disk(voters, able)
    if changed is None:
        changed = _add_voter(voters, able, tolerance)
    if changed is None:
        changed = _remove_voter(voters, by_ip, tolerance, lost_after_s)
    return tuple(sorted(changed)) if changed is not None else None


def _replace_disk(voters: set[Replica], able: Mapping[int, Replica]) -> set[Replica] | None:
    for voter in sorted(voters):
        if voter.ip in able and able[voter.ip].disk_id != voter.disk_id:
            return voters - {voter} | {able[voter.ip]}
    return None


def _add_voter(voters: set[Replica], able: Mapping[int, Replica], tolerance: FaultTolerance) -> set[Replica] | None:
    """Add a voter unless the set would then no longer tolerate what it tolerates now."""
    is_tolerant = tolerates_faults(voters, tolerance)
    for ip in sorted(able.keys() - {voter.ip for voter in voters}):
        larger = voters | {able[ip]}
        if tolerates_faults(larger, tolerance) or not is_tolerant:
            return larger
    return None


def _remove_voter(
    voters: Collection[Replica],
    by_ip: Mapping[int, ReplicaStatus],
    tolerance: FaultTolerance,
    lost_after_s: float,
) -> set[Replica] | None:
    """Remove a voter, one that is leaving first, if the rest tolerates the next loss."""

    def leaving_first(voter: Replica) -> tuple[bool, Replica]:
        is_leaving = voter.ip in by_ip and by_ip[voter.ip].is_leaving
        return not is_leaving, voter

    for voter in sorted(voters, key=leaving_first):
        status = by_ip.get(voter.ip)
        if status is None or not (status.is_leaving or status.unreachable_s > lost_after_s):
            continue
        rest = set(voters) - {voter}
        if tolerates_faults(rest, tolerance):
            return rest
    return None
