"""The interface of one process to the outside: sockets, threads, a disk and the time of day.

`process_environment` implements it for a real process.  The simulation implements it with virtual resources, so that
whole nodes run on virtual time.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol, TypeVar

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred

    from ..http1 import BufferPool
    from .control.audit_log import AuditLog
    from .control.snapshot import ReplicaStore
    from .discovery.endpoints import EndpointList
    from .discovery.platform_client import PlatformClient
    from .proxy.upstream_pool import UpstreamPool
    from .transport import messages
    from .transport.connections import CallHandler, DatagramHandler
    from .transport.fencing import Fence

Result = TypeVar("Result")


class Environment(Protocol):
    """The interface of one process to the outside."""

    def listen(self, fence: Fence, on_datagram: DatagramHandler, on_call: CallHandler) -> None:
        """Receive messages of other ingresses; those that the fence accepts are passed to the handlers."""

    def send(self, ip: int, message: messages.Datagram) -> None:
        """Send a datagram to an ingress; it may be lost on its way."""

    def call(self, ip: int, message: messages.Call, timeout_s: float) -> Deferred[messages.Reply]:
        """Call an ingress; the result fires with the reply, or with an error if there is none within the time-out."""

    def run_in_thread(self, work: Callable[..., Result], *args: object) -> Deferred[Result]:
        """Run blocking work, such as disk access, in a thread; the result fires in the reactor's thread."""

    def unix_time(self) -> float:
        """Return the time of day in seconds since 1970; it may step, and may differ between machines."""

    def snapshot_store(self) -> ReplicaStore | None:
        """Return the store of the control state; None if the process has no disk."""

    def audit_log(self) -> AuditLog | None:
        """Return the audit log of commands; None if the process keeps none."""

    def upstream_pool(self, pool: BufferPool) -> UpstreamPool:
        """Return the pool of connections to the servers; their buffers are taken from `pool`."""

    def platform_client(self, endpoints: EndpointList, on_listed: Callable[[bool], None]) -> PlatformClient:
        """Return the client that fetches the endpoint list; the callback gets whether the list has changed."""
