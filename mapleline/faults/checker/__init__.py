"""The checker: judges a fleet's history from its logs alone, as an operator could.

Pure: it reads the events of every log and returns the violations, each with the name of its rule.  The rules are
those of docs/fleet.md; each is a function `check_RULE`, whose docstring says it.
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
