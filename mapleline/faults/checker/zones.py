"""Rule `zones`: all ingresses leave an unreachable zone in time, and none leaves a reachable one or returns early."""

from __future__ import annotations

import fnmatch
from collections.abc import Iterator
from dataclasses import dataclass

from ...settings.own import Zones
from .history import INGRESS_PREFIX, ZONE_PREFIX, Event, FaultSpan, History
from .violation import Violation

CUTTING_MODES = ("cut", "cut_up", "cut_down", "blackhole", "kill")
TRANSITION_EVENTS = ("zone left", "zone back")
SCHEDULING_SLACK_S = 0.4  # covers process scheduling, a call to the counter, and the wait for the load's next request


@dataclass(frozen=True, slots=True)
class ZoneHistory:
    """Facts from the logs about zones and their reachability from the ingresses.

    Attributes:
        fleet_events: The controller's log.
        settings: The ingresses' `zones` block.
        heartbeat_s: Heartbeat period of the ingresses, in seconds.
        bound_s: Seconds within which every ingress must leave a zone that none reaches.
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
        """Collect the facts from the logs."""
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
        """Return whether `ingress` cannot reach `zone`, or could not at some time in the last `bound_s` seconds."""
        return any(_cuts_off(cut, ingress, zone) and cut.covers(at, after_s=self.bound_s) for cut in self.cuts)

    def failed_sends(self, zone: str) -> Iterator[Event]:
        """Return the attempts at the zone's servers that had no answer, as the links logged them."""
        for event in self.fleet_events:
            if event["event"] == "sent in vain" and event["link"].endswith(f">{ZONE_PREFIX}{zone}"):
                yield event


def check_zones(history: History) -> list[Violation]:
    """`zones` (where `zones.enabled`): the fleet leaves a zone and returns to it as docs/zones.md says.

    - If no ingress reaches a zone (a cutting fault of `*>zone-Z`, or its process killed), every ingress without
      a fault of its own leaves the zone within `Zones.bound_s`, and all within a heartbeat period of each other.
      Nothing is sent there after that bound until the fault ends.
    - No ingress leaves a zone that most ingresses reach.
    - An ingress stays away for the hold time that it logged.  If it leaves a zone again within `flap_s` of its
      return, the hold time doubles, up to `hold_most_s`.
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
    """Return a violation for each departure of an ingress from a zone that most ingresses reach."""
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
    """Check that an ingress stays away for its hold time, which doubles after a flap."""
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
    """Return an error if the hold time after a flap is too short, otherwise an empty string."""
    min_hold_s = min(settings.hold_most_s, 2 * previous["hold_s"])
    if event["hold_s"] >= min_hold_s:
        return ""
    return f"held zone {event['zone']} {event['hold_s']:g} s after a flap, not {min_hold_s:g}"


def _early_return(left: Event, event: Event, heartbeat_s: float) -> str:
    """Return an error if a return came before the hold time less a heartbeat period, otherwise an empty string."""
    away_s = event["at"] - left["at"]
    if away_s >= left["hold_s"] - heartbeat_s:
        return ""
    return f"back in zone {event['zone']} after {away_s:.2f} s of {left['hold_s']:g}"


def _check_cut(zones: ZoneHistory, cut: FaultSpan) -> list[Violation]:
    """Check that all ingresses leave a zone that none reaches for longer than the bound, together and until its end."""
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
    found += _check_departure_spread(zones, zone, left_at)
    found += _check_late_sends(zones, zone, start, cut.end)
    return found


def _check_departure_spread(zones: ZoneHistory, zone: str, left_at: dict[str, float]) -> list[Violation]:
    """Check that all ingresses leave the zone within a heartbeat period; `left_at` is in Unix seconds, by ingress."""
    if not left_at:
        return []
    first = min(left_at.values())
    spread_s = max(left_at.values()) - first
    if spread_s <= zones.heartbeat_s + SCHEDULING_SLACK_S:
        return []
    return [Violation("zones", first, "fleet", f"left zone {zone} over {spread_s:.2f} s: {left_at}")]


def _check_late_sends(zones: ZoneHistory, zone: str, start: float, end: float) -> list[Violation]:
    """Check that no ingress without a fault of its own sends to an unreachable zone after the bound."""
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
    """Return whether the ingress's process had a fault within `bound_s` seconds before or after `start`."""
    return any(
        fault.start <= start + zones.bound_s and fault.end + zones.bound_s >= start
        for fault in zones.own_faults[ingress]
    )


def _first_departure(zones: ZoneHistory, ingress: str, zone: str, start: float) -> float | None:
    """Return when the ingress first left the zone within the bound after `start`, in Unix seconds."""
    for event in zones.transitions[ingress]:
        if event["event"] == "zone left" and event["zone"] == zone:
            at: float = event["at"]
            if start <= at <= start + zones.bound_s:
                return at
    return None


def _is_away(transitions: list[Event], zone: str, at: float) -> bool:
    """Return whether, by its own log, an ingress had left `zone` at time `at`."""
    kinds = [event["event"] for event in transitions if event["zone"] == zone and event["at"] <= at]
    return bool(kinds) and kinds[-1] == "zone left"


def _cuts_off(cut: FaultSpan, ingress: str, zone: str) -> bool:
    """Return whether the fault's target is the zone's process or a link of the ingress to it."""
    process = f"{ZONE_PREFIX}{zone}"
    return cut.target == process or fnmatch.fnmatchcase(f"{ingress}>{process}", cut.target)


def _transitions(events: list[Event]) -> list[Event]:
    return [event for event in events if event["event"] in TRANSITION_EVENTS]


def _started_ingresses(history: History) -> list[str]:
    """Return the names of all ingresses that were started, sorted."""
    started = {event["process"] for event in history.of_kind("fleet", "process started")}
    return sorted(name for name in started if name.startswith(INGRESS_PREFIX))
