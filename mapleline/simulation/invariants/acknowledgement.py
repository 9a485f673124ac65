"""The invariant on the time until a command is acknowledged."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterator
from dataclasses import dataclass

from ..history import NEVER, OPERATOR_RESPONSES, OPERATOR_TIMEOUT_S, History
from ..records import MachineEventKind
from .rules import Rule, Violation

ROUNDING_S = 0.001
"""Tolerance for rounding of `ack_timeout`."""
MEMBERSHIP_CHANGES = frozenset({MachineEventKind.REMOVE, MachineEventKind.START})


@dataclass(frozen=True, order=True, slots=True)
class _Interval:
    since: float
    until: float


def check_acknowledgements(history: History) -> Iterator[Violation]:
    """ACKS: a valid command is acknowledged before the replicas have been settled for `ack_timeout` without a break.

    MAJORITY: the same after a replica was started again or removed, when one more replica may be lost.
    """
    limit_s = history.bounds.ack_timeout
    changed_at = [event.at for event in history.replica_events if event.kind in MEMBERSHIP_CHANGES]
    for command in history.commands:
        is_acknowledged = command.acknowledged_at is not None
        until = command.acknowledged_at if is_acknowledged else command.closed_at
        if until is None:
            until = history.ended_at
        if not command.is_valid or command.rejected_status or until == NEVER:
            continue
        stretch_s = longest_settled_stretch(history, command.sent_at, until)
        if stretch_s < limit_s - ROUNDING_S:
            continue
        rule = Rule.MAJORITY if any(at < command.sent_at for at in changed_at) else Rule.ACKNOWLEDGEMENT
        outcome = "acknowledged" if is_acknowledged else "given up"
        detail = (
            f"{command.path} {command.version} of {command.sent_at:.2f} was {outcome} after {stretch_s:.1f} s in calm"
        )
        yield Violation(rule, until, detail)


def longest_settled_stretch(history: History, since: float, until: float) -> float:
    """Return the longest stretch of the interval, in seconds, in which the control replicas were settled.

    Settled is defined as in RULES.md: a majority is operational and connected, and no replica had an event in the last
    `contact_window`; in addition no responses to operators were being lost.
    """
    longest_s = 0.0
    settled_since = since
    for interval in sorted(_unsettled_intervals(history, since, until)):
        longest_s = max(longest_s, min(interval.since, until) - settled_since)
        settled_since = max(settled_since, interval.until)
    return max(longest_s, until - settled_since)


def _unsettled_intervals(history: History, since: float, until: float) -> Iterator[_Interval]:
    window_s = history.bounds.contact_window
    for event in history.replica_events:
        if since - window_s <= event.at <= until:
            yield _Interval(event.at, event.at + window_s)
    for fault in history.faults:
        if fault.target == OPERATOR_RESPONSES:
            yield _Interval(fault.since, fault.until + OPERATOR_TIMEOUT_S)
    yield from _intervals_without_majority(history, since, until)


def _intervals_without_majority(history: History, since: float, until: float) -> Iterator[_Interval]:
    samples = history.replicas
    first = bisect_left([sample.at for sample in samples], since)
    for index in range(first, len(samples)):
        sample = samples[index]
        if sample.at > until:
            return
        if not sample.connected:
            is_last = index + 1 == len(samples)
            yield _Interval(sample.at, until if is_last else samples[index + 1].at)
