"""Slow start: which servers are warming up, who alone sends to them, and at which rate (docs/design/slow-start.md)."""

from __future__ import annotations

from typing import TYPE_CHECKING
from zlib import crc32

from ..membership.member import MemberFlags
from .server_checksum import server_checksum

if TYPE_CHECKING:
    from ..discovery.endpoints import Instance
    from .dependencies import ProxyDependencies
    from .routing_state import RoutingState
    from .slow_start_leases import SlowStartLeases

WARM_UP_MARGIN_S = 1.05
"""After the warm-up: the second of the rule FAILBACK, and what clocks and transmission times differ by."""

HOLDER_BURST = 2.5
"""Requests of two successive holders in one second beside those by rate, with 0.5 to spare."""

HOLDER_SECONDS = 1.35
"""Seconds of sending by two successive holders that can arrive within one second."""

LONG_AGO = -1e9


class SlowStart:
    """Knows the servers that are warming up.  Without `leases` the node sends to none of them."""

    def __init__(self, dependencies: ProxyDependencies, routing: RoutingState) -> None:
        """Begin without leases and without a zone whose evacuation has ended."""
        self.leases: SlowStartLeases | None = None
        self.required_fetch_time: dict[str, float] = {}
        """By zone whose evacuation has ended: its servers count as warming up until the endpoint list is as new."""
        self._clock = dependencies.clock
        self._settings = dependencies.settings
        self._membership = dependencies.membership
        self._endpoints = dependencies.endpoints
        self._routing = routing

    def on_evacuation_ended(self, zone: str) -> None:
        """Count the zone's servers as warming up until a list is known that shows whether they are.

        They may have begun to warm up shortly before; only a list that is fetched `max_lag` later shows it.
        """
        self.required_fetch_time[zone] = self._clock.seconds() + self._settings.cloud_api.max_lag
        self.request_leases()

    def request_leases(self) -> None:
        """Ask the voters now for the leases that are wanted."""
        if self.leases is not None:
            self.leases.request_leases()

    def is_warming_up(self, instance: Instance, now: float) -> bool:
        """Return whether the server is warming up, or was within the margin.

        The margin is there because a second that begins while a server warms up counts whole.
        """
        warm_at = max(instance.warming_until, instance.warm_up_ended_at + WARM_UP_MARGIN_S)
        return now < warm_at or self._is_list_outdated(instance)

    def _is_list_outdated(self, instance: Instance) -> bool:
        return self._endpoints.fetched_at < self.required_fetch_time.get(instance.zone, LONG_AGO)

    def max_rate_per_s(self, instance: Instance, now: float, configured_rate_per_s: float) -> float:
        """Return the requests a second that the lease holder may send to a server that is warming up.

        Within the margin after the warm-up it is what the rule FAILBACK leaves: two holders send
        2 + 1.35 x rate in a second at most.
        """
        if now < instance.warming_until or self._is_list_outdated(instance):
            return configured_rate_per_s
        bounds = self._settings.protocol_bounds
        allowed = configured_rate_per_s * bounds.cold_overshoot + bounds.cold_slack
        return max(configured_rate_per_s, (allowed - HOLDER_BURST) / HOLDER_SECONDS)

    def has_lease(self, instance: Instance, now: float) -> bool:
        """Return whether this node alone may send to a server that is warming up."""
        return self.leases is not None and self.leases.is_held(server_checksum(instance.id), now)

    def wanted_leases(self, now: float) -> list[int]:
        """Return the checksums of the servers for which this node should ask for the lease.

        For each server it is one ready node of its zone, chosen by a hash.  Nodes may differ in their view of the
        membership; the lease itself is exclusive.
        """
        warming_up = [
            instance
            for instance in self._endpoints.instances.values()
            if self._is_served(instance) and self.is_warming_up(instance, now)
        ]
        if not warming_up:
            return []
        ips_by_zone, all_ips = self._ready_nodes(now)
        own_ip = self._membership.local_member.ip
        return [
            server_checksum(instance.id)
            for instance in warming_up
            if _preferred_holder(ips_by_zone.get(instance.zone) or all_ips, instance.id) == own_ip
        ]

    def _is_served(self, instance: Instance) -> bool:
        return instance.ready and instance.zone not in self._routing.evacuated_zones

    def _ready_nodes(self, now: float) -> tuple[dict[str, list[int]], list[int]]:
        """Return the addresses of the ready nodes by zone, and all of them."""
        members = self._membership.alive(now, MemberFlags.READY)
        ips_by_zone = {
            zone: [member.ip for member in members if member.zone == index]
            for index, zone in enumerate(sorted(self._settings.zones))
        }
        return ips_by_zone, [member.ip for member in members]


def _preferred_holder(ips: list[int], instance_id: str) -> int:
    """Return the node with the least hash for this server (rendezvous hashing), 0 if there is none."""
    encoded_id = instance_id.encode()
    return min(ips, key=lambda ip: crc32(b"%d %s" % (ip, encoded_id)), default=0)
