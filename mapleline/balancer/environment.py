"""What one process has of the outside: sockets, threads, a disk and the time of day.

The laboratory puts its own in their place (`lab/world.py`), so that whole nodes play on a clock of their own.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.threads import deferToThread

from ..http1.buffers import BufferPool
from .control.audit_log import AuditLog
from .control.snapshot import Snapshot, Store
from .discovery.endpoints import EndpointList
from .discovery.platform_client import PlatformClient
from .proxy.upstream import UpstreamPool
from .settings import Settings
from .transport import connections, messages
from .transport.fencing import Fence

HISTORY_PART = (1 << 20) // 8  # of the disk


class Environment:
    """Those of a real process."""

    def __init__(self, reactor: Any, settings: Settings) -> None:
        self.reactor, self.settings = reactor, settings
        self.port = settings.internal_port_range[0]
        self._datagrams: connections.Datagrams | None = None
        self._fence: Fence | None = None

    def open(
        self, fence: Fence, told: Callable[[int, messages.Datagram], None], called: Callable[[messages.Call], Any]
    ) -> None:
        """Listen to the other ingresses; `fence` says what of theirs is believed."""
        self._fence = fence
        self._datagrams = connections.Datagrams(self.port, fence, told)
        self.reactor.listenUDP(self.port, self._datagrams, interface=self.settings.ip_address, maxPacketSize=65536)
        self.reactor.listenTCP(self.port, connections.AnswerFactory(fence, called), interface=self.settings.ip_address)

    def send(self, ip: int, message: messages.Datagram) -> None:
        """May be lost on its way."""
        if self._datagrams is not None:
            self._datagrams.send(ip, message)

    def call(self, ip: int, message: messages.Call, timeout_s: float) -> Deferred:
        """Fires with the reply, or fails."""
        return connections.call(self.reactor, ip, self.port, self._fence, message, timeout_s)

    def in_thread(self, work: Callable[..., Any], *with_: Any) -> Deferred:
        """For what waits on the disk."""
        return deferToThread(work, *with_)

    def unix(self) -> float:
        """The time of day, in seconds; it may step, and differ from others'."""
        return time.time()

    def store(self) -> Store | None:
        return Snapshot(self.settings.data_directory) if self.settings.data_directory else None

    def history(self) -> AuditLog | None:
        most = self.settings.limits.disk_mb * HISTORY_PART
        return AuditLog(self.settings.data_directory, most) if self.settings.data_directory else None

    def servers(self, pool: BufferPool) -> UpstreamPool:
        return UpstreamPool(self.reactor, pool)

    def platform(self, endpoints: EndpointList, listed: Callable[[bool], None]) -> PlatformClient:
        return PlatformClient(self.reactor, self.settings, endpoints, listed)
