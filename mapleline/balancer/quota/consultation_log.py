"""Logs the outcomes of a node's consultations, for each tenant that had requests rejected or unanswered.

The log lines of all nodes together show by which limit each node decided, in which slots, and which replicas it asked.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from ..transport.addresses import ip_from_int

if TYPE_CHECKING:
    from ...policy.window import TenantLimit

logger = logging.getLogger(__name__)

#: Least time between two log lines about one tenant: the length of the quota's own window in the known deployments.
LOG_INTERVAL_S = 5.0

#: Most tenants that are logged in one interval, so that many tenants at their limits at once do not flood the log.
MAX_TENANTS_LOGGED = 8


class ConsultationOutcome(Enum):
    """How a consultation ended; the values are field names of the log lines."""

    ADMITTED = "admitted"
    REJECTED = "rejected"
    UNANSWERED = "unanswered"


@dataclass(slots=True)
class TenantConsultations:
    """One tenant's consultations since its last log line.

    Attributes:
        counts: Number of consultations by outcome.
        limits: The rates and bursts that were decided by.
        slots: The first and the last slot in which consultations were sent, by this node's clock.
        replicas: The addresses of the replicas that were asked.
    """

    counts: dict[ConsultationOutcome, int] = field(default_factory=lambda: dict.fromkeys(ConsultationOutcome, 0))
    limits: set[tuple[float, float]] = field(default_factory=set)
    slots: tuple[int, int] | None = None
    replicas: set[int] = field(default_factory=set)

    @property
    def is_worth_logging(self) -> bool:
        """Whether any consultation was not admitted."""
        return self.counts[ConsultationOutcome.ADMITTED] < sum(self.counts.values())


class ConsultationLog:
    """Collects outcomes, and writes them to the log at intervals."""

    def __init__(self) -> None:
        """Begin without any consultation."""
        self._tenants: dict[str, TenantConsultations] = {}
        self._last_logged_at = 0.0

    def record(self, tenant_limit: TenantLimit, slot: int, replicas: set[int], outcome: ConsultationOutcome) -> None:
        """Record one consultation that has ended.

        Args:
            tenant_limit: The tenant's limit.
            slot: The slot in which the consultation was sent.
            replicas: The addresses of the replicas that were asked.
            outcome: How it ended.
        """
        consultations = self._tenants.get(tenant_limit.name)
        if consultations is None:
            consultations = self._tenants[tenant_limit.name] = TenantConsultations()
        consultations.counts[outcome] += 1
        consultations.limits.add(tenant_limit.rate_and_burst)
        first, last = consultations.slots or (slot, slot)
        consultations.slots = min(first, slot), max(last, slot)
        consultations.replicas |= replicas

    def log_if_due(self, now: float) -> None:
        """Log each tenant that had requests rejected or unanswered, if the interval is over.

        Args:
            now: Time on the steady clock, in seconds.
        """
        if now - self._last_logged_at < LOG_INTERVAL_S:
            return
        self._last_logged_at = now
        tenants, self._tenants = self._tenants, {}
        worth_logging = [
            (name, consultations) for name, consultations in tenants.items() if consultations.is_worth_logging
        ]
        for name, consultations in worth_logging[:MAX_TENANTS_LOGGED]:
            logger.info("tenant limited", extra=_fields(name, consultations, len(worth_logging)))


def _fields(tenant: str, consultations: TenantConsultations, tenants_limited: int) -> dict[str, object]:
    """Return the fields of a tenant's log line; `tenants_limited` is the number of limited tenants in the interval."""
    return {
        "tenant": tenant,
        **{outcome.value: count for outcome, count in consultations.counts.items()},
        "limits": sorted(consultations.limits),
        "slots": consultations.slots,
        "replicas": [ip_from_int(ip) for ip in sorted(consultations.replicas)],
        "tenants_limited": tenants_limited,
    }
