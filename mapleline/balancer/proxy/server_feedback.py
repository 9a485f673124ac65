"""Updates of a server's load, latency and health from the ends of attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .outcome import MISDIRECTED_REQUEST, EndReason, Outcome

if TYPE_CHECKING:
    from ...http1 import Response
    from ...policy.placing import Target
    from .route_statistics import RouteStatistics, StatisticsKey
    from .upstream_attempt import Attempt

FIRST_SERVER_ERROR = 500
SERVER_LOAD_FIELDS = 3
"""Fields of the header `Server-Load`: requests running, requests queued, slots."""

OVERLOAD_QUEUE = 6.0
"""Queued requests assumed, at least, at a server that has rejected a request as overloaded."""

FAILURES = frozenset(
    {
        EndReason.UNREACHABLE,
        EndReason.CONNECTION_LOST,
        EndReason.CONNECTION_CLOSED,
        EndReason.PROTOCOL_ERROR,
    }
)
"""Ends without a response that count as failures of the server; a cancelled attempt does not."""


def record_attempt_end(attempt: Attempt, statistics: RouteStatistics, key: StatisticsKey, now: float) -> None:
    """Update the state of the attempt's server, and the statistics of its route (`key`)."""
    response = attempt.response
    if response is None:
        _record_failure(attempt, now)
        return
    _record_reported_load(attempt.target, response, now)
    if attempt.outcome is Outcome.NOT_EXECUTED:
        if response.status != MISDIRECTED_REQUEST:
            _record_overload(attempt.target, now)
        return
    _record_response(attempt, response, statistics, key, now)


def _record_failure(attempt: Attempt, now: float) -> None:
    target = attempt.target
    if attempt.end_reason is EndReason.UNREACHABLE:
        target.record_unreachable(now)
    if attempt.end_reason in FAILURES:
        target.record_result(now, True)


def _record_reported_load(target: Target, response: Response, now: float) -> None:
    fields = response.headers.get(b"server-load", b"").split(b",")
    if len(fields) == SERVER_LOAD_FIELDS and all(field.strip().isdigit() for field in fields):
        target.reported_load = float(fields[0]) + float(fields[1])
        target.load_reported_at = now


def _record_overload(target: Target, now: float) -> None:
    target.reported_load = max(target.reported_load, target.slots + OVERLOAD_QUEUE)
    target.load_reported_at = now


def _record_response(
    attempt: Attempt, response: Response, statistics: RouteStatistics, key: StatisticsKey, now: float
) -> None:
    is_server_error = response.status >= FIRST_SERVER_ERROR
    attempt.target.record_result(now, is_server_error)
    latency_s = now - attempt.sent_at
    attempt.target.record_response(latency_s / statistics.latency_s(key))
    if not is_server_error and attempt.had_free_slot:
        statistics.record(key, latency_s, len(response.body))
