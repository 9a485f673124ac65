"""Graceful shutdown: leave the directory, finish the requests in flight, then end the process."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .context import NodeContext
    from .control.control_plane import ControlPlane
    from .discovery.endpoint_poller import EndpointPoller
    from .heartbeats import HeartbeatExchange
    from .proxy.listener import Listener
    from .proxy.proxy import Proxy

logger = logging.getLogger(__name__)

FIRST_CHECK_SHARE = 0.25
"""Share of `grace_period` after which the process first checks whether it can end."""
EARLIEST_END_SHARE = 0.45
"""Share of `grace_period` before which the process does not end, because clients learn late that it is draining."""
END_MARGIN_S = 0.5
"""The process ends this long before the end of `grace_period`, even with requests in flight."""
CHECK_INTERVAL_S = 0.1


class GracefulShutdown:
    """Drains one node and then stops its event loop."""

    def __init__(
        self,
        context: NodeContext,
        listeners: list[Listener],
        proxy: Proxy,
        control_plane: ControlPlane,
        poller: EndpointPoller,
        heartbeats: HeartbeatExchange,
    ) -> None:
        """Create an inactive shutdown; `listeners` may grow until the shutdown begins."""
        self._context = context
        self._listeners = listeners
        self._proxy = proxy
        self._control_plane = control_plane
        self._poller = poller
        self._heartbeats = heartbeats
        self._grace_period_s = context.settings.protocol_bounds.grace_period
        self._began_at = 0.0
        self.is_draining = False

    def begin(self) -> None:
        """Start to drain; a second call does nothing."""
        if self.is_draining:
            return
        self.is_draining = True
        self._began_at = self._context.now()
        logger.info("draining", extra={"in_flight": len(self._proxy.requests_in_flight)})
        for listener in self._listeners:
            listener.is_draining = True
        self._heartbeats.refresh_own_row(self._began_at)
        self._poller.stop()
        self._heartbeats.broadcast()
        self._context.reactor.callLater(FIRST_CHECK_SHARE * self._grace_period_s, self._stop_when_drained)

    def _stop_when_drained(self) -> None:
        if self._is_over():
            logger.info("stopped", extra={"in_flight": len(self._proxy.requests_in_flight)})
            self._context.reactor.stop()
            return
        self._context.reactor.callLater(CHECK_INTERVAL_S, self._stop_when_drained)

    def _is_over(self) -> bool:
        elapsed_s = self._context.now() - self._began_at
        if elapsed_s > self._grace_period_s - END_MARGIN_S:
            return True
        is_drained = not self._proxy.requests_in_flight and self._control_plane.monitor.may_exit()
        return is_drained and elapsed_s > EARLIEST_END_SHARE * self._grace_period_s
