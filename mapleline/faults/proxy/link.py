"""One link `from>to` of the fleet: accepts connections of `from` and relays each over a connection to `to`.

The link's fault acts on both directions of all connections, existing and new.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TYPE_CHECKING

from twisted.internet.protocol import ServerFactory

from ..addresses import LOOPBACK
from ..modes import LinkMode
from ..reactor import ListeningPort, Reactor
from .fault import CUT_MODES, LinkFault
from .relay import ClientSide, RelayedConnection

if TYPE_CHECKING:
    from twisted.internet.interfaces import IAddress


class Link(ServerFactory):
    """A listening socket, its target and the connections between them.

    Attributes:
        name: Name of the link, `from>to`.
        target_port: Port on loopback of the target; it may change while the link runs.
        reactor: The event loop.
        fault: Current fault; None without one.
        connections: The open connections.
        on_unanswered_request: Called for each request that is sent while no answer is possible.
    """

    def __init__(
        self,
        name: str,
        target_port: int,
        reactor: Reactor,
        on_unanswered_request: Callable[[], None] | None = None,
    ) -> None:
        """Initialise without a fault; `listen` opens the socket."""
        self.name = name
        self.target_port = target_port
        self.reactor = reactor
        self.on_unanswered_request = on_unanswered_request
        self.fault: LinkFault | None = None
        self.connections: set[RelayedConnection] = set()
        self._random = random.Random(0)
        self._port: ListeningPort | None = None

    def listen(self) -> int:
        """Accept connections on any free port and return the port."""
        self._port = self.reactor.listenTCP(0, self, interface=LOOPBACK)
        return self._port.getHost().port

    def buildProtocol(self, addr: IAddress | None) -> ClientSide:
        """Return the protocol of a new connection."""
        return ClientSide(self)

    def begin_fault(self, fault: LinkFault) -> None:
        """Apply a fault from now on, in place of any other."""
        self.fault = fault
        self._random = random.Random(fault.seed)
        connections = list(self.connections)
        if fault.mode == LinkMode.RESET:
            for connection in connections:
                connection.abort()
            return
        if fault.mode == LinkMode.BLACKHOLE:
            for connection in connections:
                connection.drop_chunks()
        for connection in connections:
            connection.flush()

    def end_fault(self) -> None:
        """End the fault and relay again; connections that the fault has broken are reset."""
        fault, self.fault = self.fault, None
        connections = list(self.connections)
        if fault is not None and fault.mode == LinkMode.BLACKHOLE:
            for connection in connections:
                connection.abort()
            return
        if fault is not None and fault.mode in CUT_MODES:
            for connection in connections:
                if not connection.is_dialled:
                    connection.abort()  # accepted while the link was cut
        for connection in connections:
            connection.flush()

    def blocks(self, is_upward: bool) -> bool:
        """Return whether bytes in a direction are held back; upward is from the client to the server."""
        return self.fault is not None and self.fault.blocks(is_upward)

    def is_unreachable(self) -> bool:
        """Return whether no new connection is established."""
        return self.fault is not None and self.fault.is_unreachable

    def due_time(self, size_bytes: int, previous_due: float) -> float:
        """Return when a chunk that arrives now may be forwarded, in seconds of the reactor's clock.

        A chunk is never due before the previous one, so that the bytes keep their order.

        Args:
            size_bytes: Size of the chunk.
            previous_due: Time at which the previous chunk may be forwarded.
        """
        now = self.reactor.seconds()
        delay_s = self.fault.delay_s(size_bytes, self._random) if self.fault is not None else 0.0
        if self.fault is not None and self.fault.mode == LinkMode.SLOW:
            return max(previous_due, now) + delay_s
        return max(previous_due, now + delay_s)

    def close(self) -> None:
        """Reset every connection and stop listening."""
        for connection in list(self.connections):
            connection.abort()
        if self._port is not None:
            self._port.stopListening()
