"""The zones and regions of the system, and the distance between two members (pure)."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .membership.member import Member
    from .settings import Settings


@dataclass(frozen=True, slots=True)
class Topology:
    """The zones of the system; `Member.zone` is an index into their sorted names."""

    zone_names: list[str]
    region_by_zone: dict[str, str]
    region: str
    """The region of this node."""

    @classmethod
    def from_settings(cls, settings: Settings) -> Topology:
        """Build the topology from a node's settings."""
        return cls(sorted(settings.zones), settings.zones, settings.region)

    def zone_index(self, zone: str) -> int:
        """Return the index that stands for this zone in members."""
        return self.zone_names.index(zone)

    def local_zones(self) -> set[int]:
        """Return the indexes of the zones in this node's region."""
        return {index for index, zone in enumerate(self.zone_names) if self.region_by_zone[zone] == self.region}

    def is_local(self, member: Member) -> bool:
        """Return whether the member is in this node's region."""
        return self.region_by_zone[self.zone_names[member.zone]] == self.region

    def distance(self, member: Member, other: Member) -> tuple[bool, bool, int]:
        """Return the distance of two members as a sort key: other region, other zone, distance on the hash ring.

        The last part spreads load evenly over members in the same zone or region.
        """
        zone, other_zone = self.zone_names[member.zone], self.zone_names[other.zone]
        is_other_region = self.region_by_zone[zone] != self.region_by_zone[other_zone]
        return is_other_region, zone != other_zone, member.ring_position ^ other.ring_position
