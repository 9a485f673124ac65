"""Whether the ingress is ready, and which client connections it keeps.

A pure state machine: every method that needs the time takes it as an argument.  The listener, the management
port and the signal handlers share one instance (docs/design/daily-operation.md).
"""

from __future__ import annotations

from enum import Enum

#: Seconds from the first failing readiness check until no new connection arrives: the TCP load balancer in front
#: checks every 0.1 s and stops 0.2 s after a failure; the rest allows for a slow answer.
DRAIN_SETTLE_S = 0.5


class Phase(Enum):
    """The state of the process; the values are what operators read."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    SHUTTING_DOWN = "leaving"


class Lifecycle:
    """State of one process: starting, ready, draining, shutting down.

    All times are seconds on one monotonic clock.
    """

    def __init__(self, is_socket_shared: bool = False) -> None:
        """Start without a server list.

        Args:
            is_socket_shared: Whether another process may serve the same listening socket, before this process is
                ready and after it shuts down.
        """
        self.is_socket_shared = is_socket_shared
        self._has_servers = False
        self._drain_began_s: float | None = None
        self._shutdown_began_s: float | None = None
        self._is_listener_closed = False

    @property
    def phase(self) -> Phase:
        """The current state; a shutdown outranks a drain, and a drain outranks readiness."""
        if self._shutdown_began_s is not None:
            return Phase.SHUTTING_DOWN
        if self._drain_began_s is not None:
            return Phase.DRAINING
        return Phase.READY if self._has_servers else Phase.STARTING

    @property
    def is_ready(self) -> bool:
        """Whether this process is ready to serve."""
        return self.phase is Phase.READY

    @property
    def is_address_ready(self) -> bool:
        """Whether clients may connect to this address, whichever process serves it (`/health/ready`)."""
        was_draining = self._drain_began_s is not None
        return self.is_ready or (self._has_successor and not was_draining and self._has_servers)

    @property
    def accepts_connections(self) -> bool:
        """Whether this process accepts new connections."""
        if self.is_socket_shared:
            return self._has_servers and self._shutdown_began_s is None
        return not self._is_listener_closed

    @property
    def _has_successor(self) -> bool:
        """Whether this process shuts down and another process serves its socket."""
        return self.is_socket_shared and self._shutdown_began_s is not None

    def mark_servers_known(self) -> None:
        """Record that a server list fit for serving has arrived."""
        self._has_servers = True

    def drain(self, now_s: float) -> bool:
        """Stop attracting clients until `resume`; a repeated drain continues the first.

        Returns:
            Whether the order was accepted; it is not during a shutdown.
        """
        if self._shutdown_began_s is not None:
            return False
        if self._drain_began_s is None:
            self._drain_began_s = now_s
        return True

    def resume(self) -> bool:
        """End the drain, if there is one.

        Returns:
            Whether the order was accepted; it is not during a shutdown.
        """
        if self._shutdown_began_s is not None:
            return False
        self._drain_began_s = None
        return True

    def begin_shutdown(self, now_s: float) -> bool:
        """Begin the graceful shutdown.

        Returns:
            False if it had begun already.
        """
        if self._shutdown_began_s is not None:
            return False
        self._shutdown_began_s = now_s
        return True

    def mark_listener_closed(self) -> None:
        """Record that the listener is closed: open requests are finished and no others begin."""
        self._is_listener_closed = True

    @property
    def closes_after_answer(self) -> bool:
        """Whether a connection closes after the answer that is sent on it now."""
        return self._is_listener_closed or self._has_successor or self.phase is Phase.DRAINING

    def closes_idle_connections(self, now_s: float) -> bool:
        """Whether connections without an open request are to be closed now."""
        if self._is_listener_closed:
            return True
        if self._drain_began_s is None or self._shutdown_began_s is not None:
            return False
        return now_s - self._drain_began_s >= DRAIN_SETTLE_S
