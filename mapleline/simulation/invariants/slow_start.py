"""The invariant on servers in slow start."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from ..history import History
from .rules import Rule, Violation
from .windows import fullest_window

WINDOW_S = 1.0


def check_slow_start(history: History) -> Iterator[Violation]:
    """FAILBACK: in each second a server in slow start receives at most its slow-start rate plus overshoot and slack.

    A request counts if it arrived less than a second after it was sent, at the moment when it was sent.  The window
    must begin in the slow start, and may end after it.
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
