"""Rules `room` and `fall`: no server exceeds its limit of concurrent requests, and none is overloaded."""

from __future__ import annotations

from .history import History
from .violation import Violation


def check_room(history: History) -> list[Violation]:
    """`room`: no server's record shows more concurrent requests than `budgets.room`; 0 means no bound."""
    room = history.program_settings("budgets").get("room", 0)
    if room <= 0:
        return []
    found = []
    for zone in history.zones():
        for event in history.of_kind(zone, "run"):
            if event["in_work"] > room:
                description = f"{event['server']} had {event['in_work']} in work of a room of {room}"
                found.append(Violation("room", event["at"], zone, description))
    return found


def check_fall(history: History) -> list[Violation]:
    """`fall`: no server fell over; a server does so when arrivals exceed a multiple of its capacity."""
    found = []
    for zone in history.zones():
        for event in history.of_kind(zone, "fell over"):
            description = f"{event['server']} fell over: {event['arrivals']} arrivals, {event['most']:g} borne"
            found.append(Violation("fall", event["at"], zone, description))
    return found
