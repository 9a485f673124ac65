"""Where the rig's parties listen and how long connecting takes at most."""

from __future__ import annotations

LOOPBACK = "127.0.0.1"
CONNECT_TIMEOUT_S = 5


def loopback_address(port: int) -> str:
    """The address `host:port` as settings have it."""
    return f"{LOOPBACK}:{port}"
