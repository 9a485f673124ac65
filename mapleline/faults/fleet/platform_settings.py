"""The platform's settings of an ingress, in the simulator's wire format."""

from __future__ import annotations

from typing import Any

from ..schedule import FleetSettings

NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000
LATE_VALUE = 0.2  # relative value of an answer after its target time
OVERLOAD_FACTOR = 2.5  # a server falls over if arrivals exceed its capacity by this factor
OVERLOAD_WINDOW_S = 2.0  # window over which a server counts arrivals
DRAIN_GRACE_S = 1
QUANTUM_MS = 2
MAX_ATTEMPTS = 3
CONNECTION_IDLE_S = 30
CONNECT_TIMEOUT_MS = 250
MAX_RETRY_AFTER_S = 2
COUNTER_WAIT_MS = 30
KEY_LIFETIME_S = 60
MAX_SOCKETS = 1024
MODEL = "k"

CLASSES: tuple[dict[str, Any], ...] = (
    {"name": "look", "effect": "free"},
    {"name": "pay", "effect": "guarded", "key_scope": "all", "key_ttl_ns": KEY_LIFETIME_S * NS_PER_S},
    {"name": "book", "effect": "single_shot"},
)


def platform_settings(fleet: FleetSettings, ingress_number: int) -> dict[str, Any]:
    """Return the platform's settings of one ingress; the keys are the platform's."""
    class_times = {"aim_ns": fleet.aim_ms * NS_PER_MS, "deadline_ns": fleet.deadline_ms * NS_PER_MS}
    return {
        "balancers": fleet.ingresses,
        "me": ingress_number,
        "locality": ingress_number % len(fleet.zones),
        "zones": list(fleet.zones),
        "kinds": [MODEL],
        "quantum_ns": QUANTUM_MS * NS_PER_MS,
        "weight_kind": "rough",
        "classes": [{**request_class, **class_times, "late_worth": LATE_VALUE} for request_class in CLASSES],
        "plans": [{"name": "wide", "refill": fleet.quota_rate, "depth": fleet.quota_burst}],
        "limits": {
            "attempts_cap": MAX_ATTEMPTS,
            "cancel": True,
            "conn_idle_ns": CONNECTION_IDLE_S * NS_PER_S,
            "dial_timeout_ns": CONNECT_TIMEOUT_MS * NS_PER_MS,
            "max_retry_after_ns": MAX_RETRY_AFTER_S * NS_PER_S,
        },
        "invariants": {
            "drain_grace_ns": DRAIN_GRACE_S * NS_PER_S,
            "cold_from": fleet.cold_from,
            "warm_up_ns": int(fleet.warm_s * NS_PER_S),
            "fall_multiple": OVERLOAD_FACTOR,
            "fall_ns": int(OVERLOAD_WINDOW_S * NS_PER_S),
        },
        "specifics": {"may_count": True, "count_wait_ns": COUNTER_WAIT_MS * NS_PER_MS},
    }
