"""What one process has of the outside: sockets, threads, a disk and the time of day.

`process_environment` implements it for a real process; the simulation implements it with virtual ones, so that whole
nodes run on a clock of their own.
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
    """The outside of one process."""

    def listen(self, fence: Fence, on_datagram: DatagramHandler, on_call: CallHandler) -> None:
        """Receive what other ingresses send; the fence decides what of it reaches the handlers."""

    def send(self, ip: int, message: messages.Datagram) -> None:
        """Send a datagram to an ingress; it may be lost on its way."""

    def call(self, ip: int, message: messages.Call, timeout_s: float) -> Deferred[messages.Reply]:
        """Call an ingress; the result fires with the reply, or with why there is none within the time-out."""

    def run_in_thread(self, work: Callable[..., Result], *args: object) -> Deferred[Result]:
        """Run what waits for the disk in a thread; the result fires in the reactor's."""

    def unix_time(self) -> float:
        """Return the time of day in seconds since 1970; it may step, and differ from other machines'."""

    def snapshot_store(self) -> ReplicaStore | None:
        """Return the store of the control state; None without a disk."""

    def audit_log(self) -> AuditLog | None:
        """Return the audit log of commands; None where none is kept."""

    def upstream_pool(self, pool: BufferPool) -> UpstreamPool:
        """Return the connections to the servers; their buffers are taken from the pool."""

    def platform_client(self, endpoints: EndpointList, on_listed: Callable[[bool], None]) -> PlatformClient:
        """Return the client that fetches the endpoint list; the callback gets whether a new list differs."""
