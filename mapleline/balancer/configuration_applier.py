"""Applies newly committed control states to the data plane."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from .configuration import ConfigurationError, parse_configuration
from .routing_table import RoutingTable

if TYPE_CHECKING:
    from collections.abc import Callable

    from .control.control_plane import ControlPlane
    from .control.state import State
    from .proxy.listener import Listener
    from .proxy.proxy import Proxy
    from .transport.fencing import Fence

logger = logging.getLogger(__name__)

#: Maximum number of tenants with changed limits that one log line names.
MAX_TENANTS_NAMED = 5


class ConfigurationApplier:
    """Applies the configuration and the evacuations of the committed state."""

    def __init__(
        self,
        control_plane: ControlPlane,
        fence: Fence,
        proxy: Proxy,
        front: Listener,
        on_home_regions_changed: Callable[[str, list[str]], None],
    ) -> None:
        """Create an applier that has not applied anything.

        Args:
            control_plane: provides the committed state.
            fence: gets the system's identity.
            proxy: gets the routing table and the evacuated zones.
            front: the clients' listener, which gets the limits of the configuration.
            on_home_regions_changed: called with each tenant whose home regions change, and its former home regions.
        """
        self._control_plane = control_plane
        self._fence = fence
        self._proxy = proxy
        self._front = front
        self._on_home_regions_changed = on_home_regions_changed

    def apply(self, before: State | None) -> None:
        """Apply the committed state; `before` is the state that it replaces, None for the first."""
        state = self._control_plane.state
        assert state is not None  # the control plane calls this only if there is one
        self._fence.system_id = state.system
        if not self._apply_configuration(before, state):
            return
        self._proxy.evacuated_zones = set(state.evacuated)
        changed_before = before.changed if before is not None else ()
        for zone, _ in {*state.changed} - {*changed_before}:
            if zone not in state.evacuated:
                self._proxy.on_evacuation_ended(zone)  # also if this node missed its beginning

    def _apply_configuration(self, before: State | None, state: State) -> bool:
        """Apply the state's configuration if it is new; return False if it cannot be parsed."""
        body = self._control_plane.committed.body
        is_new = before is None or before.config != state.config or self._proxy.table is None
        if body is None or not is_new:
            return True
        try:
            table = RoutingTable(parse_configuration(body))
        except ConfigurationError as error:
            logger.info("committed configuration cannot be read", extra={"error": str(error)})
            return False
        in_force = self._proxy.table
        self._proxy.table = table
        self._set_listener_limits(table)
        self._report_home_regions(in_force, table)
        changed_limits = _tenants_with_other_limits(in_force, table) if in_force is not None else []
        logger.info(
            "configuration in force",
            extra={
                "version": table.version,
                "tenants": len(table.tenants),
                "limits_changed": len(changed_limits),
                "limits_changed_of": changed_limits[:MAX_TENANTS_NAMED],
            },
        )
        return True

    def _report_home_regions(self, before: RoutingTable | None, after: RoutingTable) -> None:
        if before is None:
            return
        for name, tenant in after.tenants.items():
            former = before.tenants.get(name)
            if former is not None and former.home_regions != tenant.home_regions:
                self._on_home_regions_changed(name, former.home_regions)

    def _set_listener_limits(self, table: RoutingTable) -> None:
        limits = table.limits
        self._front.idle_timeout_s = limits.idle_timeout
        self._front.header_timeout_s = limits.header_timeout
        self._front.max_header_bytes = limits.max_header_bytes
        self._front.max_body_bytes = limits.max_body_bytes


def _tenants_with_other_limits(before: RoutingTable, after: RoutingTable) -> list[str]:
    """Return the tenants in both tables whose rate or burst differs."""
    return [
        name
        for name, tenant in after.tenants.items()
        if (former := before.tenants.get(name)) is not None
        and (former.rate_per_s, former.burst_size) != (tenant.rate_per_s, tenant.burst_size)
    ]
