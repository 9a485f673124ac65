"""The replica side of quotas: counts what nodes ask for, and synchronises with the shard's other replica."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from ...policy.window import SLOTS
from ..transport.addresses import ip_from_int
from ..transport.messages import CounterIncrement, CounterRows, CounterSync, CounterValue
from .counters import CounterReading, CounterTable, Operation
from .slots import SlotClock

if TYPE_CHECKING:
    from ..clock import Clock
    from ..membership.table import MembershipTable
    from .placement import ReplicaPlacement

logger = logging.getLogger(__name__)

#: Between two looks at what peers have to be sent (docs/design/system.md, Bounds, QUOTA).
SYNC_INTERVAL_S = 0.05

#: A peer that has left a synchronisation unanswered for so long is taken for partitioned.
PARTITION_AFTER_S = 0.6

#: The window that an ingress of an earlier version gets the units of: no window of its estimates is longer.
LONGEST_WINDOW_SLOTS = SLOTS // 2

MS_PER_S = 1000


class ClockOffset(NamedTuple):
    """By how many slots the clock of a peer's incarnation is behind the own one; it is even while both run."""

    incarnation: int
    slots: int


class CounterReplica:
    """The counters of the shards that this node is a replica of.

    Attributes:
        table: The counters.
        slots: Names the slots of what is counted here.
        unanswered_since: Peers that have left a synchronisation unanswered, and since when.
        homes: The home regions of each tenant that was counted here, as its last increment named them.
    """

    def __init__(
        self,
        clock: Clock,
        membership: MembershipTable,
        placement: ReplicaPlacement,
        slots: SlotClock,
        send: Callable[[int, CounterSync], None],
    ) -> None:
        """Without counters, in this process's incarnation."""
        self.clock = clock
        self.membership = membership
        self.placement = placement
        self.slots = slots
        self.send = send
        self.table = CounterTable(membership.session_key(membership.local_member.ip))
        self.unanswered_since: dict[int, float] = {}
        self.homes: dict[str, tuple[str, ...]] = {}
        self._clock_offsets: dict[int, ClockOffset] = {}

    def start(self) -> None:
        """Begin to synchronise, first after `SYNC_INTERVAL_S`."""
        self.clock.callLater(SYNC_INTERVAL_S, self._synchronise)

    def increment(self, ip: int, message: CounterIncrement) -> CounterValue:
        """Apply a node's increment in the current slot, and return the counts before it."""
        self.homes[message.tenant] = tuple(message.home_regions)
        operation = Operation(self.membership.session_key(ip), message.nonce)
        slot = self.slots.current()
        self.table.add(operation, message.tenant, slot, message.units, message.window_limit)
        window_slots = message.window_slots or LONGEST_WINDOW_SLOTS
        reading = self._read(message.tenant, slot, window_slots, operation)
        if not message.window_slots:  # it names windows in its own way, and is told at least what is in its current one
            return CounterValue(message.nonce, reading.current + reading.previous, 0.0)
        share = self.slots.remaining_share(window_slots)
        return CounterValue(message.nonce, reading.current, reading.previous, share, reading.in_quota_window)

    def _read(self, tenant: str, slot: int, window_slots: int, operation: Operation) -> CounterReading:
        """Return the counts without an operation, and with what others admit who are out of sight."""
        reading = self.table.read(tenant, slot, window_slots, without=operation)
        now = self.clock.seconds()
        if self._is_partitioned(tenant, now):
            # behind a partition the other replica lets in as much as this one
            own = self.table.read(tenant, slot, window_slots, own=True)
            reading = CounterReading(*(max(units, 2 * part) for units, part in zip(reading, own, strict=True)))
        factor = self.membership.isolation_factor(now)
        return CounterReading(*(units * factor for units in reading))

    def revert(self, ip: int, message: CounterIncrement) -> None:
        """Take off what a node's increment of that nonce added."""
        self.homes[message.tenant] = tuple(message.home_regions)
        self.table.revert(Operation(self.membership.session_key(ip), message.nonce), message.tenant)

    def handle_sync(self, ip: int, message: CounterSync) -> None:
        """Merge a peer's rows; a synchronisation that is no answer itself is answered."""
        self.unanswered_since.pop(ip, None)
        self.table.merge(message.counters, self.slots.current(), self._clock_offset(ip, message.sender_unix_ms))
        self.placement.suspects.trust(ip)
        if not message.is_answer:
            self._send_sync(ip, self._rows_for_answer(ip, message.counters), is_answer=True)

    def _send_sync(self, ip: int, updates: list[CounterRows], *, is_answer: bool = False) -> None:
        self.send(ip, CounterSync(updates, is_answer, int(self.slots.unix_time() * MS_PER_S)))

    def _clock_offset(self, ip: int, unix_ms: int) -> int:
        """Return what is added to the slot numbers of a peer; it is measured once for each of its incarnations."""
        if not unix_ms:
            return 0
        incarnation = self.membership.incarnation(ip)
        known = self._clock_offsets.get(ip)
        if known is None or known.incarnation != incarnation:
            known = ClockOffset(incarnation, self.slots.offset_of(unix_ms / MS_PER_S))
            self._clock_offsets[ip] = known
            if known.slots:
                behind_s = known.slots * self.slots.slot_s
                logger.info(
                    "clock of a counter replica is off", extra={"replica": ip_from_int(ip), "behind_s": behind_s}
                )
        return known.slots

    def _rows_for_answer(self, ip: int, received: list[CounterRows]) -> list[CounterRows]:
        """Nothing for a peer of ours.

        One that is no replica by our membership table counts for those who cannot reach a replica: it gets all rows.
        """
        tenants = {update.tenant for update in received}
        peers = {peer for tenant in tenants for peer in self._replicas_of(tenant)}
        if ip in peers:
            return []
        return self.table.updates_for(0.0, self.membership.session_key(ip), tenants, complete=True)

    def _replicas_of(self, tenant: str) -> list[int]:
        return self.placement.replicas_of(tenant, self.homes.get(tenant, ()))

    def _is_partitioned(self, tenant: str, now: float) -> bool:
        """Return whether a replica of the tenant has not answered for long."""
        return bool(self.unanswered_since) and any(
            now - self.unanswered_since.get(replica, now) > PARTITION_AFTER_S for replica in self._replicas_of(tenant)
        )

    def _synchronise(self) -> None:
        """Drop what is too old, and send each peer the rows that are due."""
        self.clock.callLater(SYNC_INTERVAL_S, self._synchronise)
        now = self.clock.seconds()
        self.table.expire(self.slots.current())
        for peer, tenants in self._tenants_by_peer().items():
            updates = self.table.updates_for(now, self.membership.session_key(peer), tenants)
            if updates:
                self.unanswered_since.setdefault(peer, now)
                self._send_sync(peer, updates)

    def _tenants_by_peer(self) -> dict[int, set[str]]:
        """Return the tenants that have counters here, by each other replica of their shards."""
        own_ip = self.membership.local_member.ip
        tenants_by_peer: dict[int, set[str]] = {}
        replicas_by_shard: dict[tuple[int, tuple[str, ...]], list[int]] = {}  # placing is dear, tenants are many
        for tenant in self.table.tenants():
            homes = self.homes.get(tenant, ())
            key = (self.placement.shard_of(tenant), homes)
            if key not in replicas_by_shard:
                replicas_by_shard[key] = self.placement.replicas_of(tenant, homes)
            for replica in replicas_by_shard[key]:
                if replica != own_ip:
                    tenants_by_peer.setdefault(replica, set()).add(tenant)
        return tenants_by_peer
