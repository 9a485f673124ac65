"""The environment of a real process: its reactor's sockets, threads, the disk and the system's clock."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol, TypeVar

from twisted.internet.threads import deferToThread

from .clock import Reactor
from .control.audit_log import AuditLog
from .control.snapshot import SnapshotStore
from .discovery.platform_client import PlatformClient
from .proxy.upstream_pool import UpstreamPool
from .transport.connections import CalleeFactory, DatagramSocket, OutgoingCall

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred
    from twisted.internet.protocol import DatagramProtocol

    from ..http1 import BufferPool
    from .control.snapshot import ReplicaStore
    from .discovery.endpoints import EndpointList
    from .settings import Settings
    from .transport import messages
    from .transport.connections import CallHandler, DatagramHandler
    from .transport.fencing import Fence

AUDIT_LOG_BYTES_PER_MB = (1 << 20) // 8  #: an eighth of the disk space that the settings allow
MAX_DATAGRAM_BYTES = 65536  #: more than the largest UDP datagram

Result = TypeVar("Result")


class SocketReactor(Reactor, Protocol):
    """A reactor that also receives datagrams."""

    def listenUDP(self, port: int, protocol: DatagramProtocol, interface: str, maxPacketSize: int) -> object:  # noqa: N803  # Twisted's name
        """Receive datagrams at a port of an address."""


class ProcessEnvironment:
    """Implements `Environment` for a real process."""

    def __init__(self, reactor: SocketReactor, settings: Settings) -> None:
        """Create the environment; `listen` opens the sockets."""
        self._reactor = reactor
        self._settings = settings
        self._port = settings.internal_port_range[0]
        self._datagrams: DatagramSocket | None = None
        self._fence: Fence | None = None

    def listen(self, fence: Fence, on_datagram: DatagramHandler, on_call: CallHandler) -> None:
        """Receive datagrams and calls on the first internal port."""
        host = self._settings.ip_address
        self._fence = fence
        self._datagrams = DatagramSocket(self._port, fence, on_datagram)
        self._reactor.listenUDP(self._port, self._datagrams, interface=host, maxPacketSize=MAX_DATAGRAM_BYTES)
        self._reactor.listenTCP(self._port, CalleeFactory(fence, on_call), interface=host)

    def send(self, ip: int, message: messages.Datagram) -> None:
        """Send a datagram to an ingress; it may be lost on its way.  Before `listen` it is discarded."""
        if self._datagrams is not None:
            self._datagrams.send(ip, message)

    def call(self, ip: int, message: messages.Call, timeout_s: float) -> Deferred[messages.Reply]:
        """Call an ingress; the result fires with the reply, or with an error if there is none within the time-out.

        Raises:
            RuntimeError: `listen` has not been called.
        """
        if self._fence is None:
            raise RuntimeError("call() before listen()")
        return OutgoingCall(self._fence, ip, message).start(self._reactor, self._port, timeout_s)

    def run_in_thread(self, work: Callable[..., Result], *args: object) -> Deferred[Result]:
        """Run blocking work, such as disk access, in a thread of the reactor's pool."""
        return deferToThread(work, *args)

    def unix_time(self) -> float:
        """Return the time of day in seconds since 1970; it may step, and may differ between machines."""
        return time.time()

    def snapshot_store(self) -> ReplicaStore | None:
        """Return the store in the data directory; None if the settings name none."""
        if not self._settings.data_directory:
            return None
        return SnapshotStore(self._settings.data_directory)

    def audit_log(self) -> AuditLog | None:
        """Return the audit log in the data directory; None if the settings name none."""
        if not self._settings.data_directory:
            return None
        max_bytes = self._settings.limits.disk_mb * AUDIT_LOG_BYTES_PER_MB
        return AuditLog(self._settings.data_directory, max_bytes)

    def upstream_pool(self, pool: BufferPool) -> UpstreamPool:
        """Return the pool of connections to the servers; their buffers are taken from `pool`."""
        return UpstreamPool(self._reactor, pool)

    def platform_client(self, endpoints: EndpointList, on_listed: Callable[[bool], None]) -> PlatformClient:
        """Return the client of the platform's API; the settings have its address."""
        return PlatformClient(self._reactor, self._settings, endpoints, on_listed)
