"""Rules `once` and `charged`: no effect happens twice, none is reported wrongly, none is charged twice."""

from __future__ import annotations

import re
from collections import defaultdict
from dataclasses import dataclass

from .history import Event, History
from .violation import Violation

CUSTOMER_WINDOW = re.compile("[0-9a-f]{16}")  # the counter's names for customers' windows
IDEMPOTENT_CLASS = "look"  # may be repeated freely
KEYED_CLASS = "pay"  # repeated with an idempotency key, which the servers drop
SINGLE_ATTEMPT_CLASS = "book"  # must not be repeated
SERVED_STATUS = 200
REFUSAL_STATUSES = (429, 503)
ROUNDING_MARGIN_UNITS = 0.5


@dataclass(frozen=True, slots=True)
class ServerRun:
    """One run of a request at a server: its zone's process name and when it began, in Unix seconds."""

    zone: str
    at: float


def check_once(history: History) -> list[Violation]:
    """`once`: by the servers' records every request ran as often as its class allows, and was answered so.

    No request of `book` ran twice, nor one of `pay` but for repeats that its key dropped.  What was answered
    200 ran, with its own answer; no `book` that ran was refused, and no outcome is unknown of a request that
    might have been repeated.
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
    """`charged`: what the counter added for customers is no more than a unit for each request to charge.

    To charge is each request that ran, that was answered by other than a refusal, or whose client had to retry.
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
    """What is wrong with an answer, given whether its request ran; empty if nothing is."""
    request_id, status = answer["id"], answer["status"]
    if status == SERVED_STATUS and (not has_run or "foreign" in answer):
        return f"request {request_id} answered 200 without having run"
    if status in REFUSAL_STATUSES and has_run and request_class == SINGLE_ATTEMPT_CLASS:
        return f"request {request_id} ({request_class}) refused though it ran"
    if answer.get("unknown") and request_class == IDEMPOTENT_CLASS:
        return f"request {request_id} may be repeated, and its outcome is unknown"
    return ""


def _is_chargeable(event: Event) -> bool:
    """Whether an event of the load shows that its request may be charged."""
    return event["event"] == "again" or event.get("status", REFUSAL_STATUSES[-1]) not in REFUSAL_STATUSES
