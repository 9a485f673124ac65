"""Zones ejected and readmitted by the fleet as one: evidence, quorum, hold-down, tiers (pure)."""

from .ejection import ZoneEjection, ZoneEjectionSettings, ZoneHealth
from .tiers import TierError, read_tiers

__all__ = ["TierError", "ZoneEjection", "ZoneEjectionSettings", "ZoneHealth", "read_tiers"]
