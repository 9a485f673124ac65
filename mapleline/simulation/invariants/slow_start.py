"""The invariant on servers that are warming up."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from ..history import History
from .rules import Rule, Violation
from .windows import fullest_window

WINDOW_S = 1.0


def check_slow_start(history: History) -> Iterator[Violation]:
    """FAILBACK: a server that is warming up gets at most its slow-start rate, with overshoot and slack, in a second.

    A request counts where it was sent and arrived inside that second; the window may end after the slow start.
    """
    bounds = history.bounds
    times: defaultdict[str, list[float]] = defaultdict(list)
    for arrival in history.arrivals:
        if arrival.arrived_at - arrival.sent_at < WINDOW_S:
            times[arrival.server_id].append(arrival.sent_at)
    allowed = history.slow_start_rate_s * bounds.cold_overshoot + bounds.cold_slack
    for slow_start in history.slow_starts:
        sent_times = sorted(times[slow_start.server_id])
        in_slow_start = [at for at in sent_times if slow_start.since <= at < slow_start.until + WINDOW_S]
        fullest = fullest_window(in_slow_start, WINDOW_S)
        if fullest.count > allowed:
            detail = f"{slow_start.server_id} got {fullest.count} in a second"
            yield Violation(Rule.FAILBACK, fullest.begins_at, detail, subject=slow_start.server_id)
