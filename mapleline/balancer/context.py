"""The objects that the drivers of one node share: clock, settings, environment, membership and random numbers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from .clock import Reactor
    from .environment import Environment
    from .membership.table import MembershipTable
    from .settings import Settings
    from .transport.messages import Datagram


@dataclass(frozen=True, slots=True)
class NodeContext:
    """The collaborators that every driver of a node needs."""

    reactor: Reactor
    settings: Settings
    environment: Environment
    membership: MembershipTable
    rng: random.Random
    started_at: float
    """When the node was created, in seconds on its steady clock."""

    @property
    def local_ip(self) -> int:
        """The address of this node."""
        return self.membership.local_member.ip

    def now(self) -> float:
        """Return the time in seconds on the steady clock."""
        return self.reactor.seconds()

    def send(self, ip: int, message: Datagram) -> None:
        """Send a datagram, which may be lost."""
        self.environment.send(ip, message)
