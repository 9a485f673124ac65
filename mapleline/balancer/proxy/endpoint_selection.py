"""Selection of a server for an attempt: eligibility, then the least expected latency."""

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
    """Keeps one `Target` for each server of the endpoint list, and chooses among them."""

    def __init__(
        self,
        dependencies: ProxyDependencies,
        routing: RoutingState,
        slow_start: SlowStart,
        statistics: RouteStatistics,
    ) -> None:
        """Start with no servers."""
        self.targets: dict[str, Target] = {}  #: by the server's id
        self._settings = dependencies.settings
        self._endpoints = dependencies.endpoints
        self._upstream_pool = dependencies.upstream_pool
        self._rng = dependencies.rng
        self._routing = routing
        self._slow_start = slow_start
        self._statistics = statistics

    def update(self) -> None:
        """Add and remove targets after a change of the endpoint list."""
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
        """Stop sending to a target: the server at its address is no longer the one that the endpoint list names."""
        self.targets.pop(target.id, None)

    def instance_of(self, target: Target) -> Instance:
        """Return the endpoint list's entry for a target that `choose_target` returned just now."""
        return self._endpoints.instances[target.id]

    def choose_target(self, context: RequestContext, table: RoutingTable, now: float) -> Target | None:
        """Return the eligible server with the least expected latency; None if there is none or too little time."""
        admitted = context.admitted
        regions = self._allowed_regions(context, table)
        has_time = context.deadline - now > MIN_ATTEMPT_S
        targets = self._eligible_targets(table, admitted.service, regions, now) if has_time else []
        transfer_bytes = context.body_bytes + self._statistics.response_bytes(admitted.statistics_key)
        # the last slots of these regions are left to requests that may not leave them
        reserved_regions = table.home_regions_by_service.get(admitted.service, ()) if regions is None else ()
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
        """Return the regions that both the route and the tenant allow (rule HOME); None if all are allowed."""
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
        """Return the servers of a service to which a request may be sent now.

        `regions` are the allowed ones; None if all are allowed.
        """
        slow_start_rate_per_s = table.services[service].cold_rate_s if service in table.services else 0.0
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
                instance, target, slow_start_rate_per_s, now
            ):
                continue
            eligible.append(target)
        return eligible

    def _may_warm_up(self, instance: Instance, target: Target, slow_start_rate_per_s: float, now: float) -> bool:
        """Return whether this node may send a request now to a server that is warming up."""
        if not self._slow_start.has_lease(instance, now):
            return False
        return target.has_slow_start_token(now, self._slow_start.max_rate_per_s(instance, now, slow_start_rate_per_s))
