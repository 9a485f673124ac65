"""Fleet-wide ejection and readmission of zones: evidence, quorum, hold-down and tiers (pure)."""

from .ejection import ZoneEjection, ZoneEjectionSettings, ZoneHealth
from .tiers import TierError, read_tiers

__all__ = ["TierError", "ZoneEjection", "ZoneEjectionSettings", "ZoneHealth", "read_tiers"]
