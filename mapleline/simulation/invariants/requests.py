"""Invariants on single requests: a server runs only requests that were sent and allowed, and not too often."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

from ..history import STATUS_OK, ClientAttempt, DeliveredRequest, History
from .rules import Rule, Violation

AT_MOST_ONCE_KINDS = frozenset({"non_idempotent", "upload"})
NOT_EXECUTED_STATUSES = frozenset({429, 503})


def check_requests(history: History) -> Iterator[Violation]:
    """Check the requests that servers ran against those that clients sent, then the responses to clients."""
    run_counts: Counter[str] = Counter()
    for run in history.runs:
        attempt = history.attempts.get(run.request_id)
        if attempt is None:
            yield Violation(Rule.UNASKED, run.arrived_at, run.request_id)
            continue
        run_counts[attempt.id] += 1
        yield from _check_run_once(run, attempt, run_counts[attempt.id])
        yield from _check_tenant(run, attempt)
        yield from _check_service(history, run, attempt)
        yield from _check_revoked_key(history, run, attempt)
    servers = {(run.request_id, run.server_id) for run in history.runs}
    for attempt in history.attempts.values():
        yield from _check_server_stamp(attempt, servers)
        yield from _check_rejection(attempt, run_counts[attempt.id])


def _check_run_once(run: DeliveredRequest, attempt: ClientAttempt, count: int) -> Iterator[Violation]:
    """TWICE: a request that is not idempotent runs at most once."""
    if attempt.kind in AT_MOST_ONCE_KINDS and count > 1:
        yield Violation(Rule.TWICE, run.arrived_at, attempt.id)


def _check_tenant(run: DeliveredRequest, attempt: ClientAttempt) -> Iterator[Violation]:
    """UNASKED: a request runs as the tenant that owns the client's API key."""
    if run.tenant != attempt.tenant:
        yield Violation(Rule.UNASKED, run.arrived_at, f"{attempt.id} as {run.tenant}")


def _check_service(history: History, run: DeliveredRequest, attempt: ClientAttempt) -> Iterator[Violation]:
    """ROUTE: a service runs only requests that some configuration routes to it."""
    if run.service not in history.services[attempt.kind]:
        yield Violation(Rule.ROUTE, run.arrived_at, f"{attempt.id} by {run.service}")


def _check_revoked_key(history: History, run: DeliveredRequest, attempt: ClientAttempt) -> Iterator[Violation]:
    """CONFIG: no request runs that was sent later than `revoke_timeout` after its API key was revoked."""
    revoked_at = history.revoked.get(attempt.api_key)
    if revoked_at is not None and attempt.sent_at > revoked_at + history.bounds.revoke_timeout:
        detail = f"{attempt.id} with a key revoked at {revoked_at:.2f}, by {run.sender}"
        yield Violation(Rule.CONFIGURATION, run.arrived_at, detail)


def _check_server_stamp(attempt: ClientAttempt, servers: set[tuple[str, str]]) -> Iterator[Violation]:
    """MIXED: a success response names a server that ran this request."""
    if attempt.status == STATUS_OK and (attempt.id, attempt.server_stamp) not in servers:
        detail = f"{attempt.id} got the answer of {attempt.server_stamp or 'nobody'}"
        yield Violation(Rule.MIXED, attempt.ended_at, detail)


def _check_rejection(attempt: ClientAttempt, run_count: int) -> Iterator[Violation]:
    """REFUSED: a request that is not idempotent and was answered with 429 or 503 never runs."""
    if attempt.kind in AT_MOST_ONCE_KINDS and attempt.status in NOT_EXECUTED_STATUSES and run_count:
        yield Violation(Rule.REFUSED, attempt.sent_at, f"{attempt.id} got {attempt.status} and ran")
