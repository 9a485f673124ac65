"""Checker of the fault rig: finds rule violations in a fleet's logs, without any other knowledge of the run.

The package does no I/O: it takes the events of every log and returns the violations, each with the name of its rule.
The rules are those of docs/fleet.md; a function `check_RULE` implements each, and its docstring states the rule.
"""

from .budgets import BudgetEpoch, EpochSpending, shares_by_epoch, spent_by_epoch
from .history import Event, Logs
from .judge import judge
from .quota import QuotaOutcome, measure_quotas
from .violation import Violation

__all__ = [
    "BudgetEpoch",
    "EpochSpending",
    "Event",
    "Logs",
    "QuotaOutcome",
    "Violation",
    "judge",
    "measure_quotas",
    "shares_by_epoch",
    "spent_by_epoch",
]
