"""Counts attempts beyond a request's first one in its tenant's quota: a request that runs twice is two units of work.

Such an attempt is not asked for: the retry budget has allowed it.  It is counted so that later requests are decided by
what has run (rule QUOTA).  An attempt that was surely not executed leaves its unit to the next one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...policy.window import Ask
from .outcome import Outcome

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...policy.window import WindowUsage
    from .request_context import RequestContext


class QuotaAttemptCounter:
    """Keeps the units of a request level with the attempts that may have been executed."""

    def __init__(self, consult_quota: Callable[[Ask], None]) -> None:
        """`consult_quota` adds a unit at the tenant's counters."""
        self._consult_quota = consult_quota

    def on_sent(self, context: RequestContext) -> None:
        """Count an attempt that was sent just now, unless a unit is there for it."""
        quota = context.quota
        if quota is None:
            return
        quota.attempts += 1
        if quota.attempts > quota.units:
            quota.units += 1
            self._consult_quota(Ask(quota.tenancy, quota.home_regions, _keep_unit))

    def on_ended(self, context: RequestContext, outcome: Outcome) -> None:
        """Free the unit of an attempt that was not executed, for the next one."""
        if context.quota is not None and outcome is Outcome.NOT_EXECUTED:
            context.quota.attempts -= 1


def _keep_unit(_usage: WindowUsage | None) -> bool:
    return True
