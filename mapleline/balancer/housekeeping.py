"""Periodic maintenance of one node: idle connections, the settings file, and logs of tenants and dropped messages."""

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
"""Assumed `max_connections` if the configuration has no service."""
IDLE_SHARE_DIVISOR = 3
"""The idle connections of all nodes to a server together are at most 1 / `IDLE_SHARE_DIVISOR` of `max_connections`."""


class Housekeeping:
    """Closes idle connections, reloads the settings and writes periodic logs."""

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
        """Create the tasks; `reload_settings` applies changes of the settings file."""
        self._context = context
        self._listeners = listeners
        self._proxy = proxy
        self._upstream_pool = upstream_pool
        self._fence = fence
        self._consultation_log = consultation_log
        self._reload_settings = reload_settings

    def run(self) -> None:
        """Run all tasks once, and set the timer for the next run."""
        self._context.reactor.callLater(SWEEP_INTERVAL_S, self.run)
        now = self._context.now()
        for listener in self._listeners:
            listener.close_idle_connections(now)
        self._upstream_pool.close_idle_connections(
            list(self._proxy.targets.values()), now, self._max_idle_connections()
        )
        self._reload_settings()
        self._consultation_log.log_if_due(now)
        drops = self._fence.new_drops()
        if drops:
            logger.info("messages refused", extra=drops)

    def _max_idle_connections(self) -> int:
        """Return the maximum number of idle connections of this node to one server."""
        table = self._proxy.table
        if table is None:
            return IDLE_CONNECTIONS_WITHOUT_CONFIGURATION
        limit = min((service.max_connections for service in table.services.values()), default=DEFAULT_MAX_CONNECTIONS)
        node_count = max(1, len(self._context.membership.members))
        return max(1, limit // (IDLE_SHARE_DIVISOR * node_count))
