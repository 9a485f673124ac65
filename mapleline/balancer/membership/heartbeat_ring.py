"""Selection of the recipients of a heartbeat: members at growing distances on a hash ring (pure).

The members of the region form a ring, ordered by their ring positions.  Each heartbeat goes to two of them; the
distances to these cycle through 1, 2, 4, ... places.  An update reaches all of n members after about log2(n)
heartbeats.
Links between regions are expensive, so of all other regions at most one member is a recipient, and not of every
heartbeat.
"""

from __future__ import annotations

from collections.abc import Iterable

from .member import Member


def heartbeat_targets(
    local_ip: int, region: Iterable[Member], elsewhere: Iterable[Member], heartbeat_number: int
) -> list[int]:
    """Return the addresses of a heartbeat's recipients, without the sender's own.

    Args:
        local_ip: The address of the sender.
        region: The live members of its region, the sender included.
        elsewhere: The sender and the live members of other regions; empty if this heartbeat stays in the region.
        heartbeat_number: The number of this heartbeat, counted by the sender.
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
    """Return the members at these distances after the local one; a local member not on the ring counts as the first."""
    local_index = next((index for index, member in enumerate(ring) if member.ip == local_ip), 0)
    found = []
    for step in sorted(steps):
        if not ring:
            break
        index = (local_index + step) % len(ring)
        if index != local_index:
            found.append(ring[index].ip)
    return found
