"""Rule `answered`: every request gets exactly one answer, in time."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass

from .history import INGRESS_PREFIX, Event, History, fault_target
from .violation import Violation

LOAD_LINK_PREFIX = "load>"
OUTCOME_EVENTS = ("answer", "cut off", "unanswered")


@dataclass(frozen=True, slots=True)
class TimeSpan:
    """A closed interval of time; both ends are in Unix seconds."""

    start: float
    end: float

    def overlaps(self, start: float, end: float) -> bool:
        """Return whether the two spans have an instant in common."""
        return start <= self.end and end >= self.start


def check_answered(history: History, slack_s: float, strict: bool) -> list[Violation]:
    """`answered`: every request of the load has one answer by its deadline plus `slack_s`.

    No request may be lost, late, answered twice, or cut off with its connection.  A request is excused if its
    time overlaps a fault of its ingress or of the load's link to it, because a load balancer in front of the
    ingresses would send such clients elsewhere.  The fault of a restart lasts until the process is ready again.

    Args:
        history: The fleet's logs.
        slack_s: Seconds that an answer may come after its deadline.
        strict: If true, no request is excused.
    """
    excused = {} if strict else _excused_spans(history.of_source("fleet"))
    requests: dict[str, Event] = {}
    outcomes: dict[str, list[Event]] = defaultdict(list)
    for event in history.of_source("load"):
        if event["event"] == "sent":
            requests[event["id"]] = event
        elif event["event"] in OUTCOME_EVENTS:
            outcomes[event["id"]].append(event)
    found = []
    for request_id, request in requests.items():
        deadline = _deadline(request)
        if any(span.overlaps(request["at"], deadline) for span in excused.get(request["ingress"], ())):
            continue
        violation = _judge_outcomes(request, outcomes.get(request_id, []), slack_s)
        if violation is not None:
            found.append(violation)
    return found


def _deadline(request: Event) -> float:
    """Return the request's deadline in Unix seconds."""
    deadline: float = request["at"] + request["timeout_ms"] / 1000
    return deadline


def _judge_outcomes(request: Event, outcomes: list[Event], slack_s: float) -> Violation | None:
    """Return the violation that the outcomes of one request show, or None."""
    ingress, request_id = request["ingress"], request["id"]
    if not outcomes or outcomes[0]["event"] == "unanswered":
        return Violation("answered", request["at"], ingress, f"request {request_id} lost: never answered")
    first = outcomes[0]
    if len(outcomes) > 1:
        description = f"request {request_id} answered {len(outcomes)}x"
        return Violation("answered", outcomes[1]["at"], ingress, description)
    if first["event"] == "cut off":
        return Violation("answered", first["at"], ingress, f"request {request_id} cut off unanswered")
    deadline = _deadline(request)
    if first["at"] > deadline + slack_s:
        late_s = first["at"] - deadline
        return Violation("answered", first["at"], ingress, f"request {request_id} late by {late_s:.3f} s")
    return None


def _excused_spans(fleet_events: list[Event]) -> dict[str, list[TimeSpan]]:
    """Return for each ingress the times when it or the load's link to it had a fault.

    A killed ingress is excused forever.  Any other fault that never ended counts until the fleet's last event.
    """
    open_faults: dict[tuple[str, str], float] = {}
    spans: dict[str, list[TimeSpan]] = defaultdict(list)
    for event in fleet_events:
        ingress = _affected_ingress(event)
        if not ingress:
            continue
        key = (ingress, event.get("fault", ""))
        if event["event"] == "fault begun":
            open_faults[key] = event["at"]
            if event.get("mode") == "kill":
                spans[ingress].append(TimeSpan(event["at"], float("inf")))
        elif event["event"] == "fault ended" and key in open_faults:
            spans[ingress].append(TimeSpan(open_faults.pop(key), event["at"]))
    last = max((event["at"] for event in fleet_events), default=0.0)
    for (ingress, _), start in open_faults.items():
        spans[ingress].append(TimeSpan(start, last))
    return spans


def _affected_ingress(event: Event) -> str:
    """Return the ingress whose process or load link the event names; empty for any other process or link."""
    target = fault_target(event)
    if not target.startswith((LOAD_LINK_PREFIX, INGRESS_PREFIX)):
        return ""
    ingress = target.removeprefix(LOAD_LINK_PREFIX)
    return "" if ">" in ingress else ingress
