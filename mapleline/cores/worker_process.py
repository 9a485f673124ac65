"""The supervisor's view of one worker: the process, its channel and the values that it last reported."""

from __future__ import annotations

import os
import socket
import sys
from collections.abc import Callable
from typing import TYPE_CHECKING

from twisted.internet.protocol import Factory, ProcessProtocol

from .channel import CHANNEL_FD, Channel
from .messages import Message, Report, decode_report
from .shared_memory import SHARED_MEMORY_FD

if TYPE_CHECKING:
    from twisted.python.failure import Failure

    from .reactor import ProcessTransport, Reactor

WORKER_MODULE = "mapleline.cores.worker"


class WorkerProcess(ProcessProtocol):
    """A worker's process and its channel.

    Attributes:
        number: Number of the worker; a replacement process keeps it.
        is_ready: Whether the worker is ready to serve.
        open_requests: Number of requests in flight, as last reported.
        counters: Telemetry counters of this process, as last reported.
    """

    transport: ProcessTransport | None  # type: ignore[assignment]  # Twisted's stub of the interface is unusable

    def __init__(
        self,
        number: int,
        on_report: Callable[[WorkerProcess, Report, socket.socket | None], None],
        on_exit: Callable[[WorkerProcess, Failure], None],
    ) -> None:
        """Prepare the channel.

        Args:
            number: Number of the worker.
            on_report: Called with each message of the worker and the socket that came with it, or None.
            on_exit: Called with the reason once the process has exited and the channel is closed.
        """
        self.number = number
        self.is_ready = False
        self.open_requests = 0
        self.counters: dict[str, int] = {}
        self._on_exit = on_exit
        self._exit_reason: Failure | None = None
        self._is_channel_closed = False
        self._channel: Channel[Report] = Channel(
            decode_report, lambda report, handle: on_report(self, report, handle), self._handle_disconnect
        )

    def start(self, reactor: Reactor, memory_fd: int) -> None:
        """Start the process; `memory_fd` is the descriptor of the shared memory that it inherits."""
        supervisor_end, worker_end = socket.socketpair()
        supervisor_end.setblocking(False)
        factory = Factory.forProtocol(lambda: self._channel)
        factory.noisy = False
        reactor.adoptStreamConnection(supervisor_end.fileno(), socket.AF_UNIX, factory)
        supervisor_end.close()
        flags = ["-O"] if sys.flags.optimize else []
        reactor.spawnProcess(
            self,
            sys.executable,
            [sys.executable, *flags, "-m", WORKER_MODULE],
            env=os.environ,
            childFDs={0: 0, 1: 1, 2: 2, CHANNEL_FD: worker_end.fileno(), SHARED_MEMORY_FD: memory_fd},
        )
        worker_end.close()

    @property
    def is_running(self) -> bool:
        """Whether the process has been started and has not exited."""
        return bool(self.transport and self.transport.pid)

    def send(self, message: Message, handle: socket.socket | None = None) -> None:
        """Send a message, with a duplicate of the socket `handle` if one is given."""
        self._channel.send(message, handle)

    def kill(self) -> None:
        """Kill the process with SIGKILL."""
        if self.transport is not None:
            self.transport.signalProcess("KILL")

    def processEnded(self, reason: Failure) -> None:  # noqa: N802  # called by Twisted
        """Called by Twisted when the process has exited."""
        self._exit_reason = reason
        self._notify_if_ended()

    def _handle_disconnect(self) -> None:
        self._is_channel_closed = True
        self._notify_if_ended()

    def _notify_if_ended(self) -> None:
        """Report the exit once the channel is closed as well: the last messages may be read after the exit is known."""
        if self._is_channel_closed and self._exit_reason is not None:
            self._on_exit(self, self._exit_reason)
