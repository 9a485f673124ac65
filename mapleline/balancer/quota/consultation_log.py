"""What a node's consultations came to, tenant by tenant, logged for those tenants that were rejected.

On call it answers, across nodes: which limit did each decide by, in which slots, and which replicas did it ask?
"""

from __future__ import annotations

import logging
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from ..transport.addresses import ip_from_int

if TYPE_CHECKING:
    from ...policy.window import Tenancy

logger = logging.getLogger(__name__)

#: Between two lines on one tenant: the length of the quota's own window in the deployments known.
LOG_INTERVAL_S = 5.0

#: Tenants that one interval's lines name at most: many tenants at their limits at once must not flood the log.
MAX_TENANTS_LOGGED = 8


class ConsultationOutcome(Enum):
    """How a consultation ended."""

    ADMITTED = "admitted"
    REJECTED = "rejected"
    UNANSWERED = "unanswered"


@dataclass(slots=True)
class TenantConsultations:
    """One tenant's consultations since the last line.

    Attributes:
        counts: By outcome.
        limits: The rates and bursts that they were decided by.
        slots: The first and the last slot that they were sent in, by the own clock.
        replicas: Who was asked.
    """

    counts: dict[ConsultationOutcome, int] = field(default_factory=lambda: dict.fromkeys(ConsultationOutcome, 0))
    limits: set[tuple[float, float]] = field(default_factory=set)
    slots: tuple[int, int] | None = None
    replicas: set[int] = field(default_factory=set)

    @property
    def is_worth_logging(self) -> bool:
        """Whether any was not admitted."""
        return self.counts[ConsultationOutcome.ADMITTED] < sum(self.counts.values())


class ConsultationLog:
    """Collects outcomes, and writes them to the log at intervals."""

    def __init__(self) -> None:
        """Begin with no consultation."""
        self._tenants: dict[str, TenantConsultations] = {}
        self._last_logged_at = 0.0

    def record(self, tenancy: Tenancy, slot: int, replicas: set[int], outcome: ConsultationOutcome) -> None:
        """Count one consultation that has ended; `replicas` are the addresses that were asked."""
        row = self._tenants.get(tenancy.name)
        if row is None:
            row = self._tenants[tenancy.name] = TenantConsultations()
        row.counts[outcome] += 1
        row.limits.add(tenancy.limits)
        first, last = row.slots or (slot, slot)
        row.slots = min(first, slot), max(last, slot)
        row.replicas |= replicas

    def log_if_due(self, now: float) -> None:
        """Write a line for each tenant that was rejected or got no answer, if the interval is over."""
        if now - self._last_logged_at < LOG_INTERVAL_S:
            return
        self._last_logged_at = now
        tenants, self._tenants = self._tenants, {}
        worth_logging = [(name, row) for name, row in tenants.items() if row.is_worth_logging]
        for name, row in worth_logging[:MAX_TENANTS_LOGGED]:
            logger.info("tenant limited", extra=_fields(name, row, len(worth_logging)))


def _fields(tenant: str, row: TenantConsultations, tenant_count: int) -> dict[str, object]:
    """Return the fields of a tenant's line; `tenant_count` tenants were limited in the interval."""
    return {
        "tenant": tenant,
        **{outcome.value: count for outcome, count in row.counts.items()},
        "limits": sorted(row.limits),
        "slots": row.slots,
        "replicas": [ip_from_int(ip) for ip in sorted(row.replicas)],
        "tenants_limited": tenant_count,
    }
