"""Rule `fenced`: what another ingress has taken over is not answered by the ingress that had it before."""

from __future__ import annotations

from .history import Event, FaultSpan, History
from .violation import Violation

STOPPING_MODES = ("kill", "stall")
SENT_EVENTS = ("sent", "sent again")

#: An ingress whose log was taken over, and the id of a request on record there.
RecordedRequest = tuple[str, str]


def check_fenced(history: History) -> list[Violation]:
    """`fenced`: once another began to take over an ingress's log, that ingress answers nothing on record there.

    Excused is a request that was sent to it again (what was not on record lay unread, and is new to it when it
    wakes).  What a client reads while that process is stopped or dead was written before, and shows nothing.
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
            taken_at = takeovers.get((ingress, event["id"]), float("inf"))
            if _is_stopped(ingress, event["at"], stops):
                continue
            sent = last_sent[event["id"]]
            if sent["at"] <= taken_at < event["at"] and sent.get("ingress", "") == ingress:
                description = f"answered {event['id']} after another had taken it over"
                found.append(Violation("fenced", event["at"], ingress, description))
    return found


def _takeover_times(history: History) -> dict[RecordedRequest, float]:
    """When another first began to take over each request on record, in Unix seconds."""
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
