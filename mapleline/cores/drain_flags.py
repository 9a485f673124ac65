"""Which servers no new request may go to, in shared memory: written by the supervisor, read by the workers."""

from __future__ import annotations

from .shared_memory import DRAIN_FLAGS, drain_flag_region


class DrainFlags:
    """A flag a server, by number modulo `DRAIN_FLAGS`.

    The supervisor sets a flag before it sends the update of the server list, and a worker reads it right before it
    writes a request.  So a worker heeds it however late it receives the update.
    """

    def __init__(self, memory: memoryview) -> None:
        """Use the flags in this shared memory."""
        self._flags = drain_flag_region(memory)

    def set(self, server: int, is_draining: bool) -> None:
        """Set whether new requests may no longer go to a server.  For the supervisor only."""
        self._flags[server % DRAIN_FLAGS] = is_draining

    def is_draining(self, server: int) -> bool:
        """Return whether new requests may no longer go to a server."""
        return self._flags[server % DRAIN_FLAGS] != 0
