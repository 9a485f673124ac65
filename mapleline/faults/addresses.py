"""The rig's listening address and connect timeout."""

from __future__ import annotations

LOOPBACK = "127.0.0.1"
CONNECT_TIMEOUT_S = 5


def loopback_address(port: int) -> str:
    """Return the address `host:port` in the form that settings use."""
    return f"{LOOPBACK}:{port}"
