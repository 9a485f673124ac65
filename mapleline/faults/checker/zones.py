"""Rule `zones`: all ingresses leave an unreachable zone in time, none leaves another, and none returns too soon."""

from __future__ import annotations

import fnmatch
from collections.abc import Iterator
from dataclasses import dataclass

from ...settings.own import Zones
from .history import INGRESS_PREFIX, ZONE_PREFIX, Event, FaultSpan, History
from .violation import Violation

CUTTING_MODES = ("cut", "cut_up", "cut_down", "blackhole", "kill")
TRANSITION_EVENTS = ("zone left", "zone back")
SCHEDULING_SLACK_S = 0.4  # a process's turn to run, a call to the counter, the load's next request


@dataclass(frozen=True, slots=True)
class ZoneHistory:
    """What the logs say of zones and of the ingresses' reach.

    Attributes:
        fleet_events: The controller's log.
        settings: The ingresses' `zones` block.
        heartbeat_s: Their heartbeat period, in seconds.
        bound_s: Within so many seconds every ingress has left a zone that none reaches.
        transitions: By ingress, the events at which it left a zone or returned to it.
        own_faults: By ingress, the faults of its own process.
        cuts: The faults that cut off zones or kill their processes.
    """

    fleet_events: list[Event]
    settings: Zones
    heartbeat_s: float
    bound_s: float
    transitions: dict[str, list[Event]]
    own_faults: dict[str, list[FaultSpan]]
    cuts: list[FaultSpan]

    @classmethod
    def from_history(cls, history: History, settings: Zones) -> ZoneHistory:
        """Collect it from the logs."""
        heartbeat_s = history.program_settings("budgets").get("beat_s", 0.0)
        ingresses = _started_ingresses(history)
        spans = history.fault_spans()
        return cls(
            fleet_events=history.of_source("fleet"),
            settings=settings,
            heartbeat_s=heartbeat_s,
            bound_s=settings.bound_s(heartbeat_s) + SCHEDULING_SLACK_S,
            transitions={name: _transitions(history.of_source(name)) for name in ingresses},
            own_faults={name: [span for span in spans if span.target == name] for name in ingresses},
            cuts=[span for span in spans if span.mode in CUTTING_MODES and span.target not in ingresses],
        )

    def is_cut_off(self, ingress: str, zone: str, at: float) -> bool:
        """Whether `ingress` does not reach `zone`, or did not at most `bound_s` before."""
        return any(_cuts_off(cut, ingress, zone) and cut.covers(at, after_s=self.bound_s) for cut in self.cuts)

    def failed_sends(self, zone: str) -> Iterator[Event]:
        """The attempts at the zone's servers that had no answer, as the links logged them."""
        for event in self.fleet_events:
            if event["event"] == "sent in vain" and event["link"].endswith(f">{ZONE_PREFIX}{zone}"):
                yield event


def check_zones(history: History) -> list[Violation]:
    """`zones` (where `zones.enabled`): the fleet leaves a zone and returns to it as docs/zones.md says.

    - A zone that no ingress reaches (a cutting fault of `*>zone-Z`, or its process killed) is left by every
      ingress without a fault of its own within `Zones.bound_s`, by all within a heartbeat period of each other,
      and nothing is sent there after that bound until the fault ends.
    - No ingress leaves a zone that most of them reach.
    - An ingress stays away for the hold time it logged, and a zone left again within `flap_s` of its return
      has twice the hold time, up to `hold_most_s`.
    """
    settings = history.program_settings("zones")
    if not settings.get("enabled"):
        return []
    zones = ZoneHistory.from_history(history, Zones(**settings))
    found = []
    for ingress in zones.transitions:
        found += _check_hold_times(zones, ingress)
        found += _check_departures(zones, ingress)
    for cut in zones.cuts:
        found += _check_cut(zones, cut)
    return found


def _check_departures(zones: ZoneHistory, ingress: str) -> list[Violation]:
    """No ingress leaves a zone that most of them reach."""
    found = []
    for event in zones.transitions[ingress]:
        if event["event"] != "zone left":
            continue
        zone, at = event["zone"], event["at"]
        cut_off = sum(zones.is_cut_off(other, zone, at) for other in zones.transitions)
        if 2 * cut_off <= len(zones.transitions):
            found.append(Violation("zones", at, ingress, f"left zone {zone}, which most ingresses reached"))
    return found


def _check_hold_times(zones: ZoneHistory, ingress: str) -> list[Violation]:
    """An ingress stays away for its hold time, which doubles after a flap."""
    last_left: dict[str, Event] = {}
    returned_at: dict[str, float] = {}
    found = []
    for event in zones.transitions[ingress]:
        zone, at = event["zone"], event["at"]
        previous = last_left.get(zone)
        if event["event"] == "zone left":
            last_left[zone] = event
            is_flap = at - returned_at.get(zone, 0.0) < zones.settings.flap_s
            description = _short_hold(zones.settings, previous, event) if previous and is_flap else ""
        elif previous:
            returned_at[zone] = at
            description = _early_return(previous, event, zones.heartbeat_s)
        else:
            description = ""
        if description:
            found.append(Violation("zones", at, ingress, description))
    return found


