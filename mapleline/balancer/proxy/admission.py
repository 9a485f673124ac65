"""Admission of a request by its route, its key and its deadline; quota and servers are considered afterwards."""

from __future__ import annotations

from typing import TYPE_CHECKING

from . import counters
from .request_context import AdmittedRequest, Rejection

if TYPE_CHECKING:
    from ...http1 import Request
    from ..configuration import Route
    from ..routing_table import RoutingTable
    from .counters import RequestCounters
    from .dependencies import ProxyDependencies
    from .routing_state import RoutingState

RETRY_AFTER_S = 0.3
"""Default of `Retry-After` where no better estimate is available."""

CLIENT_RETRY_SHARE = 0.97
"""A request with less than this share of its route's longest timeout is taken for a retry by the client."""

NOT_READY = Rejection(503, b"not ready", RETRY_AFTER_S)
NO_ROUTE = Rejection(404, b"no route")
NO_REQUEST_ID = Rejection(400, b"no Request-Id")
UNKNOWN_KEY = Rejection(401, b"unknown key")


def authorized_tenant(table: RoutingTable, request: Request) -> str | None:
    """Return the tenant that the request's key belongs to; None if the key is missing or unknown."""
    return table.tenant_for_authorization(request.headers.get(b"authorization", b"").decode("latin-1"))


def _find_route(table: RoutingTable, request: Request) -> Route | None:
    host = request.headers.get(b"host", b"").decode("latin-1").lower()
    path = request.target.partition(b"?")[0].decode("latin-1")
    return table.route(host, path)


def _timeout_s(route: Route, request: Request) -> float:
    """Return the time that the header `Deadline-Ms` leaves, but not more than the route's timeout."""
    deadline_ms = request.headers.get(b"deadline-ms", b"")
    if not deadline_ms.isdigit():
        return route.timeout
    return min(route.timeout, int(deadline_ms) / 1000)


class Admission:
    """Decides which requests are admitted, and determines their route, service, tenant and timeout."""

    def __init__(self, dependencies: ProxyDependencies, routing: RoutingState, counters: RequestCounters) -> None:
        """Start with no timeouts of earlier requests."""
        self._can_serve = dependencies.can_serve
        self._rng = dependencies.rng
        self._routing = routing
        self._counters = counters
        self._longest_timeouts_s: dict[str, float] = {}  # by the route's path prefix

    def decide(self, request: Request) -> AdmittedRequest | Rejection:
        """Return the admitted request, or the response that rejects it."""
        table = self._routing.table
        if table is None or not self._can_serve():
            self._counters.increment(counters.NOT_READY)
            return NOT_READY
        route = _find_route(table, request)
        if route is None:
            return NO_ROUTE
        request_id = request.headers.get(b"request-id", b"")
        if not request_id:
            return NO_REQUEST_ID
        tenant_id = authorized_tenant(table, request)
        if tenant_id is None and table.tenants and not route.anonymous:
            return UNKNOWN_KEY
        timeout_s = _timeout_s(route, request)
        return AdmittedRequest(
            request_id=request_id,
            route=route,
            service=self._choose_service(route),
            tenant_id=tenant_id,
            timeout_s=timeout_s,
            is_client_retry=self._is_client_retry(route, timeout_s),
        )

    def _is_client_retry(self, route: Route, timeout_s: float) -> bool:
        """Return whether the client made an earlier attempt, which used up a part of its usual timeout.

        The longest timeout seen on the route is taken for the usual one.
        """
        longest_s = max(timeout_s, self._longest_timeouts_s.get(route.path_prefix, 0.0))
        self._longest_timeouts_s[route.path_prefix] = longest_s
        return timeout_s < CLIENT_RETRY_SHARE * longest_s

    def _choose_service(self, route: Route) -> str:
        """Return the route's service; of a weighted split, a random one by its weights."""
        shares = route.shares
        if len(shares) == 1:
            return shares[0][0]
        names = [name for name, _ in shares]
        weights = [weight for _, weight in shares]
        return self._rng.choices(names, weights)[0]
