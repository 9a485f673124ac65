"""The invariant on the retry budget."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field

from ..history import History
from .rules import Rule, Violation
from .windows import count_in_window


@dataclass(slots=True)
class _ServiceArrivals:
    """The times at which requests of clients and retries of the balancer were sent to one service."""

    requests: list[float] = field(default_factory=list)
    retries: list[float] = field(default_factory=list)


def check_retry_budget(history: History) -> Iterator[Violation]:
    """BUDGET: in each `retry_window` the retries to a service stay within a share of its requests, plus the slack.

    The requests are counted in that window, in the one before it and in the one that begins half a window earlier; the
    largest count applies.
    """
    for service, arrivals in _arrivals_by_service(history).items():
        violation = _first_violation(history, service, arrivals)
        if violation is not None:
            yield violation


def _arrivals_by_service(history: History) -> dict[str, _ServiceArrivals]:
    """Return the sorted arrivals of each service that received a retry, in the order of the first retries."""
    services: defaultdict[str, _ServiceArrivals] = defaultdict(_ServiceArrivals)
    retried: dict[str, _ServiceArrivals] = {}
    seen: set[str] = set()
    for arrival in history.arrivals:
        service = services[arrival.service]
        if arrival.request_id in seen:
            service.retries.append(arrival.sent_at)
            retried.setdefault(arrival.service, service)
        elif arrival.request_id in history.attempts:
            service.requests.append(history.attempts[arrival.request_id].sent_at)
        seen.add(arrival.request_id)
    for service in retried.values():
        service.requests.sort()
        service.retries.sort()
    return retried


def _first_violation(history: History, service: str, arrivals: _ServiceArrivals) -> Violation | None:
    bounds = history.bounds
    window_s = bounds.retry_window
    for at in arrivals.retries:
        retries = count_in_window(arrivals.retries, at, window_s)
        requests = max(
            count_in_window(arrivals.requests, begins_at, window_s)
            for begins_at in (at, at - window_s, at - window_s / 2)
        )
        if retries > bounds.retry_budget_ratio * requests + bounds.retry_budget_slack:
            return Violation(Rule.RETRY_BUDGET, at, f"{service} got {retries} further tries for {requests}")
    return None
