"""Effects of a fault on the bytes that a link relays; docs/design/fleet.md describes how each looks to a peer."""

from __future__ import annotations

import random
from dataclasses import dataclass

from ..modes import LinkMode

CUT_MODES = (LinkMode.CUT, LinkMode.CUT_UP, LinkMode.CUT_DOWN)
UNREACHABLE_MODES = (LinkMode.CUT, LinkMode.BLACKHOLE)  # no connection is established, no bytes pass
UNANSWERED_MODES = (*CUT_MODES, LinkMode.BLACKHOLE)  # requests sent during the fault get no answer
RETRANSMISSION_S = 0.2  # delay that one lost segment causes on a TCP connection, as its peer sees it


@dataclass(frozen=True, slots=True)
class LinkFault:
    """One fault of a link.

    Attributes:
        mode: Effect of the fault.
        seed: Seed of the random jitter and losses.
        delay_ms: `delay`: delay of each chunk in milliseconds.
        jitter_ms: `delay`: greatest random addition to the delay, in milliseconds.
        loss_share: `loss`: share of chunks that are delayed by a retransmission.
        bytes_per_s: `slow`: rate in bytes per second.
    """

    mode: LinkMode
    seed: int = 0
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    loss_share: float = 0.0
    bytes_per_s: float = 1e9

    @property
    def is_unreachable(self) -> bool:
        """Whether no new connection is established."""
        return self.mode in UNREACHABLE_MODES

    @property
    def is_unanswered(self) -> bool:
        """Whether a request that is sent during the fault gets no answer."""
        return self.mode in UNANSWERED_MODES

    def blocks(self, is_upward: bool) -> bool:
        """Return whether bytes in a direction are held back; upward is from the client to the server."""
        if self.mode == LinkMode.CUT_UP:
            return is_upward
        if self.mode == LinkMode.CUT_DOWN:
            return not is_upward
        return self.is_unreachable

    def delay_s(self, size_bytes: int, generator: random.Random) -> float:
        """Return the delay of a chunk of `size_bytes`, in seconds."""
        if self.mode == LinkMode.DELAY:
            return (self.delay_ms + generator.random() * self.jitter_ms) / 1000
        if self.mode == LinkMode.LOSS:
            return RETRANSMISSION_S if generator.random() < self.loss_share else 0.0
        if self.mode == LinkMode.SLOW:
            return size_bytes / self.bytes_per_s
        return 0.0
