"""Checks a soak test's history against the operators' rules (RULES.md).

The history holds the observations of clients, servers and the operator.
"""

from __future__ import annotations

import signal
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from ..simulation.invariants.windows import fullest_window
from .history import UNPLANNED_EVENTS, AttemptEnd, ClientAttempt, Order, ProcessEvent, ProcessEventKind, SoakHistory
from .layout import GRACE_PERIOD_S, QUOTA_OVERSHOOT, QUOTA_SLACK, QUOTA_WINDOW_S

STATUS_OK = 200
PROMISES_NOT_EXECUTED = frozenset({408, 421, 429, 503})
DENIALS = frozenset({400, 401, 403, 404, 405})
#: Longest time, on a busy machine, before a new process handles a signal.  SIGHUP is ignored as soon as the interpreter
#: has started.
MAX_HANDLER_DELAY_S = {int(signal.SIGTERM): 5.0, int(signal.SIGHUP): 0.5}
CONTACT_WINDOW_S = 4.0
"""An unplanned event of a node excuses a broken answer if it came at most this long before the request was sent."""


@dataclass(frozen=True, slots=True)
class Violation:
    """A violated rule, and the evidence for it."""

    rule: str
    detail: str

    def __str__(self) -> str:
        """Return the rule and the evidence as one line."""
        return f"{self.rule}: {self.detail}"


@dataclass(frozen=True, slots=True)
class QuotaUse:
    """The fullest quota window of one tenant.

    Attributes:
        tenant: Name of the tenant.
        begins_at: Start of the window, in seconds of the rig's clock.
        count: Requests that ran in the window.
        allowed: Greatest permitted number of requests in a window.
    """

    tenant: str
    begins_at: float
    count: int
    allowed: float


def judge(history: SoakHistory) -> list[Violation]:
    """Return all violations in the history."""
    return [
        *_check_quotas(history),
        *_check_executions(history),
        *_check_answers(history),
        *_check_graceful_ends(history),
        *_check_configurations(history),
    ]


def quota_uses(history: SoakHistory) -> list[QuotaUse]:
    """Return each limited tenant's fullest window, sorted by use of the limit, highest first."""
    times: defaultdict[str, list[float]] = defaultdict(list)
    for run in history.runs:
        times[run.tenant].append(run.arrived_at)
    uses = []
    for tenant, (rate_per_s, burst) in history.limits.items():
        if rate_per_s <= 0:
            continue
        fullest = fullest_window(sorted(times[tenant]), QUOTA_WINDOW_S)
        allowed = (rate_per_s * QUOTA_WINDOW_S + burst) * (1 + QUOTA_OVERSHOOT) + QUOTA_SLACK
        uses.append(QuotaUse(tenant, fullest.begins_at, fullest.count, allowed))
    return sorted(uses, key=lambda use: -use.count / use.allowed)


def _check_quotas(history: SoakHistory) -> Iterator[Violation]:
    """QUOTA: no window holds more runs than the highest limit that the tenant ever had allows."""
    for use in quota_uses(history):
        if use.count > use.allowed:
            per_second = [0] * int(QUOTA_WINDOW_S)
            for run in history.runs:
                second = int(run.arrived_at - use.begins_at) if run.arrived_at >= use.begins_at else -1
                if run.tenant == use.tenant and 0 <= second < len(per_second):
                    per_second[second] += 1
            yield Violation("QUOTA", f"{use.tenant} ran {use.count} of {use.allowed:.0f}, by second {per_second}")


def _check_executions(history: SoakHistory) -> Iterator[Violation]:
    """Check the rules TWICE, REFUSED and UNASKED.

    A non-idempotent request runs at most once, and never if its answer promises that it did not run.  Each run
    belongs to a request that a client of this tenant sent.
    """
    run_counts: defaultdict[str, int] = defaultdict(int)
    for run in history.runs:
        run_counts[run.request_id] += 1
        attempt = history.attempts.get(run.request_id)
        if attempt is None:
            yield Violation("UNASKED", f"{run.server_id} ran {run.request_id!r}, which no client sent")
        elif attempt.tenant != run.tenant:
            yield Violation("UNASKED", f"{run.request_id} of {attempt.tenant} ran for {run.tenant}")
    for attempt in history.attempts.values():
        if attempt.is_idempotent:
            continue
        count = run_counts[attempt.id]
        if count > 1:
            yield Violation("TWICE", f"{attempt.id} ran {count} times, by {attempt.node}")
        if count and attempt.status in PROMISES_NOT_EXECUTED:
            yield Violation("REFUSED", f"{attempt.id} got {attempt.status} from {attempt.node}, and has run")


