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
from . import courier, messages
from .archive.snapshot import Snapshot, Store
from .catalogue import Catalogue
from .chronicle import Chronicle
from .fence import Fence
from .platform import Platform
from .servers import Servers
from .settings import Boot

HISTORY_PART = (1 << 20) // 8  # of the disk


class Ways:
    """Those of a real process."""

    def __init__(self, reactor: Any, boot: Boot) -> None:
        self.reactor, self.boot = reactor, boot
        self.port = boot.internal_port_range[0]
        self._datagrams: courier.Datagrams | None = None
        self._fence: Fence | None = None

    def open(
        self, fence: Fence, told: Callable[[int, messages.Datagram], None], called: Callable[[messages.Call], Any]
    ) -> None:
        """Listen to the other ingresses; `fence` says what of theirs is believed."""
        self._fence = fence
        self._datagrams = courier.Datagrams(self.port, fence, told)
        self.reactor.listenUDP(self.port, self._datagrams, interface=self.boot.ip_address, maxPacketSize=65536)
        self.reactor.listenTCP(self.port, courier.AnswerFactory(fence, called), interface=self.boot.ip_address)

    def send(self, ip: int, message: messages.Datagram) -> None:
        """May be lost on its way."""
        if self._datagrams is not None:
            self._datagrams.send(ip, message)

    def call(self, ip: int, message: messages.Call, timeout_s: float) -> Deferred:
        """Fires with the reply, or fails."""
        return courier.call(self.reactor, ip, self.port, self._fence, message, timeout_s)

    def in_thread(self, work: Callable[..., Any], *with_: Any) -> Deferred:
        """For what waits on the disk."""
        return deferToThread(work, *with_)

    def unix(self) -> float:
        """The time of day, in seconds; it may step, and differ from others'."""
        return time.time()

    def store(self) -> Store | None:
        return Snapshot(self.boot.data_directory) if self.boot.data_directory else None

    def history(self) -> Chronicle | None:
        most = self.boot.limits.disk_mb * HISTORY_PART
        return Chronicle(self.boot.data_directory, most) if self.boot.data_directory else None

    def servers(self, pool: BufferPool) -> Servers:
        return Servers(self.reactor, pool)

    def platform(self, catalogue: Catalogue, listed: Callable[[bool], None]) -> Platform:
        return Platform(self.reactor, self.boot, catalogue, listed)
