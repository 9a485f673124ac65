"""Whether the ingress is ready, and which client connections may stay; pure, with the time as an argument.

The front, the operators' door and the signals ask this one place (docs/design/daily-operation.md).
"""

from __future__ import annotations

from enum import Enum

#: Seconds from a no until no new connection comes any more: the front asks every 0.1 s and stops 0.2 s after
#: the no; the rest is for an answer that was slow.
SETTLED_S = 0.5


class Phase(Enum):
    """Where the process stands; the values are what operators read."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    LEAVING = "leaving"


class Lifecycle:
    """Starting, ready, draining, leaving.  Times are in seconds, on a clock that never goes back.

    `shared`: another process may serve the same listening socket, before this one is ready and after it
    leaves.
    """

    def __init__(self, shared: bool = False) -> None:
        self.shared = shared
        self._listed = False
        self._drained_at: float | None = None
        self._left_at: float | None = None
        self._closed = False

    @property
    def phase(self) -> Phase:
        if self._left_at is not None:
            return Phase.LEAVING
        if self._drained_at is not None:
            return Phase.DRAINING
        return Phase.READY if self._listed else Phase.STARTING

    @property
    def ready(self) -> bool:
        """Whether this process is ready to serve."""
        return self.phase is Phase.READY

    @property
    def open(self) -> bool:
        """What `/health/ready` says: whether clients may come to this address, whoever takes them."""
        handed_on = self.shared and self._left_at is not None and self._drained_at is None
        return self.ready or handed_on and self._listed

    @property
    def accepts(self) -> bool:
        """Whether new connections are taken."""
        if self.shared:
            return self._listed and self._left_at is None
        return not self._closed

    # --- what happened

    def listed(self) -> None:
        """A list of servers is known that is worth serving by."""
        self._listed = True

    def drain(self, now: float) -> bool:
        """Send clients away until `resume`; False while leaving.  A second drain goes on with the first."""
        if self._left_at is not None:
            return False
        if self._drained_at is None:
            self._drained_at = now
        return True

    def resume(self) -> bool:
        """The drain, if there is one, is over; False while leaving."""
        if self._left_at is None:
            self._drained_at = None
        return self._left_at is None

    def leave(self, now: float) -> bool:
        """Told to go; False if that is known already."""
        if self._left_at is not None:
            return False
        self._left_at = now
        return True

    def close(self) -> None:
        """Leaving, and the listener is closed: what is open is finished and nothing else."""
        self._closed = True

    # --- what that means for client connections

    @property
    def last(self) -> bool:
        """Whether an answer given now is the last on its connection."""
        handed_on = self.shared and self._left_at is not None
        return self._closed or handed_on or self.phase is Phase.DRAINING

    def sheds(self, now: float) -> bool:
        """Whether connections between requests are to be closed now."""
        if self._closed:
            return True
        return self.phase is Phase.DRAINING and now - self._drained_at >= SETTLED_S
