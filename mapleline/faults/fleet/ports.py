"""Free ports for ingresses, which keep their ports across restarts."""

from __future__ import annotations

import os
import socket
from collections.abc import Iterator

from ..addresses import LOOPBACK
from ..errors import NoFreePortError

FIRST_PORT = 10_000  # well below the system's ephemeral ports
PORT_RANGES = 200
PORTS_IN_RANGE = 100


def free_ports() -> Iterator[int]:
    """Yield free ports from a range that depends on this controller's process id.

    The ports are below the system's ephemeral range.  Otherwise a connection of another fleet on this machine could
    take a port just before an ingress binds it.

    Raises:
        NoFreePortError: No further port of the range is free.
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
