"""Simulated network between machines: delays, loss, duplicates, late copies, misrouted replies and partitions."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import random

#: base one-way delays; a message takes 1 to `DELAY_JITTER` times as long
IN_ZONE_DELAY_S = 0.0001
IN_REGION_DELAY_S = 0.0014
CROSS_REGION_DELAY_S = 0.02
DELAY_JITTER = 1.1
DEFAULT_LOSS_RATE = 0.001
MIN_LATE_COPY_DELAY_S = 0.01
REMEMBERED_REPLIES = 16  #: number of earlier replies, per receiver, from which a misrouted reply is chosen


class CallRecord(NamedTuple):
    """One call from a machine to another."""

    at: float
    caller: str
    target: str  #: name of the called machine; empty if no machine has the address
    message: str  #: name of the message's type


@dataclass(frozen=True, slots=True)
class LateCopies:
    """A fault by which some datagrams arrive a second time, possibly at a later incarnation of the receiver."""

    rate: float  #: share of the datagrams that have a late copy
    max_delay_s: float  #: largest delay of a late copy


class Network:
    """Random properties of the network, and the pairs of machines that are partitioned.

    All random draws come from the world's generator.  A draw for a fault is made only while the fault is enabled,
    because a simulated run depends on the number and order of draws.
    """

    def __init__(self, rng: random.Random, regions: Mapping[str, str]) -> None:
        """Create a network whose only fault is the default loss rate; `regions` maps each zone to its region."""
        self.loss_rate = DEFAULT_LOSS_RATE  #: share of datagrams that are lost
        self.duplicate_rate = 0.0  #: share of datagrams and calls that arrive twice
        self.delayed_rate = 0.0  #: share of datagrams, calls and replies that are delayed further
        self.max_extra_delay_s = 3.0  #: largest extra delay of those messages
        self.misrouted_reply_rate = 0.0  #: share of replies that an earlier reply to the same machine replaces
        self.late_copies: LateCopies | None = None
        self.calls: list[CallRecord] = []
        self.bytes_sent: Counter[str] = Counter()  #: by kind of message, including headers of lower layers
        self._rng = rng
        self._regions = regions
        self._partitions: Counter[tuple[str, str]] = Counter()  #: number of partitions by source and target
        self._earlier_replies: dict[str, deque[bytes]] = {}  #: latest replies by receiver

    # -- random properties ---------------------------------------------------------------------------------

    def delay_s(self, zone: str, other_zone: str) -> float:
        """Draw the one-way delay between machines of two zones, in seconds."""
        if zone == other_zone:
            base_s = IN_ZONE_DELAY_S
        elif self._regions[zone] == self._regions[other_zone]:
            base_s = IN_REGION_DELAY_S
        else:
            base_s = CROSS_REGION_DELAY_S
        return base_s * self._rng.uniform(1.0, DELAY_JITTER)

    def is_lost(self) -> bool:
        """Draw whether a datagram is lost."""
        return self._rng.random() < self.loss_rate

    def copies(self) -> int:
        """Draw how many times a message arrives: 1 or 2."""
        is_duplicated = self.duplicate_rate > 0 and self._rng.random() < self.duplicate_rate
        return 2 if is_duplicated else 1

    def extra_delay_s(self) -> float:
        """Draw the extra delay of a message in seconds; 0 if it is not delayed further."""
        if self.delayed_rate and self._rng.random() < self.delayed_rate:
            return self._rng.uniform(0, self.max_extra_delay_s)
        return 0.0

    def late_copy_delay_s(self) -> float | None:
        """Draw the delay of a late copy of a datagram, in seconds; None if there is no late copy."""
        late_copies = self.late_copies
        if late_copies is None or self._rng.random() >= late_copies.rate:
            return None
        return self._rng.uniform(MIN_LATE_COPY_DELAY_S, late_copies.max_delay_s)

    def route_reply(self, receiver: str, reply: bytes) -> bytes:
        """Draw which reply arrives at `receiver`: the given one, or an earlier reply to the same receiver."""
        if not self.misrouted_reply_rate:
            return reply
        earlier = self._earlier_replies.setdefault(receiver, deque(maxlen=REMEMBERED_REPLIES))
        arriving = reply
        if earlier and self._rng.random() < self.misrouted_reply_rate:
            arriving = self._rng.choice(earlier)
        earlier.append(reply)
        return arriving

    # -- partitions ----------------------------------------------------------------------------------------

    @property
    def has_partitions(self) -> bool:
        """Whether any pair of machines is partitioned."""
        return any(self._partitions.values())

    def is_partitioned(self, source: str, target: str) -> bool:
        """Return whether a partition blocks messages from `source` to `target`."""
        return self._partitions[source, target] > 0

    def block(self, pairs: Iterable[tuple[str, str]]) -> None:
        """Begin a partition: no message of a pair's first machine reaches the second.  Partitions may overlap."""
        self._partitions.update(pairs)

    def unblock(self, pairs: Iterable[tuple[str, str]]) -> None:
        """End one partition of these pairs; other partitions of the same pairs stay."""
        self._partitions.subtract(pairs)
