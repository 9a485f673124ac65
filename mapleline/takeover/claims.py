"""How many descriptors a process may use while another may be beside it; pure."""

from __future__ import annotations

from collections.abc import Sequence


def claim(total: int, start: int, held: int, elder: bool, leaving: bool, others: Sequence[int]) -> int:
    """The descriptors that this process may use from now on.

    `total` is the ingress's limit, `start` what a process needs before it serves anybody, `held` what this
    one holds; `elder`: it was there before the others, whose claims, as last read, are `others`.

    For the sum to stay within `total` the elder must have published a claim before the younger raises its own
    by it, and never goes below what it holds.
    """
    if leaving:
        return max(start, held)
    if not others:
        return total - start  # what is left is for a process that may start at any moment
    if elder:
        return max(total // 2, held)
    return max(start, total - sum(others))
