"""The operator's configuration in force in the data plane."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..routing_table import RoutingTable


@dataclass(slots=True)
class RoutingState:
    """Routing state shared by the components of the data plane; the node replaces its attributes."""

    table: RoutingTable | None = None  #: routes, services and tenants; None until there is a configuration
    evacuated_zones: set[str] = field(default_factory=set)
