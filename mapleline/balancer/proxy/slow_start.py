"""Slow start: which servers are warming up, which node may send to them, and at which rate.

See docs/design/slow-start.md.
"""

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
"""How long a server counts as warming up after its warm-up: the window of the rule FAILBACK, 1 s, and a margin for
differences of clocks and transmission times."""

HOLDER_BURST = 2.5
"""Requests that two successive lease holders can send in one second beyond the rate, with a margin of 0.5."""

HOLDER_SENDING_S = 1.35
"""Time of sending by two successive lease holders whose requests can arrive within one second."""

LONG_AGO = -1e9


class SlowStart:
    """Tracks the servers that are warming up.  While `leases` is None, the node sends to none of them."""

    def __init__(self, dependencies: ProxyDependencies, routing: RoutingState) -> None:
        """Start without leases and without a zone whose evacuation has ended."""
        self.leases: SlowStartLeases | None = None
        self.required_fetch_time: dict[str, float] = {}
        """By zone whose evacuation has ended, in seconds on the node's clock: its servers count as warming up until the
        endpoint list was fetched at this time or later."""
        self._clock = dependencies.clock
        self._settings = dependencies.settings
        self._membership = dependencies.membership
        self._endpoints = dependencies.endpoints
        self._routing = routing

    def on_evacuation_ended(self, zone: str) -> None:
        """Count the zone's servers as warming up until the endpoint list shows whether they are.

        They may have started to warm up shortly before the evacuation ended.  The platform's list lags by up to
        `max_lag`, so only a list that is fetched that much later is certain to show it.
        """
        self.required_fetch_time[zone] = self._clock.seconds() + self._settings.cloud_api.max_lag
        self.request_leases()

    def request_leases(self) -> None:
        """Request the wanted leases from the voters now."""
        if self.leases is not None:
            self.leases.request_leases()

    def is_warming_up(self, instance: Instance, now: float) -> bool:
        """Return whether the server is warming up, or was within the last `WARM_UP_MARGIN_S`.

        The margin is needed because the rule FAILBACK counts a whole second if it starts while a server is warming up.
        """
        warm_at = max(instance.warming_until, instance.warm_up_ended_at + WARM_UP_MARGIN_S)
        return now < warm_at or self._is_list_outdated(instance)

    def _is_list_outdated(self, instance: Instance) -> bool:
        return self._endpoints.fetched_at < self.required_fetch_time.get(instance.zone, LONG_AGO)

    def max_rate_per_s(self, instance: Instance, now: float, configured_rate_per_s: float) -> float:
        """Return the requests per second that the lease holder may send to a server that is warming up.

        During the warm-up it is the configured rate.  Within the margin after it, it is the highest rate that the rule
        FAILBACK allows: two successive holders send at most 2 + 1.35 x rate requests in one second.
        """
        if now < instance.warming_until or self._is_list_outdated(instance):
            return configured_rate_per_s
        bounds = self._settings.protocol_bounds
        allowed = configured_rate_per_s * bounds.cold_overshoot + bounds.cold_slack
        return max(configured_rate_per_s, (allowed - HOLDER_BURST) / HOLDER_SENDING_S)

    def has_lease(self, instance: Instance, now: float) -> bool:
        """Return whether this node holds the exclusive lease for sending to a server that is warming up."""
        return self.leases is not None and self.leases.is_held(server_checksum(instance.id), now)

    def wanted_leases(self, now: float) -> list[int]:
        """Return the checksums of the servers whose leases this node should request.

        Each server's lease is requested by one ready node of its zone, chosen by a hash.  Nodes that differ in their
        view of the membership may request the same lease; at most one of them holds it.
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
        """Return the addresses of the ready nodes, first by zone and then of all zones."""
        members = self._membership.live_members(now, MemberFlags.READY)
        ips_by_zone = {
            zone: [member.ip for member in members if member.zone == index]
            for index, zone in enumerate(sorted(self._settings.zones))
        }
        return ips_by_zone, [member.ip for member in members]


def _preferred_holder(ips: list[int], instance_id: str) -> int:
    """Return the address of the node with the least hash for this server (rendezvous hashing); 0 if there is none."""
    encoded_id = instance_id.encode()
    return min(ips, key=lambda ip: crc32(b"%d %s" % (ip, encoded_id)), default=0)