def _check_answers(history: SoakHistory) -> Iterator[Violation]:
    """MIXED and DENIED: each client gets the answer to its own request, and no valid request is denied as invalid."""
    for attempt in history.attempts.values():
        if attempt.is_foreign_answer:
            yield Violation("MIXED", f"{attempt.id} got another request's answer from {attempt.node}")
        if attempt.status in DENIALS:
            yield Violation("DENIED", f"{attempt.id} got {attempt.status} from {attempt.node}")


def _check_graceful_ends(history: SoakHistory) -> Iterator[Violation]:
    """LOST and Fault: a node that gets SIGTERM answers all requests that ran, and exits with status 0 in time."""
    ran = {run.request_id for run in history.runs}
    for attempt in history.attempts.values():
        if attempt.end is AttemptEnd.BROKEN and attempt.id in ran and _ended_in_planned_exit(history, attempt):
            yield Violation("LOST", f"{attempt.id} ran, and {attempt.node} closed the connection without an answer")
    for event in history.process_events:
        if event.kind is ProcessEventKind.STUCK:
            yield Violation("Fault", f"{event.node} still ran after its grace period")
        if event.kind is ProcessEventKind.EXIT and event.status and not _is_early_signal_exit(history, event):
            yield Violation("Fault", f"{event.node} ended with status {event.status}")


def _is_early_signal_exit(history: SoakHistory, end: ProcessEvent) -> bool:
    """Return whether a signal ended a process too soon after its start for a handler to be installed."""
    handler_delay_s = MAX_HANDLER_DELAY_S.get(-end.status, 0.0)
    return any(
        event.kind is ProcessEventKind.START
        and event.node == end.node
        and end.at - handler_delay_s < event.at <= end.at
        for event in history.process_events
    )


def _ended_in_planned_exit(history: SoakHistory, attempt: ClientAttempt) -> bool:
    """Return whether an attempt ended while its node was shutting down after SIGTERM.

    The result is False if the node had an unplanned event since `CONTACT_WINDOW_S` before the request.
    """
    ended_at = attempt.ended_at if attempt.ended_at is not None else attempt.sent_at
    events = [event for event in history.process_events if event.node == attempt.node]
    if any(
        event.kind in UNPLANNED_EVENTS and attempt.sent_at - CONTACT_WINDOW_S <= event.at <= ended_at
        for event in events
    ):
        return False
    return any(
        event.kind is ProcessEventKind.TERMINATE and event.at <= ended_at <= event.at + GRACE_PERIOD_S + 1.0
        for event in events
    )


def _check_configurations(history: SoakHistory) -> Iterator[Violation]:
    """CONFIG: one content per version; each node has the newest acknowledged version or a newer one that was sent."""
    acknowledged = [order for order in history.orders if order.status == STATUS_OK]
    yield from _check_conflicting_contents(acknowledged)
    newest = max((order.version for order in acknowledged), default=0)
    versions = {order.body: order.version for order in history.orders}
    confirmed = {order.version: order.body for order in acknowledged}
    for read in history.read_backs:
        if read.status != STATUS_OK:
            yield Violation("CONFIG", f"{read.node} answered a read with {read.status}")
            continue
        version = versions.get(read.body)
        if version is None:
            yield Violation("CONFIG", f"{read.node} has a configuration that nobody sent")
        elif version < newest:
            yield Violation("CONFIG", f"{read.node} has version {version}, {newest} was acknowledged")
        elif confirmed.get(version, read.body) != read.body:
            yield Violation("CONFIG", f"{read.node} has another content under {version} than was acknowledged")


def _check_conflicting_contents(acknowledged: list[Order]) -> Iterator[Violation]:
    contents: defaultdict[int, set[bytes]] = defaultdict(set)
    for order in acknowledged:
        contents[order.version].add(order.body)
    for version, bodies in contents.items():
        if len(bodies) > 1:
            yield Violation("CONFIG", f"{len(bodies)} contents were acknowledged under version {version}")
