"""Invariants on the choice of a server: home regions, draining servers and evacuated zones."""

from __future__ import annotations

from collections.abc import Iterator

from ..history import ClientAttempt, DeliveredRequest, History
from .rules import Rule, Violation


def check_server_eligibility(history: History) -> Iterator[Violation]:
    """Check each arrival at a server against HOME, DRAIN and EVAC."""
    for arrival in history.arrivals:
        attempt = history.attempts.get(arrival.request_id)
        if attempt is None:
            continue
        yield from _check_home_regions(history, arrival, attempt)
        yield from _check_draining(history, arrival, attempt)
        yield from _check_evacuations(history, arrival, attempt)


def _check_home_regions(history: History, arrival: DeliveredRequest, attempt: ClientAttempt) -> Iterator[Violation]:
    """HOME: a request whose route or tenant has home regions reaches only servers in these regions."""
    for homes in (history.homes.get(attempt.kind), history.homes.get(attempt.tenant)):
        if homes and history.regions[arrival.zone] not in homes:
            yield Violation(Rule.HOME, arrival.arrived_at, f"{attempt.id} in {arrival.zone}")


def _check_draining(history: History, arrival: DeliveredRequest, attempt: ClientAttempt) -> Iterator[Violation]:
    """DRAIN: a server receives no request later than `drain_timeout` after the list showed it as draining."""
    since = history.draining_since.get(arrival.server_id)
    if since is None or arrival.sent_at <= since + history.bounds.drain_timeout:
        return
    if history.is_undisturbed(arrival.sender, arrival.sent_at):
        detail = f"{attempt.id} at {arrival.server_id}, draining since {since:.2f}, by {arrival.sender}"
        yield Violation(Rule.DRAIN, arrival.arrived_at, detail)


def _check_evacuations(history: History, arrival: DeliveredRequest, attempt: ClientAttempt) -> Iterator[Violation]:
    """EVAC: a zone receives no request from `evacuation` after the acknowledged evacuation until its withdrawal."""
    limit_s = history.bounds.evacuation
    for evacuation in history.evacuations:
        if (
            arrival.zone == evacuation.zone
            and evacuation.acknowledged_at + limit_s < arrival.sent_at < evacuation.withdrawn_at
            and history.is_undisturbed(arrival.sender, arrival.sent_at, limit_s)
        ):
            detail = (
                f"{attempt.id} at {arrival.server_id}, evacuated at {evacuation.acknowledged_at:.2f}, "
                f"by {arrival.sender}"
            )
            yield Violation(Rule.EVACUATION, arrival.arrived_at, detail)
