"""Directed scenarios: each brings about one failure of the control side that operators reported.

`SCENARIOS` has how long each lasts, and its final fault.
"""

from . import many_changes, membership_changes, partitions, repetitions, rivals
from .registry import SCENARIOS

__all__ = ["SCENARIOS", "many_changes", "membership_changes", "partitions", "repetitions", "rivals"]
