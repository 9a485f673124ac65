"""How many file descriptors a process may use while another may run beside it (pure)."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DescriptorUse:
    """One process's part in the ingress's limit of file descriptors.

    Attributes:
        limit: the ingress's limit, over all its processes.
        reserve: what a process needs before it serves anybody.
        in_use: what this process holds.
        is_elder: this process was there before the others.
        is_leaving: this process is shutting down.
    """

    limit: int
    reserve: int
    in_use: int
    is_elder: bool
    is_leaving: bool


def descriptor_claim(use: DescriptorUse, others: Sequence[int]) -> int:
    """Return the descriptors that a process may use from now on; `others` are the claims of the others, as last read.

    For the sum to stay within the limit, the elder must have published a claim before the younger raises its own by
    it; and the elder never goes below what it holds.
    """
    if use.is_leaving:
        return max(use.reserve, use.in_use)
    if not others:
        return use.limit - use.reserve  # the rest is for a process that may start at any moment
    if use.is_elder:
        return max(use.limit // 2, use.in_use)
    return max(use.reserve, use.limit - sum(others))
