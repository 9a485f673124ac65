"""Periodic upkeep of one node: idle connections, the settings file, and logs of tenants and of refused messages."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .context import NodeContext
    from .proxy.listener import Listener
    from .proxy.proxy import Proxy
    from .proxy.upstream_pool import UpstreamPool
    from .quota.consultation_log import ConsultationLog
    from .transport.fencing import Fence

logger = logging.getLogger(__name__)

SWEEP_INTERVAL_S = 0.5
IDLE_CONNECTIONS_WITHOUT_CONFIGURATION = 2
DEFAULT_MAX_CONNECTIONS = 100
"""Assumed `max_connections` where the configuration has no service."""
IDLE_SHARE = 3
"""A third of a service's connections, divided by all nodes, may rest idle at a server."""


class Housekeeping:
    """Sweeps what grows old."""

    def __init__(
        self,
        context: NodeContext,
        listeners: list[Listener],
        proxy: Proxy,
        upstream_pool: UpstreamPool,
        fence: Fence,
        consultation_log: ConsultationLog,
        reload_settings: Callable[[], None],
    ) -> None:
        """`reload_settings` takes over what has changed in the settings file."""
        self._context = context
        self._listeners = listeners
        self._proxy = proxy
        self._upstream_pool = upstream_pool
        self._fence = fence
        self._consultation_log = consultation_log
        self._reload_settings = reload_settings

    def run(self) -> None:
        """Sweep once, and set the timer of the next time."""
        self._context.reactor.callLater(SWEEP_INTERVAL_S, self.run)
        now = self._context.now()
        for listener in self._listeners:
            listener.close_idle_connections(now)
        self._upstream_pool.close_idle_connections(
            list(self._proxy.targets.values()), now, self._max_idle_connections()
        )
        self._reload_settings()
        self._consultation_log.log_if_due(now)
        refused = self._fence.new_drops()
        if refused:
            logger.info("messages refused", extra=refused)

    def _max_idle_connections(self) -> int:
        """Return how many connections to one server may rest idle here."""
        table = self._proxy.table
        if table is None:
            return IDLE_CONNECTIONS_WITHOUT_CONFIGURATION
        limit = min((service.max_connections for service in table.services.values()), default=DEFAULT_MAX_CONNECTIONS)
        node_count = max(1, len(self._context.membership.members))
        return max(1, limit // (IDLE_SHARE * node_count))
