"""Decides which change of the voters is due (pure; durations are arguments).

Every machine with a disk becomes a voter once its disk has the chosen state (until then it is a learner, without a
vote), provided that the voters then tolerate the configured faults.  A voter is removed when it shuts down gracefully,
is unreachable for long, or returns with another disk.  Changes are made one at a time, each agreed by majorities of
both voter sets (docs/design/control.md, point 3).
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from .state import Replica, State


@dataclass(frozen=True, slots=True)
class FaultTolerance:
    """The simultaneous losses after which a majority of the voters must remain.

    Attributes:
        machine_losses: number of machines, in any zones.
        zones: number of whole zones.
    """

    machine_losses: int
    zones: int


@dataclass(frozen=True, slots=True)
class ReplicaStatus:
    """The status of one machine with a disk, as the coordinator knows it.

    Attributes:
        replica: the machine, with the identity of its present disk.
        is_complete: whether its disk has the chosen state.
        is_leaving: whether it is shutting down gracefully.
        unreachable_s: seconds since its last heartbeat; 0 while it is alive.
    """

    replica: Replica
    is_complete: bool
    is_leaving: bool = False
    unreachable_s: float = 0.0

    @property
    def can_vote(self) -> bool:
        """Whether it may be added as a voter."""
        return self.is_complete and not self.is_leaving and not self.unreachable_s


def tolerates_faults(voters: Iterable[Replica], tolerance: FaultTolerance) -> bool:
    """Return whether a majority of the voters remains after any loss within the tolerance."""
    voters = list(voters)
    majority = len(voters) // 2 + 1
    zone_sizes = sorted(Counter(voter.zone for voter in voters).values(), reverse=True)
    lost_with_zones = sum(zone_sizes[: tolerance.zones])
    return len(voters) - max(tolerance.machine_losses, lost_with_zones) >= majority


def next_voters(
    state: State, statuses: Iterable[ReplicaStatus], tolerance: FaultTolerance, lost_after_s: float
) -> tuple[Replica, ...] | None:
    """Return the next set of voters, or None if the present one stays.

    The next set differs by one change, the first that applies: replace a voter whose address has another disk; add a
    voter; remove a leaving voter; remove a voter that was unreachable for more than `lost_after_s` seconds.
    """
    if state.former or not state.number:
        return None
    by_ip = {status.replica.ip: status for status in statuses}
    eligible = {ip: status.replica for ip, status in by_ip.items() if status.can_vote}
    voters = set(state.voters)
    changed = _replace_disk(voters, eligible)
    if changed is None:
        changed = _add_voter(voters, eligible, tolerance)
    if changed is None:
        changed = _remove_voter(voters, by_ip, tolerance, lost_after_s)
    return tuple(sorted(changed)) if changed is not None else None


def _replace_disk(voters: set[Replica], eligible: Mapping[int, Replica]) -> set[Replica] | None:
    for voter in sorted(voters):
        if voter.ip in eligible and eligible[voter.ip].disk_id != voter.disk_id:
            return voters - {voter} | {eligible[voter.ip]}
    return None


def _add_voter(voters: set[Replica], eligible: Mapping[int, Replica], tolerance: FaultTolerance) -> set[Replica] | None:
    """Add a voter, unless the set tolerates the configured faults now and would not with that voter."""
    is_tolerant = tolerates_faults(voters, tolerance)
    for ip in sorted(eligible.keys() - {voter.ip for voter in voters}):
        enlarged = voters | {eligible[ip]}
        if tolerates_faults(enlarged, tolerance) or not is_tolerant:
            return enlarged
    return None


def _remove_voter(
    voters: Collection[Replica],
    by_ip: Mapping[int, ReplicaStatus],
    tolerance: FaultTolerance,
    lost_after_s: float,
) -> set[Replica] | None:
    """Remove a voter, preferably a leaving one, if the remaining voters tolerate the configured faults."""

    def leaving_first(voter: Replica) -> tuple[bool, Replica]:
        is_leaving = voter.ip in by_ip and by_ip[voter.ip].is_leaving
        return not is_leaving, voter

    for voter in sorted(voters, key=leaving_first):
        status = by_ip.get(voter.ip)
        if status is None or not (status.is_leaving or status.unreachable_s > lost_after_s):
            continue
        remaining = set(voters) - {voter}
        if tolerates_faults(remaining, tolerance):
            return remaining
    return None
