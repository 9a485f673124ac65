"""The operator's configuration as far as it is in force in the data plane."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..routing_table import RoutingTable


@dataclass(slots=True)
class RoutingState:
    """Shared by the parts of the data plane; the node replaces its members."""

    table: RoutingTable | None = None  #: routes, services and tenants
    evacuated_zones: set[str] = field(default_factory=set)
