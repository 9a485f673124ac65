"""The configuration of the trial cluster."""

from __future__ import annotations

import json

HOST_NAME = "try.example"
SERVICE = "agenda"
API_KEY = "try-key"
BOOKING_PREFIX = "/book/"
DEFAULT_PREFIX = "/slots/"
ROUTE = {
    "host_name": HOST_NAME,
    "timeout": "3000ms",
    "target_latency": "800ms",
    "target_service": SERVICE,
    "max_attempts": 2,
}


def sample_configuration(version: int, prefix: str = DEFAULT_PREFIX) -> bytes:
    """Return a complete configuration with an idempotent route under `prefix` and a non-idempotent booking route."""
    return json.dumps(
        {
            "config_version": version,
            "route_table": {
                "read": dict(ROUTE, path_prefix=prefix, route_kind="idempotent"),
                "book": dict(ROUTE, path_prefix=BOOKING_PREFIX, route_kind="non_idempotent"),
            },
            "service_table": {SERVICE: {"max_connections": 100, "cold_start": "3s", "cold_rate_s": 20}},
            "tenant_table": {"clinic": {"api_keys": [API_KEY], "rate_per_s": 50, "burst_size": 50}},
        }
    ).encode()
