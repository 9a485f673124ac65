"""The supervisor's listener: accepts connections and carries out the decisions of the dispatcher."""

from __future__ import annotations

import socket
import time
from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..telemetry import COUNTS
from .connection_dispatcher import ConnectionDispatcher, Offer
from .messages import ClaimReply, LoadReport, OfferConnection, RequestHandover

if TYPE_CHECKING:
    from twisted.python.failure import Failure

    from .reactor import Reactor
    from .worker_process import WorkerProcess

MAX_ACCEPTS_PER_TURN = 64  # per iteration of the reactor
# Connections accepted and not yet claimed.  The others stay in the kernel's queue, because each pending one uses a
# descriptor of the supervisor.
MAX_PENDING = 12


@dataclass(slots=True, frozen=True)
class PendingConnection:
    """A connection that no worker has claimed yet."""

    handle: socket.socket
    has_had_request: bool


class ConnectionAcceptor:
    """Accepts connections, offers them to the workers and moves some between them.

    The reactor reads the listener through this object: it implements Twisted's `IReadDescriptor`.
    """

    def __init__(
        self,
        reactor: Reactor,
        dispatcher: ConnectionDispatcher,
        workers: Mapping[int, WorkerProcess],
    ) -> None:
        """Prepare to listen.

        Args:
            reactor: Reactor that watches the listener.
            dispatcher: Decides which worker is offered which connection.
            workers: Workers by number; the caller keeps the mapping up to date.
        """
        self._reactor = reactor
        self._dispatcher = dispatcher
        self._workers = workers
        self._listener: socket.socket | None = None
        self._pending: dict[int, PendingConnection] = {}
        self._last_connection = 0  # number of the connection registered last
        self._is_reading = False
        self._is_started = False
        self._is_closed = False

    # --- the listener

    def listen(self, host: str, port: int, backlog: int) -> None:
        """Open the listener; no connection is accepted before `start`.

        Raises:
            OSError: The listener cannot be bound to the address.
        """
        self._listener = socket.create_server((host, port), backlog=backlog)
        self._listener.setblocking(False)

    @property
    def address(self) -> tuple[str, int]:
        """Host and port to which the listener is bound."""
        host, port = self._open_listener().getsockname()[:2]
        return host, port

    def _open_listener(self) -> socket.socket:
        if self._listener is None:
            raise RuntimeError("the listener is not open yet")
        return self._listener

    def start(self) -> None:
        """Start to accept connections."""
        self._is_started = True
        self._set_reading(True)

    def resume_if_possible(self) -> None:
        """Resume accepting after a pause, if fewer than `MAX_PENDING` connections are pending."""
        if self._is_started and not self._is_closed and len(self._pending) < MAX_PENDING:
            self._set_reading(True)

    def close(self) -> None:
        """Accept the connections in the kernel's queue and close the listener."""
        self.doRead()
        self._is_closed = True
        self._set_reading(False)
        self._open_listener().close()

    def close_pending(self) -> None:
        """Close the connections that no worker has claimed."""
        for pending in self._pending.values():
            pending.handle.close()

    def _set_reading(self, is_reading: bool) -> None:
        if is_reading == self._is_reading:
            return
        self._is_reading = is_reading
        if is_reading:
            self._reactor.addReader(self)
        else:
            self._reactor.removeReader(self)

    def fileno(self) -> int:
        """Called by the reactor: returns the listener's descriptor."""
        return self._open_listener().fileno()

    def logPrefix(self) -> str:  # noqa: N802  # called by Twisted
        """Called by the reactor: returns the name of this reader in log lines."""
        return "listener"

    def connectionLost(self, reason: Failure) -> None:
        """Called by the reactor when it stops."""

    def doRead(self) -> None:  # noqa: N802  # called by Twisted
        """Called by the reactor when connections are queued: accepts them until `MAX_PENDING` are pending."""
        listener = self._open_listener()
        for _ in range(MAX_ACCEPTS_PER_TURN):
            try:
                handle, _ = listener.accept()
            except BlockingIOError:
                return
            except OSError:
                COUNTS["cores.accept_failed"] += 1
                self._set_reading(False)  # no descriptor is free; the supervisor's next tick resumes
                return
            COUNTS["cores.accepted"] += 1
            handle.setblocking(False)
            connection = self._add_pending(handle, has_had_request=False)
            self._send_offers(self._dispatcher.add_connection(connection, _now_ns()))
            if len(self._pending) >= MAX_PENDING:
                self._set_reading(False)
                return

    # --- offers

    def _add_pending(self, handle: socket.socket, has_had_request: bool) -> int:
        """Register a connection and return its number."""
        self._last_connection += 1
        self._pending[self._last_connection] = PendingConnection(handle, has_had_request)
        return self._last_connection

    def _send_offers(self, offers: list[Offer]) -> None:
        for offer in offers:
            pending = self._pending[offer.connection]
            message = OfferConnection(offer.connection, pending.has_had_request)
            self._workers[offer.worker].send(message, pending.handle)

    def add_worker(self, worker: WorkerProcess) -> None:
        """Offer connections to a worker that is ready."""
        self._send_offers(self._dispatcher.add_worker(worker.number, _now_ns()))

    def remove_worker(self, worker: WorkerProcess) -> None:
        """Offer the unclaimed connections of a worker that has exited to other workers."""
        self._send_offers(self._dispatcher.remove_worker(worker.number, _now_ns()))

    def forget_worker(self, worker: WorkerProcess) -> None:
        """Remove a worker that has shut down as requested, without offering its connections to others."""
        self._dispatcher.remove_worker(worker.number, _now_ns())

    def handle_report(self, worker: WorkerProcess, report: LoadReport) -> None:
        """Process the periodic report of a worker."""
        offers = self._dispatcher.record_report(worker.number, report.released, report.load, report.is_full, _now_ns())
        self._send_offers(offers)

    def handle_claim(self, worker: WorkerProcess, connection: int) -> None:
        """Grant or deny a worker's claim."""
        is_granted = self._dispatcher.claim(worker.number, connection)
        worker.send(ClaimReply(connection, is_granted))
        if is_granted:
            self._pending.pop(connection).handle.close()
            self.resume_if_possible()
        else:
            COUNTS["cores.claimed_late"] += 1

    def handle_refusal(self, worker: WorkerProcess, connection: int) -> None:
        """Offer a connection that a worker refused to other workers."""
        COUNTS["cores.refused"] += 1
        self._send_offers(self._dispatcher.refuse(worker.number, connection, _now_ns()))

    def handle_handover(self, worker: WorkerProcess, handle: socket.socket, load: float) -> None:
        """Offer a connection that a worker handed over to another worker."""
        COUNTS["cores.moved"] += 1
        connection = self._add_pending(handle, has_had_request=True)
        self._send_offers(self._dispatcher.add_handed_over(worker.number, connection, load, _now_ns()))

    # --- periodic work

    def revoke_expired_offers(self) -> None:
        """Offer the connections that a stalled worker left unclaimed to other workers."""
        revoked_before = self._dispatcher.revoked
        self._send_offers(self._dispatcher.revoke_expired_offers(_now_ns()))
        COUNTS["cores.offers_revoked"] += self._dispatcher.revoked - revoked_before

    def rebalance(self) -> None:
        """Ask the worker with the most load to hand over a connection, if the load is uneven."""
        handover = self._dispatcher.plan_handover()
        if handover is not None:
            self._workers[handover.worker].send(RequestHandover(handover.target_load))


def _now_ns() -> int:
    return time.monotonic_ns()
