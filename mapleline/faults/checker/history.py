"""Access to a fleet's logs for the rules: events in order of time, faults as spans of time."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

#: One JSON line of a log: `at` (Unix seconds of the machine's clock), `event`, and the event's own fields.
Event = Mapping[str, Any]
#: Events by source: `load`, `fleet`, `counter`, `ingress-2`, `zone-a`.
Logs = Mapping[str, Iterable[Event]]

INGRESS_PREFIX = "ingress-"
ZONE_PREFIX = "zone-"


@dataclass(frozen=True, slots=True)
class FaultSpan:
    """One fault of the schedule.

    Attributes:
        target: The process or link that had the fault.
        mode: The fault's mode, as in docs/fleet.md.
        start: Start in Unix seconds.
        end: End in Unix seconds; infinity if the fault never ended.
    """

    target: str
    mode: str
    start: float
    end: float

    def covers(self, at: float, after_s: float = 0.0) -> bool:
        """Return whether `at` lies in the span, or at most `after_s` seconds after its end."""
        return self.start <= at <= self.end + after_s


@dataclass(frozen=True, slots=True)
class History:
    """The events of every log of one fleet, by source, each in order of time."""

    events: dict[str, list[Event]]

    @classmethod
    def from_logs(cls, logs: Logs) -> History:
        """Sort each log by time; events of the same time keep their order."""
        return cls({source: sorted(events, key=_event_time) for source, events in logs.items()})

    def of_source(self, source: str) -> list[Event]:
        """Return the events of one log; empty if the log doesn't exist."""
        return self.events.get(source, [])

    def of_kind(self, source: str, kind: str) -> list[Event]:
        """Return the events of one log whose `event` is `kind`."""
        return [event for event in self.of_source(source) if event["event"] == kind]

    def ingresses(self) -> dict[str, list[Event]]:
        """Return the logs of the ingresses, by name."""
        return self._with_prefix(INGRESS_PREFIX)

    def zones(self) -> dict[str, list[Event]]:
        """Return the records of the zones' servers, by the zone's process name."""
        return self._with_prefix(ZONE_PREFIX)

    def fleet_settings(self) -> Event:
        """Return the schedule's `fleet` block, as the controller logged it when the load began."""
        return next(iter(self.of_kind("fleet", "load begun")), {})

    def program_settings(self, block: str) -> dict[str, Any]:
        """Return one block of the ingresses' own settings; empty if the schedule has none."""
        settings: dict[str, Any] = self.fleet_settings().get("own", {}).get(block, {})
        return settings

    def fault_spans(self) -> list[FaultSpan]:
        """Return every fault that began: first the ended ones, by end, then the open ones."""
        open_faults: dict[str | None, Event] = {}
        spans = []
        for event in self.of_source("fleet"):
            fault = event.get("fault")
            if event["event"] == "fault begun":
                open_faults[fault] = event
            elif event["event"] == "fault ended" and fault in open_faults:
                spans.append(_fault_span(open_faults.pop(fault), event["at"]))
        return spans + [_fault_span(event, float("inf")) for event in open_faults.values()]

    def _with_prefix(self, prefix: str) -> dict[str, list[Event]]:
        return {source: events for source, events in self.events.items() if source.startswith(prefix)}


def fault_target(event: Event) -> str:
    """Return the process or link that a `fault begun` or `fault ended` names."""
    return event.get("process") or event.get("link") or ""


def _event_time(event: Event) -> float:
    at: float = event.get("at", 0.0)
    return at


def _fault_span(begun: Event, end: float) -> FaultSpan:
    return FaultSpan(fault_target(begun), begun["mode"], begun["at"], end)
