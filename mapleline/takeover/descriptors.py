"""How many file descriptors a process may use while another process of its ingress may run as well (pure)."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DescriptorUse:
    """One process's use of file descriptors within the ingress's limit.

    Attributes:
        limit: The ingress's limit over all its processes.
        reserve: The descriptors that a process needs before it serves a client.
        in_use: The descriptors that this process has open.
        is_oldest: Whether this process is the oldest of those that run.
        is_leaving: Whether this process is shutting down.
    """

    limit: int
    reserve: int
    in_use: int
    is_oldest: bool
    is_leaving: bool


def descriptor_claim(use: DescriptorUse, others: Sequence[int]) -> int:
    """Return the number of descriptors that a process may use; `others` are the last read claims of the others.

    The sum stays within the limit if the oldest process publishes its reduced claim before a younger one raises its
    own; the oldest process never claims less than it has open.
    """
    if use.is_leaving:
        return max(use.reserve, use.in_use)
    if not others:
        return use.limit - use.reserve  # the reserve is for a process that may start at any time
    if use.is_oldest:
        return max(use.limit // 2, use.in_use)
    return max(use.reserve, use.limit - sum(others))
