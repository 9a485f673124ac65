"""Wholes of the fleet divided into parts: claimed on the counter per epoch, used under a lease (pure)."""

from .claims import Budget, epoch_of, granted

__all__ = ["Budget", "epoch_of", "granted"]
