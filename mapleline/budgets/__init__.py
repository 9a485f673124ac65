"""Fleet-wide budgets, divided into shares that are claimed on the counter per epoch and used under a lease (pure)."""

from .claims import Budget, epoch_of, granted
from .shares import BudgetShares, EndedEpoch, LeasedInterval

__all__ = ["Budget", "BudgetShares", "EndedEpoch", "LeasedInterval", "epoch_of", "granted"]
