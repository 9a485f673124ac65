"""Flags in shared memory for servers that must not get new requests: written by the supervisor, read by workers."""

from __future__ import annotations

from .shared_memory import DRAIN_FLAGS, drain_flag_region


class DrainFlags:
    """One flag per server, at the server's number modulo `DRAIN_FLAGS`.

    The supervisor sets a flag before it sends the update of the server list.  A worker reads the flag right before it
    writes a request, so the flag takes effect even if the worker receives the update late.
    """

    def __init__(self, memory: memoryview) -> None:
        """Attach to the flags in the shared memory."""
        self._flags = drain_flag_region(memory)

    def set(self, server: int, is_draining: bool) -> None:
        """Set whether a server must not get new requests.  Only the supervisor may call this."""
        self._flags[server % DRAIN_FLAGS] = is_draining

    def is_draining(self, server: int) -> bool:
        """Return whether a server must not get new requests."""
        return self._flags[server % DRAIN_FLAGS] != 0
