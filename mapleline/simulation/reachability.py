"""Pure functions that compute which machines are connected to a majority of the control replicas."""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence

#: `is_partitioned(source, target)` tells whether messages of one machine do not reach the other; both are names
IsPartitioned = Callable[[str, str], bool]


def machines_with_majority(
    running: Collection[str],
    replicas: Collection[str],
    running_replicas: Collection[str],
    is_partitioned: IsPartitioned,
) -> set[str]:
    """Return the machines with a path in both directions, possibly over others, to more than half of the replicas.

    Args:
        running: Names of all machines whose process runs.
        replicas: Names of all control replicas, running or not.
        running_replicas: Names of the replicas whose process runs.
        is_partitioned: Whether a partition separates one machine from another.
    """
    majority = len(replicas) // 2 + 1
    if len(running_replicas) < majority:
        return set()
    reachable = {name: _reachable_from(name, running, is_partitioned) for name in running}
    return {
        name
        for name in running
        if sum(name in reachable[replica] and replica in reachable[name] for replica in running_replicas) >= majority
    }


def _reachable_from(start: str, running: Collection[str], is_partitioned: IsPartitioned) -> set[str]:
    """Return the machines that a message from `start` can reach, directly or forwarded by others."""
    found = {start}
    frontier = [start]
    while frontier:
        source = frontier.pop()
        neighbours = {name for name in running if name not in found and not is_partitioned(source, name)}
        found |= neighbours
        frontier += neighbours
    return found


def largest_connected_majority(
    operational: Sequence[str], replica_count: int, is_partitioned: IsPartitioned
) -> set[str]:
    """Return the largest group of operational replicas that are connected pairwise, in both directions.

    Groups are grown greedily from each replica, in the given order.

    Args:
        operational: Names of the replicas that run and whose disk is writable.
        replica_count: Number of all replicas.
        is_partitioned: Whether a partition separates one machine from another.

    Returns:
        The names of the group; empty if it is not more than half of the replicas.
    """
    largest: set[str] = set()
    for first in operational:
        group = [first]
        for candidate in operational:
            if candidate != first and _is_connected_to_all(candidate, group, is_partitioned):
                group.append(candidate)
        largest = max(largest, set(group), key=len)
    return largest if 2 * len(largest) > replica_count else set()


def _is_connected_to_all(candidate: str, group: list[str], is_partitioned: IsPartitioned) -> bool:
    return not any(is_partitioned(candidate, member) or is_partitioned(member, candidate) for member in group)
