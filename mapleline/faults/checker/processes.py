"""Rules `schedule` and `crash`: all scheduled faults began, and no process failed by itself."""

from __future__ import annotations

from .history import Event, History
from .violation import Violation

REPORTED_FAULTS = ("module raised", "caught", "action failed", "answer failed")
COUNTED_FAULTS = ("twisted.caught", "engine.action_failed", "engine.answer_failed", "module.raised")
BROKEN_INVARIANT_PREFIX = "broken."


def check_schedule(history: History) -> list[Violation]:
    """`schedule`: every fault with a precondition has begun by the end of the run."""
    return [
        Violation(
            "schedule", event["at"], event["process"], f"{event['fault']} never began: what it waits for did not come"
        )
        for event in history.of_kind("fleet", "fault never begun")
    ]


def check_crash(history: History) -> list[Violation]:
    """`crash`: no process failed by itself.

    No process exited unless the schedule ended it, and none failed to start.  No ingress reported or counted an
    internal fault or a broken invariant (`broken.*`).
    """
    found = _failed_processes(history.of_source("fleet"))
    for source, events in history.events.items():
        if source in ("fleet", "load"):
            continue
        for event in events:
            description = _internal_fault(event)
            if description:
                found.append(Violation("crash", event["at"], source, description))
    return found


def _failed_processes(fleet_events: list[Event]) -> list[Violation]:
    found = []
    for event in fleet_events:
        if event["event"] == "process ended" and not event.get("by_schedule"):
            description = f"ended with status {event.get('status')} unbidden"
            found.append(Violation("crash", event["at"], event["process"], description))
        elif event["event"] == "process failed to start":
            found.append(Violation("crash", event["at"], event["process"], "failed to start"))
    return found


def _internal_fault(event: Event) -> str:
    """Return a description of the internal fault that an ingress's event reports; empty if it reports none."""
    if event["event"] in REPORTED_FAULTS:
        return f"reported {event['event']!r}"
    if event["event"] != "counters":
        return ""
    counts = {name: count for name, count in event.get("counts", {}).items() if count and _counts_fault(name)}
    return f"counted {counts}" if counts else ""


def _counts_fault(counter: str) -> bool:
    return counter.startswith(BROKEN_INVARIANT_PREFIX) or counter in COUNTED_FAULTS
