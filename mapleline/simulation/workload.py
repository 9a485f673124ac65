"""Routes, tenants and API keys of the simulated site, and the configurations that contain them."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum
from typing import Any
from zlib import crc32

HOST = "day.example"
IDEMPOTENT = "idempotent"
SLOW_START_RATE_S = 2.0
KEYS_PER_TENANT = 3
BASE_IDLE_TIMEOUT_MS = 15000


@dataclass(frozen=True)
class Route:
    """One route: its kind, its service, and the load and time limits of its requests."""

    kind: str
    service: str
    requests_per_s: float
    """Rate of the clients of each zone."""
    service_time_s: float
    """Mean service time."""
    latency_target_s: float
    deadline_s: float
    home_regions: tuple[str, ...] = ()


@dataclass(frozen=True)
class Quota:
    """A tenant's rate limit, where rate 0 means no limit, and the regions that may serve it (empty for all)."""

    rate_s: float
    burst: float
    home_regions: tuple[str, ...] = ()


ROUTES = {
    "see": Route("idempotent", "slots", 4.0, 0.22, 0.8, 3.0),
    "book": Route("non_idempotent", "slots", 2.0, 0.29, 1.0, 4.0, ("a",)),
    "scan": Route("upload", "records", 0.7, 0.26, 1.0, 4.0),
    "past": Route("idempotent", "records", 0.8, 0.88, 3.0, 12.0),
}
QUOTAS = {
    "t1": Quota(20.0, 20.0),
    "t2": Quota(8.0, 8.0),
    "t3": Quota(4.0, 4.0),
    "t4": Quota(0.0, 0.0),
}
TENANTS = tuple(QUOTAS)


def api_keys(tenant: str) -> list[str]:
    """Return the initial API keys of a tenant."""
    return [f"{tenant}-k{index}" for index in range(KEYS_PER_TENANT)]


def all_api_keys() -> dict[str, list[str]]:
    """Return the initial API keys of each tenant."""
    return {tenant: api_keys(tenant) for tenant in TENANTS}


def content_digest(body: bytes) -> str:
    """Return a short digest of the body of a configuration."""
    return f"{crc32(body):08x}"


def configuration(
    version: int, keys: dict[str, list[str]], serial: int = 0, quotas: Mapping[str, Quota] = QUOTAS
) -> dict[str, Any]:
    """Return a complete configuration; `serial` distinguishes it from others of the same version.

    A tenant of `quotas` without keys in `keys` receives its initial keys.
    """
    return {
        "config_version": version,
        "route_table": {name: _route_row(name, route) for name, route in ROUTES.items()},
        "service_table": {route.service: _service_row() for route in ROUTES.values()},
        "tenant_table": {
            tenant: _tenant_row(quota, keys.get(tenant) or api_keys(tenant)) for tenant, quota in quotas.items()
        },
        "limits": {"idle_timeout": f"{BASE_IDLE_TIMEOUT_MS + serial}ms"},
    }


def _route_row(name: str, route: Route) -> dict[str, Any]:
    return {
        "host_name": HOST,
        "path_prefix": f"/{name}/",
        "route_kind": route.kind,
        "target_service": route.service,
        "timeout": f"{route.deadline_s:g}s",
        "target_latency": f"{route.latency_target_s:g}s",
        "max_attempts": 2,
        "home_regions": list(route.home_regions),
    }


def _service_row() -> dict[str, Any]:
    return {"max_connections": 130, "cold_start": "3s", "cold_rate_s": SLOW_START_RATE_S}


def _tenant_row(quota: Quota, keys: list[str]) -> dict[str, Any]:
    row = {"api_keys": keys, "rate_per_s": quota.rate_s, "burst_size": quota.burst}
    return {**row, "home_regions": list(quota.home_regions)} if quota.home_regions else row


class InvalidVariant(IntEnum):
    """The defect of an invalid configuration."""

    UNKNOWN_SERVICE = 0
    ZERO_TIMEOUT = 1
    LONG_LATENCY_TARGET = 2
    DUPLICATE_API_KEY = 3
    TRUNCATED = 4


def invalid_configuration(version: int, keys: dict[str, list[str]], variant: InvalidVariant) -> bytes:
    """Return the body of a configuration that the balancer must reject."""
    content = configuration(version, keys, serial=-1)
    route = content["route_table"]["see"]
    if variant is InvalidVariant.UNKNOWN_SERVICE:
        route["target_service"] = "nobody"
    elif variant is InvalidVariant.ZERO_TIMEOUT:
        route["timeout"] = "0ms"
    elif variant is InvalidVariant.LONG_LATENCY_TARGET:
        route["target_latency"] = "64s"
    elif variant is InvalidVariant.DUPLICATE_API_KEY:
        content["tenant_table"]["t2"]["api_keys"] = ["t1-k2", "t2-k2"]
    body = json.dumps(content).encode()
    return body[: len(body) // 2] if variant is InvalidVariant.TRUNCATED else body
