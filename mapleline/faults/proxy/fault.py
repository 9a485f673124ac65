"""What a fault does to the bytes that a link relays; docs/design/fleet.md has what the far side sees of each."""

from __future__ import annotations

import random
from dataclasses import dataclass

from ..modes import LinkMode

CUT_MODES = (LinkMode.CUT, LinkMode.CUT_UP, LinkMode.CUT_DOWN)
UNREACHABLE_MODES = (LinkMode.CUT, LinkMode.BLACKHOLE)  # no connection comes up, no bytes pass
UNANSWERED_MODES = (*CUT_MODES, LinkMode.BLACKHOLE)  # what is sent meanwhile has no answer
RETRANSMISSION_S = 0.2  # what one lost segment costs a TCP connection, as the far side sees it


@dataclass(frozen=True, slots=True)
class LinkFault:
    """One fault of a link.

    Attributes:
        mode: What happens.
        seed: Of the draws of jitter and losses.
        delay_ms: `delay`: milliseconds that each chunk is late.
        jitter_ms: `delay`: up to so many milliseconds more.
        loss_share: `loss`: the share of chunks that need a retransmission.
        bytes_per_s: `slow`: bytes a second.
    """

    mode: LinkMode
    seed: int = 0
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    loss_share: float = 0.0
    bytes_per_s: float = 1e9

    @property
    def is_unreachable(self) -> bool:
        """Whether no new connection comes up."""
        return self.mode in UNREACHABLE_MODES

    @property
    def is_unanswered(self) -> bool:
        """Whether a request that is sent meanwhile has no answer."""
        return self.mode in UNANSWERED_MODES

    def blocks(self, is_upward: bool) -> bool:
        """Return whether bytes of that direction wait; upward is from the client to the server."""
        if self.mode == LinkMode.CUT_UP:
            return is_upward
        if self.mode == LinkMode.CUT_DOWN:
            return not is_upward
        return self.is_unreachable

    def delay_s(self, size_bytes: int, generator: random.Random) -> float:
        """Seconds that a chunk of that size is late."""
        if self.mode == LinkMode.DELAY:
            return (self.delay_ms + generator.random() * self.jitter_ms) / 1000
        if self.mode == LinkMode.LOSS:
            return RETRANSMISSION_S if generator.random() < self.loss_share else 0.0
        if self.mode == LinkMode.SLOW:
            return size_bytes / self.bytes_per_s
        return 0.0
