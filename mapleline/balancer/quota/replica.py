"""The replica side of quotas: counts what nodes ask for, and synchronises with the shard's other replica."""

from __future__ import annotations

from collections.abc import Callable
from math import ceil
from typing import TYPE_CHECKING, NamedTuple

from ...policy.window import SLOTS
from ..transport.messages import CounterIncrement, CounterRows, CounterSync, CounterValue
from .clock_offsets import ClockOffsets
from .counters import CounterReading, CounterTable, Operation
from .past_fetcher import PastFetcher
from .past_knowledge import PastKnowledge
from .slots import KEPT_SLOTS, SlotClock

if TYPE_CHECKING:
    from ..clock import Clock
    from ..membership.table import MembershipTable
    from .placement import ReplicaPlacement

#: Between two looks at what peers have to be sent (docs/design/system.md, Bounds, QUOTA).
SYNC_INTERVAL_S = 0.05

#: A peer that has left a synchronisation unanswered for so long is taken for partitioned.
PARTITION_AFTER_S = 0.6

#: The window that an ingress of an earlier version gets the units of: no window of its estimates is longer.
LONGEST_WINDOW_SLOTS = SLOTS // 2

PERMILLE = 1000

#: Home regions of a tenant by the configuration in force; None if it has no such tenant.
HomeRegions = Callable[[str], list[str] | None]


class FormerHomes(NamedTuple):
    """The home regions that a tenant had before, and in which slot that ended here."""

    regions: tuple[str, ...]
    until_slot: int


