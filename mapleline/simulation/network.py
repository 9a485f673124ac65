"""The network between machines: delays, loss, duplicates, late copies, misrouted replies and partitions."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import random

#: one-way delays, of which each message takes 1 to 1.1 times as long
IN_ZONE_DELAY_S = 0.0001
IN_REGION_DELAY_S = 0.0014
CROSS_REGION_DELAY_S = 0.02
DELAY_JITTER = 1.1
DEFAULT_LOSS_RATE = 0.001
MIN_LATE_COPY_DELAY_S = 0.01
REMEMBERED_REPLIES = 16  #: of each machine, one of which a misrouted reply is


class CallRecord(NamedTuple):
    """One call from a machine to another."""

    at: float
    caller: str
    target: str  #: empty where no machine has the address
    message: str  #: name of the message's type


@dataclass(frozen=True, slots=True)
class LateCopies:
    """Some datagrams arrive a second time, at times at a later incarnation of the receiver."""

    rate: float  #: share of the datagrams
    max_delay_s: float


class Network:
    """Random properties of the network, and which pairs of machines are partitioned.

    All draws come from the world's generator, and each is made only where its fault is switched on: a simulated run
    depends on the number and order of draws.
    """

    def __init__(self, rng: random.Random, regions: Mapping[str, str]) -> None:
        """Create a network without faults but for the usual loss; `regions`: of the zones, by name."""
        self.loss_rate = DEFAULT_LOSS_RATE  #: share of datagrams that are lost
        self.duplicate_rate = 0.0  #: share of datagrams and calls that arrive twice
        self.delayed_rate = 0.0  #: share of datagrams, calls and replies that are delayed further
        self.max_extra_delay_s = 3.0  #: of those
        self.misrouted_reply_rate = 0.0  #: share of replies in whose place an earlier one to the same machine arrives
        self.late_copies: LateCopies | None = None
        self.calls: list[CallRecord] = []
        self.bytes_sent: Counter[str] = Counter()  #: by kind of message, with the headers below
        self._rng = rng
        self._regions = regions
        self._partitions: Counter[tuple[str, str]] = Counter()  #: number of partitions by source and target
        self._earlier_replies: dict[str, deque[bytes]] = {}  #: by receiver

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
        """Draw how often a message arrives: once, or twice."""
        is_duplicated = self.duplicate_rate > 0 and self._rng.random() < self.duplicate_rate
        return 2 if is_duplicated else 1

    def extra_delay_s(self) -> float:
        """Draw how much longer than usual a message takes, in seconds."""
        if self.delayed_rate and self._rng.random() < self.delayed_rate:
            return self._rng.uniform(0, self.max_extra_delay_s)
        return 0.0

    def late_copy_delay_s(self) -> float | None:
        """Draw the delay of a late copy of a datagram, in seconds; None if there is no such copy."""
        late_copies = self.late_copies
        if late_copies is None or self._rng.random() >= late_copies.rate:
            return None
        return self._rng.uniform(MIN_LATE_COPY_DELAY_S, late_copies.max_delay_s)

    def route_reply(self, receiver: str, reply: bytes) -> bytes:
        """Draw which reply arrives at `receiver` in the place of this one: itself, or an earlier one to it."""
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
        """Return whether nothing that `source` sends reaches `target`."""
        return self._partitions[source, target] > 0

    def block(self, pairs: Iterable[tuple[str, str]]) -> None:
        """Begin a partition: nothing gets from the first to the second machine of each pair.  Partitions overlap."""
        self._partitions.update(pairs)

    def unblock(self, pairs: Iterable[tuple[str, str]]) -> None:
        """End one partition of these pairs, and no other that lies between them."""
        self._partitions.subtract(pairs)
