"""Admission of a request by its route, its key and its deadline, before any server or quota is looked at."""

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
"""When to come back where nothing better is known."""

CLIENT_RETRY_SHARE = 0.97
"""Of a route's longest timeout: a request that has less is taken for a retry by the client."""

NOT_READY = Rejection(503, b"not ready", RETRY_AFTER_S)
NO_ROUTE = Rejection(404, b"no route")
NO_REQUEST_ID = Rejection(400, b"no Request-Id")
UNKNOWN_KEY = Rejection(401, b"unknown key")


def authorized_tenant(table: RoutingTable, request: Request) -> str | None:
    """Return the tenant whose key the request carries, None for an unknown key or none."""
    return table.owner(request.headers.get(b"authorization", b"").decode("latin-1"))


def _find_route(table: RoutingTable, request: Request) -> Route | None:
    host = request.headers.get(b"host", b"").decode("latin-1").lower()
    path = request.target.partition(b"?")[0].decode("latin-1")
    return table.route(host, path)


def _timeout_s(route: Route, request: Request) -> float:
    """Return the time left by `Deadline-Ms`, the route's timeout at most."""
    deadline_ms = request.headers.get(b"deadline-ms", b"")
    if not deadline_ms.isdigit():
        return route.timeout
    return min(route.timeout, int(deadline_ms) / 1000)


class Admission:
    """Decides which requests are served, and what is known of them from the start."""

    def __init__(self, dependencies: ProxyDependencies, routing: RoutingState, counters: RequestCounters) -> None:
        """Begin without knowledge of the clients' timeouts."""
        self._can_serve = dependencies.can_serve
        self._rng = dependencies.rng
        self._routing = routing
        self._counters = counters
        self._longest_timeouts_s: dict[str, float] = {}  # by the route's prefix

    def decide(self, request: Request) -> AdmittedRequest | Rejection:
        """Return what the request is, or the response that rejects it."""
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
        """Return whether the timeout is what earlier attempts of the client left of its usual one."""
        longest_s = max(timeout_s, self._longest_timeouts_s.get(route.path_prefix, 0.0))
        self._longest_timeouts_s[route.path_prefix] = longest_s
        return timeout_s < CLIENT_RETRY_SHARE * longest_s

    def _choose_service(self, route: Route) -> str:
        """Return the route's service, of a split a random one by its weights."""
        shares = route.shares
        if len(shares) == 1:
            return shares[0][0]
        names = [name for name, _ in shares]
        weights = [weight for _, weight in shares]
        return self._rng.choices(names, weights)[0]
