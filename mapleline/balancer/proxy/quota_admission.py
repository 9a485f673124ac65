"""Admission of a request by its tenant's quota, whose counters are kept by the quota replicas."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from ...policy.window import QuotaConsultation, TenantLimit, WindowUsage
from . import counters
from .admission import RETRY_AFTER_S
from .request_context import QuotaUse, Rejection

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..configuration import Tenant
    from ..routing_table import RoutingTable
    from .counters import RequestCounters
    from .dependencies import ProxyDependencies
    from .request_context import RequestContext

QUOTA_UNKNOWN = Rejection(503, b"quota unknown", RETRY_AFTER_S)


class QuotaAdmission:
    """Dispatches requests within their tenant's quota, and rejects the others."""

    def __init__(
        self,
        dependencies: ProxyDependencies,
        counters: RequestCounters,
        dispatch: Callable[[RequestContext], None],
    ) -> None:
        """Start with no tenants; `dispatch` sends an admitted request to a server."""
        self._clock = dependencies.clock
        self._bounds = dependencies.settings.protocol_bounds
        self._consult_quota = dependencies.consult_quota
        self._counters = counters
        self._dispatch = dispatch
        self._tenant_limits: dict[str, TenantLimit] = {}

    def admit(self, context: RequestContext, table: RoutingTable) -> None:
        """Dispatch or reject the request: at once if its tenant has no quota, else when the counters have answered."""
        tenant_id = context.admitted.tenant_id
        tenant = table.tenants.get(tenant_id) if tenant_id else None
        if tenant_id is None or tenant is None or tenant.rate_per_s <= 0:
            self._dispatch(context)
            return
        tenant_limit = self._tenant_limit(tenant_id, tenant)
        on_answer = partial(self._on_quota_answer, context, QuotaUse(tenant_limit, tenant.home_regions))
        self._consult_quota(QuotaConsultation(tenant_limit, tenant.home_regions, on_answer))

    def _tenant_limit(self, tenant_id: str, tenant: Tenant) -> TenantLimit:
        """Return the tenant's limit; it is created anew when the configured rate or burst has changed."""
        rate_and_burst = (tenant.rate_per_s, tenant.burst_size)
        tenant_limit = self._tenant_limits.get(tenant_id)
        if tenant_limit is None or tenant_limit.rate_and_burst != rate_and_burst:
            bounds = self._bounds
            tenant_limit = TenantLimit(
                tenant_id, *rate_and_burst, bounds.quota_window, bounds.quota_overshoot, bounds.quota_slack
            )
            self._tenant_limits[tenant_id] = tenant_limit
        return tenant_limit

    def _on_quota_answer(self, context: RequestContext, quota: QuotaUse, usage: WindowUsage | None) -> bool:
        """Dispatch or reject the request.

        Args:
            context: the request.
            quota: the quota use that the request gets if it is dispatched.
            usage: the tenant's usage by the counters; None if no counter answered in time.

        Returns:
            Whether the request was sent to a server, so that its unit stays counted.
        """
        if context.is_finished:
            return False
        if usage is None:
            self._counters.increment(counters.QUOTA_UNKNOWN)
            context.reject(QUOTA_UNKNOWN)
            return False
        retry_after_s = quota.tenant_limit.decide(usage, self._clock.seconds())
        if retry_after_s is not None:
            self._counters.increment(counters.OVER_QUOTA)
            context.reject(Rejection(429, b"over quota", retry_after_s))
            return False
        context.quota = quota
        self._dispatch(context)
        return context.attempt_count > 0
