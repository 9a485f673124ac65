"""The replica side of quotas: counts what nodes ask for, and synchronises with the shard's other replica."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from ..transport.messages import CounterIncrement, CounterRows, CounterSync, CounterValue
from .counters import CounterTable

if TYPE_CHECKING:
    from ..clock import Clock
    from ..membership.table import MembershipTable
    from .placement import ReplicaPlacement

#: Between two looks at what peers have to be sent (docs/design/system.md, Bounds, QUOTA).
SYNC_INTERVAL_S = 0.05

#: A peer that has left a synchronisation unanswered for so long is taken for partitioned.
PARTITION_AFTER_S = 0.6


class CounterReplica:
    """The counters of the shards that this node is a replica of.

    Attributes:
        table: The counters.
        unanswered_since: Peers that have left a synchronisation unanswered, and since when.
        homes: The home regions of each tenant that was counted here, as its last increment named them.
    """

    def __init__(
        self,
        clock: Clock,
        membership: MembershipTable,
        placement: ReplicaPlacement,
        send: Callable[[int, CounterSync], None],
    ) -> None:
        """Without counters, in this process's incarnation."""
        self.clock = clock
        self.membership = membership
        self.placement = placement
        self.send = send
        self.table = CounterTable(membership.session_key(membership.local_member.ip))
        self.unanswered_since: dict[int, float] = {}
        self.homes: dict[str, tuple[str, ...]] = {}

    def start(self) -> None:
        """Begin to synchronise, first after `SYNC_INTERVAL_S`."""
        self.clock.callLater(SYNC_INTERVAL_S, self._synchronise)

    def increment(self, ip: int, message: CounterIncrement) -> CounterValue:
        """Apply a node's increment and return the counts before it."""
        self.homes[message.tenant] = homes = tuple(message.home_regions)
        sender = self.membership.session_key(ip)
        current, previous = self.table.add(
            sender, message.nonce, message.tenant, message.window, message.units, message.window_limit
        )
        now = self.clock.seconds()
        if self._is_partitioned(message.tenant, homes, now):
            # behind a partition the other replica lets in as much as this one
            current = max(current, 2 * self.table.own_count(message.tenant, message.window))
            previous = max(previous, 2 * self.table.own_count(message.tenant, message.window - 1))
        isolation_factor = self.membership.isolation_factor(now)
        return CounterValue(message.nonce, current * isolation_factor, previous * isolation_factor)

    def revert(self, ip: int, message: CounterIncrement) -> None:
        """Take off what a node's increment of that nonce added."""
        self.homes[message.tenant] = tuple(message.home_regions)
        self.table.revert(self.membership.session_key(ip), message.nonce, message.tenant, message.window)

    def handle_sync(self, ip: int, message: CounterSync) -> None:
        """Merge a peer's rows; a synchronisation that is no answer itself is answered."""
        self.unanswered_since.pop(ip, None)
        self.table.merge(message.counters)
        self.placement.suspects.trust(ip)
        if not message.is_answer:
            self.send(ip, CounterSync(self._rows_for_answer(ip, message.counters), is_answer=True))

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

    def _is_partitioned(self, tenant: str, homes: tuple[str, ...], now: float) -> bool:
        """Return whether a replica of the tenant has not answered for long."""
        return bool(self.unanswered_since) and any(
            now - self.unanswered_since.get(replica, now) > PARTITION_AFTER_S
            for replica in self.placement.replicas_of(tenant, homes)
        )

    def _synchronise(self) -> None:
        """Send each peer the rows that are due."""
        self.clock.callLater(SYNC_INTERVAL_S, self._synchronise)
        now = self.clock.seconds()
        for peer, tenants in self._tenants_by_peer().items():
            updates = self.table.updates_for(now, self.membership.session_key(peer), tenants)
            if updates:
                self.unanswered_since.setdefault(peer, now)
                self.send(peer, CounterSync(updates))

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
