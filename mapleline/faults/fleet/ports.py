"""Free ports for ingresses, which must keep theirs across restarts."""

from __future__ import annotations

import os
import socket
from collections.abc import Iterator

from ..addresses import LOOPBACK
from ..errors import NoFreePortError

FIRST_PORT = 10_000  # well below those that the system gives to connections
PORT_RANGES = 200
PORTS_IN_RANGE = 100


def free_ports() -> Iterator[int]:
    """Ports to listen on, from a range of this controller's own.

    They are below those that the system gives out, else a connection of another fleet on this machine may have one
    in the moment before an ingress binds it.

    Raises:
        NoFreePortError: All of the range are in use.
    """
    first = FIRST_PORT + os.getpid() % PORT_RANGES * PORTS_IN_RANGE
    for port in range(first, first + PORTS_IN_RANGE):
        if _is_free(port):
            yield port
    raise NoFreePortError(f"no free port from {first} on")


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
