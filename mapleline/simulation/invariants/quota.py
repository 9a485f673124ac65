"""The invariant on tenants' quotas."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from ..history import History
from .rules import Rule, Violation
from .windows import fullest_window


def check_quotas(history: History) -> Iterator[Violation]:
    """QUOTA: in each `quota_window` a tenant runs at most its limit plus the overshoot and slack of the settings."""
    bounds = history.bounds
    times: defaultdict[str | None, list[float]] = defaultdict(list)
    for run in history.runs:
        times[run.tenant].append(run.sent_at)
    for tenant, (rate, burst) in history.limits.items():
        fullest = fullest_window(sorted(times[tenant]), bounds.quota_window)
        limit = rate * bounds.quota_window + burst
        allowed = limit * (1 + bounds.quota_overshoot) + bounds.quota_slack
        if rate and fullest.count > allowed:
            yield Violation(Rule.QUOTA, fullest.begins_at, f"{tenant} ran {fullest.count}, {allowed:.0f} allowed")
