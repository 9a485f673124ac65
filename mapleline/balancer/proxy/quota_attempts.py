"""Counting of a request's further attempts in its tenant's quota: a request that is executed twice takes two units.

The quota doesn't decide on further attempts; the retry budget does.  They are counted so that later requests are
admitted by what was executed (rule QUOTA).  An attempt known not to have been executed leaves its unit to the next one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...policy.window import QuotaConsultation
from .outcome import Outcome

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...policy.window import WindowUsage
    from .request_context import RequestContext


class QuotaAttemptCounter:
    """Keeps at least as many units counted for a request as attempts of it may have been executed."""

    def __init__(self, consult_quota: Callable[[QuotaConsultation], None]) -> None:
        """`consult_quota` adds a unit at the tenant's counters."""
        self._consult_quota = consult_quota

    def on_sent(self, context: RequestContext) -> None:
        """Count an attempt that was just sent, unless an unused unit is left for it."""
        quota = context.quota
        if quota is None:
            return
        quota.attempts += 1
        if quota.attempts > quota.units:
            quota.units += 1
            self._consult_quota(QuotaConsultation(quota.tenant_limit, quota.home_regions, _keep_unit))

    def on_ended(self, context: RequestContext, outcome: Outcome) -> None:
        """Free the unit of an attempt that was not executed, for the next attempt."""
        if context.quota is not None and outcome is Outcome.NOT_EXECUTED:
            context.quota.attempts -= 1


def _keep_unit(_usage: WindowUsage | None) -> bool:
    return True