class CounterReplica:
    """The counters of the shards that this node is a replica of.

    Attributes:
        table: The counters.
        slots: Names the slots of what is counted here.
        past: Which tenants' pasts are known here.
        unanswered_since: Peers that have left a synchronisation unanswered, and since when.
        homes: The home regions of each tenant that was counted here, as its last increment named them: for tenants
            that the configuration in force does not have.
    """

    def __init__(
        self,
        clock: Clock,
        membership: MembershipTable,
        placement: ReplicaPlacement,
        slots: SlotClock,
        home_regions: HomeRegions,
        send: Callable[[int, CounterSync | CounterValue], None],
        *,
        is_first_start: bool,
    ) -> None:
        """Without counters, in this process's incarnation.

        Args:
            clock: Time and timers.
            membership: Names incarnations.
            placement: Says who the replicas are.
            slots: Numbers slots.
            home_regions: Returns the home regions of a tenant.
            send: Sends a datagram to a node, this one included.
            is_first_start: The whole system has started just now.
        """
        self.clock = clock
        self.membership = membership
        self.placement = placement
        self.slots = slots
        self.send = send
        self.table = CounterTable(membership.session_key(membership.local_member.ip))
        self.past = PastKnowledge(slots.current(), self._was_replica, is_first_start=is_first_start)
        self.unanswered_since: dict[int, float] = {}
        self.homes: dict[str, tuple[str, ...]] = {}
        self._home_regions = home_regions
        self._clock_offsets = ClockOffsets(membership, slots)
        self._past_fetcher = PastFetcher(self._peers_of, self._request_past)
        self._former_homes: dict[str, FormerHomes] = {}

    def start(self) -> None:
        """Begin to synchronise, first after `SYNC_INTERVAL_S`."""
        self.clock.callLater(SYNC_INTERVAL_S, self._synchronise)

    # -- increments ----------------------------------------------------------------------------------------

    def increment(self, ip: int, message: CounterIncrement) -> None:
        """Apply a node's increment in the current slot, and send it the counts before it.

        The first ones of a tenant whose past is unknown are answered after that was asked for.
        """
        self.homes[message.tenant] = tuple(message.home_regions)
        operation = Operation(self.membership.session_key(ip), message.nonce)
        slot = self.slots.current()
        self.table.add(operation, message.tenant, slot, message.units, message.window_limit)
        unknown = self.past.unknown_past(message.tenant, slot)
        wait_s = 0.0
        if unknown is not None:
            wait_s = self._past_fetcher.fetch(message.tenant, unknown, self.clock.seconds())
        if wait_s > 0:
            self.clock.callLater(wait_s, self._answer, ip, message, operation)
        else:
            self._answer(ip, message, operation)

    def _answer(self, ip: int, message: CounterIncrement, operation: Operation) -> None:
        window_slots = message.window_slots or LONGEST_WINDOW_SLOTS
        reading = self._read(message, window_slots, operation)
        if message.window_slots:
            permille = int(PERMILLE * self.slots.remaining_share(window_slots))
            in_quota_window = ceil(reading.in_quota_window)
            value = CounterValue(message.nonce, reading.current, reading.previous, permille, in_quota_window)
        else:  # an earlier version names windows in its own way, and is told at least what is in its current one
            value = CounterValue(message.nonce, reading.current + reading.previous, 0.0)
        self.send(ip, value)

    def _read(self, message: CounterIncrement, window_slots: int, operation: Operation) -> CounterReading:
        """Return the counts without an operation, and with what may have been admitted out of sight."""
        tenant, slot, now = message.tenant, self.slots.current(), self.clock.seconds()
        reading = self.table.read(tenant, slot, window_slots, without=operation)
        unknown = self.past.unknown_past(tenant, slot)
        if unknown is not None:
            assumed = unknown.reading(slot, window_slots, message.window_limit)
            reading = CounterReading(*(units + more for units, more in zip(reading, assumed, strict=True)))
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

    # -- the past ------------------------------------------------------------------------------------------

    def _request_past(self, peer: int, tenant: str) -> None:
        """Ask a node for all rows of a tenant, and send it those that are here."""
        now = self.clock.seconds()
        updates = self.table.updates_for(now, self.membership.session_key(peer), {tenant}, complete=True)
        self._send_sync(peer, updates, wants_past=True)

    def _was_replica(self, tenant: str) -> bool:
        """Return whether this node was a replica of the tenant as long as counts are kept, whatever its homes were."""
        own_ip = self.membership.local_member.ip
        homes = [self._homes_of(tenant), *self._former_homes_of(tenant)]
        return all(self.placement.was_replica(own_ip, tenant, regions) for regions in homes)

    def on_home_regions_changed(self, tenant: str, former: list[str]) -> None:
        """Note that a tenant's counters were placed by other home regions until now."""
        self._former_homes[tenant] = FormerHomes(tuple(sorted(former)), self.slots.current())

    def _former_homes_of(self, tenant: str) -> list[tuple[str, ...]]:
        former = self._former_homes.get(tenant)
        return [former.regions] if former is not None else []

    # -- synchronisation -----------------------------------------------------------------------------------

    def handle_sync(self, ip: int, message: CounterSync) -> None:
        """Merge a peer's rows; a synchronisation that is no answer itself is answered."""
        self.unanswered_since.pop(ip, None)
        self.table.merge(
            message.counters, self.slots.current(), self._clock_offsets.offset_of(ip, message.sender_unix_ms)
        )
        for tenant in message.known_tenants:
            self.past.learn(tenant)
        self.placement.suspects.trust(ip)
        if message.is_answer:
            return
        if message.wants_past:
            self._send_past(ip, message.counters)
        else:
            self._send_sync(ip, self._rows_for_answer(ip, message.counters), is_answer=True)

    def _send_past(self, ip: int, asked: list[CounterRows]) -> None:
        """Send all rows of the tenants that were named, and which of their pasts are known here."""
        tenants = {update.tenant for update in asked}
        rows = self.table.updates_for(self.clock.seconds(), self.membership.session_key(ip), tenants, complete=True)
        slot = self.slots.current()
        known = sorted(tenant for tenant in tenants if self.past.is_known(tenant, slot))
        self._send_sync(ip, rows, is_answer=True, known_tenants=known)

    def _send_sync(
        self,
        ip: int,
        updates: list[CounterRows],
        *,
        is_answer: bool = False,
        wants_past: bool = False,
        known_tenants: list[str] | None = None,
    ) -> None:
        unix_ms = self._clock_offsets.unix_ms_for(ip)
        self.send(ip, CounterSync(updates, is_answer, unix_ms, wants_past, known_tenants or []))

    def _rows_for_answer(self, ip: int, received: list[CounterRows]) -> list[CounterRows]:
        """Nothing for a peer of ours.

        One that is no replica by our membership table counts for those who cannot reach a replica: it gets all rows,
        and then what has changed.
        """
        tenants = {update.tenant for update in received}
        peers = {peer for tenant in tenants for peer in self._replicas_of(tenant)}
        if ip in peers:
            return []
        return self.table.updates_for(self.clock.seconds(), self.membership.session_key(ip), tenants, is_due=True)

    def _homes_of(self, tenant: str) -> tuple[str, ...]:
        homes = self._home_regions(tenant)
        return tuple(sorted(homes)) if homes is not None else self.homes.get(tenant, ())

    def _replicas_of(self, tenant: str) -> list[int]:
        return self.placement.replicas_of(tenant, self._homes_of(tenant))

    def _peers_of(self, tenant: str) -> list[int]:
        """Return with whom this node shares what it counts of a tenant."""
        peers = self.placement.peers_of(tenant, self._homes_of(tenant))
        for former in self._former_homes_of(tenant):
            peers += [peer for peer in self.placement.peers_of(tenant, former) if peer not in peers]
        return peers

    def _is_partitioned(self, tenant: str, now: float) -> bool:
        """Return whether a replica of the tenant has not answered for long."""
        return bool(self.unanswered_since) and any(
            now - self.unanswered_since.get(replica, now) > PARTITION_AFTER_S for replica in self._replicas_of(tenant)
        )

    def _synchronise(self) -> None:
        """Drop what is too old, and send each peer the rows that are due."""
        self.clock.callLater(SYNC_INTERVAL_S, self._synchronise)
        now = self.clock.seconds()
        self._expire()
        slot = self.slots.current()
        self._past_fetcher.retry(now, lambda tenant: self.past.is_known(tenant, slot))
        tenants_by_peer: dict[int, set[str]] = {}
        for tenant in self.table.tenants():
            for peer in self._peers_of(tenant):
                tenants_by_peer.setdefault(peer, set()).add(tenant)
        for peer, tenants in tenants_by_peer.items():
            updates = self.table.updates_for(now, self.membership.session_key(peer), tenants)
            if updates:
                self.unanswered_since.setdefault(peer, now)
                self._send_sync(peer, updates)

    def _expire(self) -> None:
        """Forget counts, and tenants, that are too old to matter."""
        slot = self.slots.current()
        self.table.expire(slot)
        self.past.expire(slot)
        for tenant in [tenant for tenant in self.homes if tenant not in self.table.counters]:
            del self.homes[tenant]
            self._past_fetcher.forget(tenant)
        for tenant, former in list(self._former_homes.items()):
            if slot - former.until_slot >= KEPT_SLOTS:
                del self._former_homes[tenant]
