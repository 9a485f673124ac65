"""Tenants, routes and configurations of a soak test."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any

from .stand_ins import SERVICE

HOST_NAME = "soak.example"
READ_PATH = "/read/x"
BOOK_PATH = "/book/x"
READ_SHARE = 0.7
CLIENT_DEADLINE_S = 3.0


@dataclass(frozen=True, slots=True)
class TenantSpec:
    """A tenant.

    Attributes:
        name: Name of the tenant.
        rate_per_s: Limit in requests per second; 0 for no limit.
        burst_size: Requests that the limit allows at once.
        load_per_s: Requests that its clients send per second.
    """

    name: str
    rate_per_s: float
    burst_size: float
    load_per_s: float

    @property
    def api_key(self) -> str:
        """API key of the tenant, the same in all configurations."""
        return f"key-{self.name}"


#: Three tenants send several times their limit, one sends less than its limit, one has no limit.  A limit with a small
#: burst has a short window, one with a large burst a long window.
TENANTS = (
    TenantSpec("hot-even", 20.0, 20.0, 70.0),
    TenantSpec("hot-little-burst", 28.0, 13.0, 70.0),
    TenantSpec("hot-much-burst", 10.0, 40.0, 40.0),
    TenantSpec("steady", 12.0, 12.0, 8.0),
    TenantSpec("unlimited", 0.0, 0.0, 15.0),
)


@dataclass(slots=True)
class ConfigurationState:
    """Content of the operator's next configuration.

    Attributes:
        limits: Rate per second and burst, by tenant.
        homes: Home regions, by tenant.
        extra_tenants: Number of further tenants, which send no requests.
        extra_routes: Number of further routes, which get no requests.
    """

    limits: dict[str, tuple[float, float]] = field(
        default_factory=lambda: {tenant.name: (tenant.rate_per_s, tenant.burst_size) for tenant in TENANTS}
    )
    homes: dict[str, list[str]] = field(default_factory=dict)
    extra_tenants: int = 12
    extra_routes: int = 0

    def body(self, version: int, serial: int) -> bytes:
        """Return the configuration as JSON; `serial` makes contents under one version differ."""
        document = {
            "config_version": version,
            "route_table": self._routes(),
            "service_table": {SERVICE: {"max_connections": 200, "cold_start": "3s", "cold_rate_s": 20}},
            "tenant_table": self._tenants(),
            "limits": {"idle_timeout": f"{15000 + serial}ms"},
        }
        return json.dumps(document).encode()

    def _routes(self) -> dict[str, Any]:
        common = {
            "host_name": HOST_NAME,
            "timeout": "3000ms",
            "target_latency": "1000ms",
            "target_service": SERVICE,
            "max_attempts": 2,
        }
        routes = {
            "read": {**common, "path_prefix": "/read/", "route_kind": "idempotent"},
            "book": {**common, "path_prefix": "/book/", "route_kind": "non_idempotent"},
        }
        for number in range(self.extra_routes):
            routes[f"extra-{number}"] = {**common, "path_prefix": f"/extra-{number}/", "route_kind": "idempotent"}
        return routes

    def _tenants(self) -> dict[str, Any]:
        rows: dict[str, Any] = {}
        for tenant in TENANTS:
            rate_per_s, burst = self.limits[tenant.name]
            rows[tenant.name] = {"api_keys": [tenant.api_key], "rate_per_s": rate_per_s, "burst_size": burst}
            if self.homes.get(tenant.name):
                rows[tenant.name]["home_regions"] = self.homes[tenant.name]
        for number in range(self.extra_tenants):
            rows[f"extra-{number}"] = {"api_keys": [f"key-extra-{number}"], "rate_per_s": 5, "burst_size": 5}
        return rows
