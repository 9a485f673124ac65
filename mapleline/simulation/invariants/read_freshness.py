"""Invariants on responses: reads are linearizable, and a machine without contact to a majority denies nothing."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterator
from dataclasses import dataclass

from ..history import (
    CLIENT_ERRORS,
    NEVER,
    NO_VERSION,
    STATUS_NOT_FOUND,
    STATUS_OK,
    UNCLEAR_CLIENT_ERRORS,
    History,
    OperatorResponse,
)
from .rules import Rule, Violation

STATUSES_WITHOUT_CONTACT = frozenset({400, 409}) | UNCLEAR_CLIENT_ERRORS
"""4xx statuses that claim no knowledge of the control state: the request itself is wrong or has a rival."""
DENIED_STATUSES = frozenset({401, 403, 404})


@dataclass(frozen=True, slots=True)
class _KnownVersion:
    """A version that an operator knew from the moment `at` on."""

    at: float
    version: int
    source: str

    def sort_key(self) -> tuple[float, int, str]:
        return self.at, self.version, self.source


def check_stale_reads(history: History) -> Iterator[Violation]:
    """STALE: a read returns no version older than one that was acknowledged or read before this read was sent."""
    known = sorted(_known_versions(history), key=_KnownVersion.sort_key)
    newest = _KnownVersion(0.0, NO_VERSION, "")
    next_known = 0
    for response in sorted(_reads(history), key=lambda read: read.asked_at):
        while next_known < len(known) and known[next_known].at < response.asked_at:
            newest = max(newest, known[next_known], key=lambda candidate: candidate.version)
            next_known += 1
        if response.version < newest.version:
            returned = response.version if response.status == STATUS_OK else "nothing"
            detail = (
                f"{response.machine} gave {returned}, asked at {response.asked_at:.2f}; "
                f"{newest.version} was {newest.source} at {newest.at:.2f}"
            )
            yield Violation(Rule.STALE, response.answered_at, detail)


def _known_versions(history: History) -> Iterator[_KnownVersion]:
    for acknowledgement in history.acknowledged_configurations():
        yield _KnownVersion(acknowledgement.at, acknowledgement.version, "acknowledged")
    for response in history.responses:
        if response.command is None and response.status == STATUS_OK:
            yield _KnownVersion(response.answered_at, response.version, "read")


def _reads(history: History) -> Iterator[OperatorResponse]:
    """Return the reads, and the acknowledgements that state the version in force."""
    for response in history.responses:
        is_read = response.command is None and response.status in (STATUS_OK, STATUS_NOT_FOUND)
        names_version = response.command is not None and response.status == STATUS_OK and response.version >= 0
        if is_read or names_version:
            yield response


def check_denials(history: History) -> Iterator[Violation]:
    """KNOWN: a machine without contact denies operators nothing, and no client is rejected for an existing API key."""
    yield from _check_responses_without_contact(history)
    yield from _check_denied_clients(history)


def _check_responses_without_contact(history: History) -> Iterator[Violation]:
    """KNOWN: a machine without contact to a majority returns no 4xx except `STATUSES_WITHOUT_CONTACT`."""
    sample_times = [sample.at for sample in history.contacts]
    for response in history.responses:
        if response.status not in CLIENT_ERRORS or response.status in STATUSES_WITHOUT_CONTACT:
            continue
        index = bisect_left(sample_times, response.answered_at) - 1
        has_contact = index < 0 or response.machine in history.contacts[index].machines
        if not has_contact or not history.is_undisturbed(response.machine, response.answered_at):
            detail = f"{response.machine}, out of touch, said {response.status}"
            yield Violation(Rule.KNOWN, response.answered_at, detail)


def _check_denied_clients(history: History) -> Iterator[Violation]:
    """KNOWN: a client receives 401, 403 or 404 only if a configuration without its API key was sent before."""
    for attempt in history.attempts.values():
        if attempt.status not in DENIED_STATUSES:
            continue
        if not history.withdrawn.get(attempt.api_key, NEVER) < attempt.ended_at:
            detail = f"{attempt.id} got {attempt.status} for {attempt.api_key}, not taken away"
            yield Violation(Rule.KNOWN, attempt.ended_at, detail)
