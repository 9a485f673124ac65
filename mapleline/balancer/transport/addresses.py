"""IPv4 addresses as integers: the key of an ingress in the membership table and on the wire."""

from __future__ import annotations

import socket


def ip_to_int(host: str) -> int:
    """Return an address in dotted notation as an integer.

    Raises:
        OSError: `host` is not an IPv4 address.
    """
    return int.from_bytes(socket.inet_aton(host), "big")


def ip_from_int(ip: int) -> str:
    """Return an address in dotted notation."""
    return socket.inet_ntoa(ip.to_bytes(4, "big"))
