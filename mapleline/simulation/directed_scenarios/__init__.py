"""Directed scenarios: each reproduces one failure of the replicated control state that operators reported.

`SCENARIOS` maps each scenario to its duration, final fault, load and size.
"""

from . import many_changes, membership_changes, partitions, repetitions, rivals
from .registry import SCENARIOS

__all__ = ["SCENARIOS", "many_changes", "membership_changes", "partitions", "repetitions", "rivals"]