def _short_hold(settings: Zones, previous: Event, event: Event) -> str:
    """What is wrong with the hold time of a zone that was left again after a flap; empty if nothing is."""
    least_s = min(settings.hold_most_s, 2 * previous["hold_s"])
    if event["hold_s"] >= least_s:
        return ""
    return f"held zone {event['zone']} {event['hold_s']:g} s after a flap, not {least_s:g}"


def _early_return(left: Event, event: Event, heartbeat_s: float) -> str:
    """What is wrong with a return; empty if the hold time, less a heartbeat period, was over."""
    away_s = event["at"] - left["at"]
    if away_s >= left["hold_s"] - heartbeat_s:
        return ""
    return f"back in zone {event['zone']} after {away_s:.2f} s of {left['hold_s']:g}"


def _check_cut(zones: ZoneHistory, cut: FaultSpan) -> list[Violation]:
    """A zone that no ingress reaches for longer than the bound is left by all, together, and for good."""
    zone = cut.target.rpartition(ZONE_PREFIX)[2]
    if cut.target not in (f"{ZONE_PREFIX}{zone}", f"*>{ZONE_PREFIX}{zone}"):
        return []
    # The bound counts from the first attempt without an answer.
    failed_at = [event["at"] for event in zones.failed_sends(zone) if cut.covers(event["at"])]
    start = min(failed_at, default=cut.start)
    if cut.end - start < zones.bound_s:
        return []
    found = []
    left_at: dict[str, float] = {}
    for ingress in zones.transitions:
        if _has_fault_around(zones, ingress, start):
            continue
        first = _first_departure(zones, ingress, zone, start)
        if first is not None:
            left_at[ingress] = first
        elif not _is_away(zones.transitions[ingress], zone, start):
            description = f"had not left zone {zone} {zones.bound_s:.2f} s after its {cut.mode}"
            found.append(Violation("zones", start + zones.bound_s, ingress, description))
    found += _check_together(zones, zone, left_at)
    found += _check_late_sends(zones, zone, start, cut.end)
    return found


def _check_together(zones: ZoneHistory, zone: str, left_at: dict[str, float]) -> list[Violation]:
    """All leave the zone within a heartbeat period of each other; `left_at` is in Unix seconds, by ingress."""
    if not left_at:
        return []
    first = min(left_at.values())
    spread_s = max(left_at.values()) - first
    if spread_s <= zones.heartbeat_s + SCHEDULING_SLACK_S:
        return []
    return [Violation("zones", first, "fleet", f"left zone {zone} over {spread_s:.2f} s: {left_at}")]


def _check_late_sends(zones: ZoneHistory, zone: str, start: float, end: float) -> list[Violation]:
    """Nothing is sent to a zone out of reach after the bound, but by an ingress with a fault of its own."""
    found = []
    for event in zones.failed_sends(zone):
        at = event["at"]
        if not start + zones.bound_s < at < end:
            continue
        ingress = event["link"].partition(">")[0]
        if not any(fault.covers(at, after_s=zones.bound_s) for fault in zones.own_faults[ingress]):
            found.append(Violation("zones", at, ingress, f"sent into zone {zone} after the bound"))
    return found


def _has_fault_around(zones: ZoneHistory, ingress: str, start: float) -> bool:
    """Whether it was stalled, restarted or killed between a bound before `start` and a bound after it."""
    return any(
        fault.start <= start + zones.bound_s and fault.end + zones.bound_s >= start
        for fault in zones.own_faults[ingress]
    )


def _first_departure(zones: ZoneHistory, ingress: str, zone: str, start: float) -> float | None:
    """When the ingress first left the zone within the bound after `start`, in Unix seconds."""
    for event in zones.transitions[ingress]:
        if event["event"] == "zone left" and event["zone"] == zone:
            at: float = event["at"]
            if start <= at <= start + zones.bound_s:
                return at
    return None


def _is_away(transitions: list[Event], zone: str, at: float) -> bool:
    """Whether an ingress was out of `zone` at that time, by its own log."""
    kinds = [event["event"] for event in transitions if event["zone"] == zone and event["at"] <= at]
    return bool(kinds) and kinds[-1] == "zone left"


def _cuts_off(cut: FaultSpan, ingress: str, zone: str) -> bool:
    """Whether the fault's target is the zone's process or a link of the ingress to it."""
    process = f"{ZONE_PREFIX}{zone}"
    return cut.target == process or fnmatch.fnmatchcase(f"{ingress}>{process}", cut.target)


def _transitions(events: list[Event]) -> list[Event]:
    return [event for event in events if event["event"] in TRANSITION_EVENTS]


def _started_ingresses(history: History) -> list[str]:
    """The names of all ingresses that were started, sorted."""
    started = {event["process"] for event in history.of_kind("fleet", "process started")}
    return sorted(name for name in started if name.startswith(INGRESS_PREFIX))
