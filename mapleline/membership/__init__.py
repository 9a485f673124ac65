"""Who is in the fleet: heartbeats kept as named numbers on the counter, read into one view (pure)."""

from .view import View, period_of

__all__ = ["View", "period_of"]
