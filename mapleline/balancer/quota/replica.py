"""The replica side of quotas: applies increments, and synchronises counters with the shard's other replica."""

from __future__ import annotations

from collections.abc import Callable
from math import ceil
from typing import TYPE_CHECKING, NamedTuple

from ...policy.window import SLOTS_PER_QUOTA_WINDOW
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

#: Interval between checks of what has to be sent to peers (docs/design/system.md, Bounds, QUOTA).
SYNC_INTERVAL_S = 0.05

#: A peer that has not answered a synchronisation for this long is considered partitioned.
PARTITION_AFTER_S = 0.6

#: Length of the window whose units an ingress of an earlier version gets: no window of its estimates is longer.
LONGEST_WINDOW_SLOTS = SLOTS_PER_QUOTA_WINDOW // 2

PERMILLE = 1000

#: Returns a tenant's home regions by the configuration in force; None if the configuration has no such tenant.
HomeRegionsLookup = Callable[[str], list[str] | None]


class FormerHomeRegions(NamedTuple):
    """The home regions that a tenant had before, and the slot in which this node replaced them."""

    regions: tuple[str, ...]
    until_slot: int


class CounterReplica:
    """The counters of the shards that this node is a replica of.

    Attributes:
        table: The counters.
        slots: Numbers the slots that are counted in here.
        past: Which tenants' earlier counts are known here.
        unanswered_since: By peer with an unanswered synchronisation, the time of the first one, in seconds.
        reported_home_regions: The home regions of each tenant that is counted here, as its last increment or revert
            named them.  They are used for tenants that the configuration in force does not have.
    """

    def __init__(
        self,
        clock: Clock,
        membership: MembershipTable,
        placement: ReplicaPlacement,
        slots: SlotClock,
        lookup_home_regions: HomeRegionsLookup,
        send: Callable[[int, CounterSync | CounterValue], None],
        *,
        is_first_start: bool,
    ) -> None:
        """Create a replica without counters, for this process's incarnation.

        Args:
            clock: Time and timers.
            membership: Supplies the incarnations of nodes.
            placement: Determines each tenant's replicas.
            slots: Numbers slots.
            lookup_home_regions: Returns the home regions of a tenant.
            send: Sends a datagram to a node, which may be this one.
            is_first_start: Whether the whole system has just been started for the first time.
        """
        self.clock = clock
        self.membership = membership
        self.placement = placement
        self.slots = slots
        self.send = send
        self.table = CounterTable(membership.session_key(membership.local_member.ip))
        self.past = PastKnowledge(slots.current(), self._was_replica, is_first_start=is_first_start)
        self.unanswered_since: dict[int, float] = {}
        self.reported_home_regions: dict[str, tuple[str, ...]] = {}
        self._lookup_home_regions = lookup_home_regions
        self._clock_offsets = ClockOffsets(membership, slots)
        self._past_fetcher = PastFetcher(self._peers_of, self._request_past)
        self._former_home_regions: dict[str, FormerHomeRegions] = {}

    def start(self) -> None:
        """Start to synchronise; the first synchronisation runs after `SYNC_INTERVAL_S`."""
        self.clock.callLater(SYNC_INTERVAL_S, self._synchronise)

    # -- increments ----------------------------------------------------------------------------------------

    def increment(self, ip: int, message: CounterIncrement) -> None:
        """Apply a node's increment in the current slot, and send the node the counts before it.

        While the tenant's past is unknown, the answer is delayed by a limited time in which other replicas are asked
        for it.
        """
        self.reported_home_regions[message.tenant] = tuple(message.home_regions)
        operation = Operation(self.membership.session_key(ip), message.nonce)
        slot = self.slots.current()
        self.table.add(operation, message.tenant, slot, message.units, message.window_limit)
        unknown_past = self.past.unknown_past(message.tenant, slot)
        wait_s = 0.0
        if unknown_past is not None:
            wait_s = self._past_fetcher.fetch(message.tenant, unknown_past, self.clock.seconds())
        if wait_s > 0:
            self.clock.callLater(wait_s, self._answer, ip, message, operation)
        else:
            self._answer(ip, message, operation)

    def _answer(self, ip: int, message: CounterIncrement, operation: Operation) -> None:
        window_slots = message.window_slots or LONGEST_WINDOW_SLOTS
        reading = self._read(message, window_slots, operation)
        if message.window_slots:
            remaining_permille = int(PERMILLE * self.slots.remaining_share(window_slots))
            quota_window_units = ceil(reading.quota_window_units)
            value = CounterValue(
                message.nonce, reading.current, reading.previous, remaining_permille, quota_window_units
            )
        else:  # an earlier version divides time into other windows; it gets at least the units of its current one
            value = CounterValue(message.nonce, reading.current + reading.previous, 0.0)
        self.send(ip, value)

    def _read(self, message: CounterIncrement, window_slots: int, operation: Operation) -> CounterReading:
        """Return the counts without an operation, plus what may have been admitted without this node's knowledge."""
        tenant, slot, now = message.tenant, self.slots.current(), self.clock.seconds()
        reading = self.table.read(tenant, slot, window_slots, without=operation)
        unknown_past = self.past.unknown_past(tenant, slot)
        if unknown_past is not None:
            assumed = unknown_past.reading(slot, window_slots, message.window_limit)
            reading = CounterReading(*(units + more for units, more in zip(reading, assumed, strict=True)))
        if self._is_partitioned(tenant, now):
            # The replica on the other side of the partition is assumed to admit as much as this one.
            own = self.table.read(tenant, slot, window_slots, own=True)
            reading = CounterReading(*(max(units, 2 * part) for units, part in zip(reading, own, strict=True)))
        factor = self.membership.isolation_factor(now)
        return CounterReading(*(units * factor for units in reading))

    def revert(self, ip: int, message: CounterIncrement) -> None:
        """Subtract what a node's increment with the same nonce added."""
        self.reported_home_regions[message.tenant] = tuple(message.home_regions)
        self.table.revert(Operation(self.membership.session_key(ip), message.nonce), message.tenant)

    # -- counts from before this node was the tenant's replica ---------------------------------------------

    def _request_past(self, peer: int, tenant: str) -> None:
        """Request all rows of a tenant from a node, and send it the rows that are known here."""
        now = self.clock.seconds()
        updates = self.table.updates_for(now, self.membership.session_key(peer), {tenant}, complete=True)
        self._send_sync(peer, updates, wants_past=True)

    def _was_replica(self, tenant: str) -> bool:
        """Return whether this node was a replica of the tenant for as long as counts are kept.

        It must have been one by the current home regions of the tenant as well as by the former ones.
        """
        own_ip = self.membership.local_member.ip
        placements = [self._home_regions_of(tenant), *self._former_home_regions_of(tenant)]
        return all(self.placement.was_replica(own_ip, tenant, regions) for regions in placements)

    def on_home_regions_changed(self, tenant: str, former: list[str]) -> None:
        """Record that a tenant's counters were placed by other home regions, `former`, until now."""
        self._former_home_regions[tenant] = FormerHomeRegions(tuple(sorted(former)), self.slots.current())

    def _former_home_regions_of(self, tenant: str) -> list[tuple[str, ...]]:
        former = self._former_home_regions.get(tenant)
        return [former.regions] if former is not None else []

    # -- synchronisation -----------------------------------------------------------------------------------

    def handle_sync(self, ip: int, message: CounterSync) -> None:
        """Merge a peer's rows; a synchronisation that is not an answer itself is answered."""
        self.unanswered_since.pop(ip, None)
        self.table.merge(
            message.counters, self.slots.current(), self._clock_offsets.offset_of(ip, message.sender_unix_ms)
        )
        for tenant in message.known_tenants:
            self.past.mark_known(tenant)
        self.placement.suspects.clear_suspicion(ip)
        if message.is_answer:
            return
        if message.wants_past:
            self._send_past(ip, message.counters)
        else:
            self._send_sync(ip, self._rows_for_answer(ip, message.counters), is_answer=True)

    def _send_past(self, ip: int, requested: list[CounterRows]) -> None:
        """Send all rows of the requested tenants, and the names of those whose whole past is known here."""
        tenants = {update.tenant for update in requested}
        rows = self.table.updates_for(self.clock.seconds(), self.membership.session_key(ip), tenants, complete=True)
        slot = self.slots.current()
        known_tenants = sorted(tenant for tenant in tenants if self.past.is_known(tenant, slot))
        self._send_sync(ip, rows, is_answer=True, known_tenants=known_tenants)

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
        """Return the rows that a synchronisation is answered with.

        There are none for a replica of the tenants.  A sender that is not a replica by this node's membership table
        counts for nodes that cannot reach a replica: it first gets all rows, and then those that have changed.
        """
        tenants = {update.tenant for update in received}
        replicas = {replica for tenant in tenants for replica in self._replicas_of(tenant)}
        if ip in replicas:
            return []
        return self.table.updates_for(self.clock.seconds(), self.membership.session_key(ip), tenants, is_due=True)

    def _home_regions_of(self, tenant: str) -> tuple[str, ...]:
        regions = self._lookup_home_regions(tenant)
        return tuple(sorted(regions)) if regions is not None else self.reported_home_regions.get(tenant, ())

    def _replicas_of(self, tenant: str) -> list[int]:
        return self.placement.replicas_of(tenant, self._home_regions_of(tenant))

    def _peers_of(self, tenant: str) -> list[int]:
        """Return the nodes that this node synchronises a tenant's counters with."""
        peers = self.placement.peers_of(tenant, self._home_regions_of(tenant))
        for former in self._former_home_regions_of(tenant):
            peers += [peer for peer in self.placement.peers_of(tenant, former) if peer not in peers]
        return peers

    def _is_partitioned(self, tenant: str, now: float) -> bool:
        """Return whether a replica of the tenant has not answered for more than `PARTITION_AFTER_S`."""
        return bool(self.unanswered_since) and any(
            now - self.unanswered_since.get(replica, now) > PARTITION_AFTER_S for replica in self._replicas_of(tenant)
        )

    def _synchronise(self) -> None:
        """Drop expired counts, retry fetches of unknown pasts, and send each peer the rows that are due."""
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
        """Drop counts that are no longer kept, and the state of tenants that have no counts left."""
        slot = self.slots.current()
        self.table.expire(slot)
        self.past.expire(slot)
        for tenant in [tenant for tenant in self.reported_home_regions if tenant not in self.table.counters]:
            del self.reported_home_regions[tenant]
            self._past_fetcher.cancel(tenant)
        for tenant, former in list(self._former_home_regions.items()):
            if slot - former.until_slot >= KEPT_SLOTS:
                del self._former_home_regions[tenant]
