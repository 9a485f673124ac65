"""The servers that a request may go to, and the choice of one of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...policy.placing import Target, choose
from .attempt_limits import MIN_ATTEMPT_S

if TYPE_CHECKING:
    from ..discovery.endpoints import Instance
    from ..routing_table import RoutingTable
    from .dependencies import ProxyDependencies
    from .request_context import RequestContext
    from .route_statistics import RouteStatistics
    from .routing_state import RoutingState
    from .slow_start import SlowStart

BYTES_PER_KB = 1000


class EndpointSelection:
    """Keeps a `Target` a server of the endpoint list, and chooses among them."""

    def __init__(
        self,
        dependencies: ProxyDependencies,
        routing: RoutingState,
        slow_start: SlowStart,
        statistics: RouteStatistics,
    ) -> None:
        """Begin without servers."""
        self.targets: dict[str, Target] = {}  #: by the server's id
        self._settings = dependencies.settings
        self._endpoints = dependencies.endpoints
        self._upstream_pool = dependencies.upstream_pool
        self._rng = dependencies.rng
        self._routing = routing
        self._slow_start = slow_start
        self._statistics = statistics

    def update(self) -> None:
        """Follow the endpoint list, which has changed."""
        instances = self._endpoints.instances
        for instance_id, instance in instances.items():
            target = self.targets.get(instance_id)
            if target is None:
                target = self._make_target(instance)
                self.targets[instance_id] = target
            target.warming_until = max(target.warming_until, instance.warming_until)
        removed_ids = [instance_id for instance_id in self.targets if instance_id not in instances]
        for instance_id in removed_ids:
            self._upstream_pool.close_connections(self.targets.pop(instance_id))
        self._slow_start.request_leases()

    def _make_target(self, instance: Instance) -> Target:
        region = self._settings.zones.get(instance.zone, "")
        return Target(instance.id, instance.service, instance.zone, region, instance.slots)

    def remove(self, target: Target) -> None:
        """Send nothing more to a server that is not the one of the list any more."""
        self.targets.pop(target.id, None)

    def instance_of(self, target: Target) -> Instance:
        """Return the entry of the endpoint list for a target that was chosen just now."""
        return self._endpoints.instances[target.id]

    def choose_target(self, context: RequestContext, table: RoutingTable, now: float) -> Target | None:
        """Return the server with the least expected latency, None if no server is eligible."""
        admitted = context.admitted
        regions = self._allowed_regions(context, table)
        has_time = context.deadline - now > MIN_ATTEMPT_S
        targets = self._eligible_targets(table, admitted.service, regions, now) if has_time else []
        transfer_bytes = context.body_bytes + self._statistics.response_bytes(admitted.statistics_key)
        # the last slots of a region are left to requests that may not leave it
        reserved_regions = table.homes.get(admitted.service, ()) if regions is None else ()
        return choose(
            now,
            targets,
            self._settings.zone,
            self._settings.region,
            context.attempted_ids,
            self._rng,
            transfer_bytes / BYTES_PER_KB,
            reserved_regions,
        )

    def _allowed_regions(self, context: RequestContext, table: RoutingTable) -> set[str] | None:
        """Return the regions that both route and tenant allow (rule HOME), None for all."""
        admitted = context.admitted
        regions = set(admitted.route.home_regions) or None
        tenant = table.tenants.get(admitted.tenant_id) if admitted.tenant_id else None
        if tenant is None or not tenant.home_regions:
            return regions
        if regions is None:
            return set(tenant.home_regions)
        return regions & set(tenant.home_regions)

    def _eligible_targets(
        self, table: RoutingTable, service: str, regions: set[str] | None, now: float
    ) -> list[Target]:
        """Return the servers of a service that a request may go to now."""
        slow_start_rate = table.services[service].cold_rate_s if service in table.services else 0.0
        evacuated_zones = self._routing.evacuated_zones
        eligible = []
        for instance in self._endpoints.instances.values():
            target = self.targets.get(instance.id)
            if target is None or instance.service != service:
                continue
            if not instance.ready or instance.zone in evacuated_zones:
                continue
            if regions is not None and target.region not in regions:
                continue
            if self._slow_start.is_warming_up(instance, now) and not self._may_warm_up(
                instance, target, slow_start_rate, now
            ):
                continue
            eligible.append(target)
        return eligible

    def _may_warm_up(self, instance: Instance, target: Target, slow_start_rate: float, now: float) -> bool:
        """Return whether a server that is warming up may get a request from this node now."""
        if not self._slow_start.has_lease(instance, now):
            return False
        return target.has_slow_start_token(now, self._slow_start.max_rate_per_s(instance, now, slow_start_rate))
