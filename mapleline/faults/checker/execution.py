"""Rules `once` and `charged`: no effect happens twice, is reported wrongly or is charged twice."""

from __future__ import annotations

import re
from collections import defaultdict
from dataclasses import dataclass

from .history import Event, History
from .violation import Violation

CUSTOMER_WINDOW = re.compile("[0-9a-f]{16}")  # format of the counter's names for customers' quota windows
IDEMPOTENT_CLASS = "look"  # may be repeated freely
KEYED_CLASS = "pay"  # repeated with an idempotency key, by which the servers drop repeats
SINGLE_ATTEMPT_CLASS = "book"  # must not be repeated
SERVED_STATUS = 200
REFUSAL_STATUSES = (429, 503)
ROUNDING_MARGIN_UNITS = 0.5


@dataclass(frozen=True, slots=True)
class ServerRun:
    """One run of a request at a server; `zone` is the zone's process name, `at` the start in Unix seconds."""

    zone: str
    at: float


def check_once(history: History) -> list[Violation]:
    """`once`: each request ran as often as its class allows, and its answer agrees with the servers' records.

    No `book` request ran twice, and no `pay` request did, apart from repeats that servers dropped by its key.
    A request that was answered 200 ran and got its own answer.  No `book` request that ran was refused.  No
    repeatable request was answered with an unknown outcome.
    """
    runs = _runs_by_request(history)
    classes = {event["id"]: event.get("cls", IDEMPOTENT_CLASS) for event in history.of_kind("load", "sent")}
    found = _repeated_runs(runs, classes)
    if not history.zones():
        return found
    for event in history.of_kind("load", "answer"):
        request_class = classes.get(event["id"], IDEMPOTENT_CLASS)
        description = _wrong_answer(event, request_class, event["id"] in runs)
        if description:
            found.append(Violation("once", event["at"], event.get("ingress", ""), description))
    return found


def check_charged(history: History) -> list[Violation]:
    """`charged`: the counter added at most one unit to customers' windows per chargeable request.

    A request is chargeable if it ran, if its answer was not a refusal, or if its client had to retry it.
    """
    additions = [
        event for event in history.of_kind("counter", "add") if CUSTOMER_WINDOW.fullmatch(event["name"]) is not None
    ]
    units = sum(event["amount"] for event in additions)
    chargeable = {event["id"] for event in history.of_source("load") if _is_chargeable(event)}
    chargeable |= _runs_by_request(history).keys()
    if units <= len(chargeable) + ROUNDING_MARGIN_UNITS:
        return []
    description = f"{units:g} units charged for {len(chargeable)} requests"
    return [Violation("charged", additions[-1]["at"], "counter", description)]


def _runs_by_request(history: History) -> dict[str, list[ServerRun]]:
    runs: dict[str, list[ServerRun]] = defaultdict(list)
    for zone in history.zones():
        for event in history.of_kind(zone, "run"):
            runs[event["id"]].append(ServerRun(zone, event["at"]))
    return dict(runs)


def _repeated_runs(runs: dict[str, list[ServerRun]], classes: dict[str, str]) -> list[Violation]:
    found = []
    for request_id, request_runs in runs.items():
        request_class = classes.get(request_id)
        if len(request_runs) > 1 and request_class in (SINGLE_ATTEMPT_CLASS, KEYED_CLASS):
            second = request_runs[1]
            description = f"request {request_id} ({request_class}) ran {len(request_runs)} times"
            found.append(Violation("once", second.at, second.zone, description))
    return found


def _wrong_answer(answer: Event, request_class: str, has_run: bool) -> str:
    """Return a description of the error in an answer, given whether its request ran; empty without an error."""
    request_id, status = answer["id"], answer["status"]
    if status == SERVED_STATUS and (not has_run or "foreign" in answer):
        return f"request {request_id} answered 200 without having run"
    if status in REFUSAL_STATUSES and has_run and request_class == SINGLE_ATTEMPT_CLASS:
        return f"request {request_id} ({request_class}) refused though it ran"
    if answer.get("unknown") and request_class == IDEMPOTENT_CLASS:
        return f"request {request_id} may be repeated, and its outcome is unknown"
    return ""


def _is_chargeable(event: Event) -> bool:
    """Return whether an event of the load shows that its request is chargeable."""
    return event["event"] == "again" or event.get("status", REFUSAL_STATUSES[-1]) not in REFUSAL_STATUSES
