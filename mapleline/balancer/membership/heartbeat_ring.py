"""Whom an ingress sends its heartbeats to: members at growing distances on a hash ring (pure).

Of the members of the region, in the order of their ring positions, two get each heartbeat: those that lie 1, 2, 4, ...
places further, by turns.  News has reached all of n members after about log2(n) heartbeats.  Links between regions are
dear, so of all other regions one member is enough, and not with each heartbeat.
"""

from __future__ import annotations

from collections.abc import Iterable

from .member import Member


def heartbeat_targets(
    local_ip: int, region: Iterable[Member], elsewhere: Iterable[Member], heartbeat_number: int
) -> list[int]:
    """Return the addresses that a heartbeat goes to, without the sender's own.

    Args:
        local_ip: The sender.
        region: The live members of its region, the sender included.
        elsewhere: The sender and the live members of other regions; empty where this heartbeat stays in the region.
        heartbeat_number: Counts the sender's heartbeats.
    """
    ring = _in_ring_order(region)
    distances = max(1, len(ring).bit_length() - 1)
    steps = {
        1 << heartbeat_number % distances,
        1 << (heartbeat_number + distances // 2) % distances,
    }
    return _successors(ring, local_ip, steps) + _successors(_in_ring_order(elsewhere), local_ip, {1})


def _in_ring_order(members: Iterable[Member]) -> list[Member]:
    return sorted(members, key=lambda member: (member.ring_position, member.ip))


def _successors(ring: list[Member], local_ip: int, steps: set[int]) -> list[int]:
    """Return who lies so many places after the local member; a member that is not on the ring stands first."""
    local_index = next((index for index, member in enumerate(ring) if member.ip == local_ip), 0)
    found = []
    for step in sorted(steps):
        if not ring:
            break
        index = (local_index + step) % len(ring)
        if index != local_index:
            found.append(ring[index].ip)
    return found
