"""Rule `fenced`: an ingress doesn't answer requests that another ingress has taken over from it."""

from __future__ import annotations

from .history import Event, FaultSpan, History
from .violation import Violation

STOPPING_MODES = ("kill", "stall")
SENT_EVENTS = ("sent", "sent again")

#: An ingress whose record log was taken over, and the id of a request in that log.
RecordedRequest = tuple[str, str]


def check_fenced(history: History) -> list[Violation]:
    """`fenced`: after another ingress began to take over an ingress's log, the owner answers no request in that log.

    A request that was sent to the owner again is excused: bytes that the process had not read, and so not recorded,
    are a new request to it when it resumes.  Answers that a client reads while the owner's process is stopped or
    dead are ignored, because the owner wrote them earlier.
    """
    takeovers = _takeover_times(history)
    stops = [span for span in history.fault_spans() if span.mode in STOPPING_MODES]
    last_sent: dict[str, Event] = {}
    found = []
    for event in history.of_source("load"):
        if event["event"] in SENT_EVENTS:
            last_sent[event["id"]] = event
        elif event["event"] == "answer" and event["id"] in last_sent:
            ingress = event.get("ingress", "")
            takeover_at = takeovers.get((ingress, event["id"]), float("inf"))
            if _is_stopped(ingress, event["at"], stops):
                continue
            sent = last_sent[event["id"]]
            if sent["at"] <= takeover_at < event["at"] and sent.get("ingress", "") == ingress:
                description = f"answered {event['id']} after another had taken it over"
                found.append(Violation("fenced", event["at"], ingress, description))
    return found


def _takeover_times(history: History) -> dict[RecordedRequest, float]:
    """Return for each recorded request when another ingress first began to take it over, in Unix seconds."""
    takeovers: dict[RecordedRequest, float] = {}
    for source in history.ingresses():
        for event in history.of_kind(source, "taking over"):
            owner = event.get("log", "").rpartition(".")[0]
            if owner == source:
                continue
            for request_id in event.get("ids", ()):
                takeovers.setdefault((owner, request_id), event["at"])
    return takeovers


def _is_stopped(ingress: str, at: float, stops: list[FaultSpan]) -> bool:
    return any(span.target == ingress and span.covers(at) for span in stops)
