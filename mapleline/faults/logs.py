"""The logs of a fleet on disk: one file per source, one JSON line per event."""

from __future__ import annotations

import time
from pathlib import Path
from typing import IO, Any

import orjson

LOG_SUFFIX = ".jsonl"
UNREADABLE_CHARACTERS = 200  # characters kept of a line that is not an event


class EventLogs:
    """Writes events to the logs in one directory."""

    def __init__(self, directory: Path) -> None:
        """Create the directory if it doesn't exist."""
        directory.mkdir(parents=True, exist_ok=True)
        self._directory = directory
        self._files: dict[str, IO[bytes]] = {}

    def path_of(self, source: str) -> Path:
        """Return the file of one source."""
        return self._directory / f"{source}{LOG_SUFFIX}"

    def write(self, source: str, event: str, **fields: object) -> None:
        """Append an event with the current time to the log of a source."""
        if source not in self._files:
            self._files[source] = open(self.path_of(source), "ab")  # noqa: SIM115  # open until `close`
        line = orjson.dumps({"at": time.time(), "event": event, **fields})
        self._files[source].write(line + b"\n")

    def close(self) -> None:
        """Flush and close all files."""
        for file in self._files.values():
            file.close()


def read_logs(directory: Path) -> dict[str, list[dict[str, Any]]]:
    """Return the events of every log in the directory, by source.

    A line that is not a JSON event becomes an event `unreadable`.
    """
    return {path.stem: _read_log(path) for path in sorted(directory.glob(f"*{LOG_SUFFIX}"))}


def _read_log(path: Path) -> list[dict[str, Any]]:
    """Return the events of one log; an unreadable line gets the time of the previous event."""
    events = []
    last_at = 0.0
    for line in path.read_bytes().splitlines():
        event = _parse_object(line)
        last_at = event.get("at", last_at)
        if "at" not in event or "event" not in event:
            text = line[:UNREADABLE_CHARACTERS].decode(errors="replace")
            event = {"at": last_at, "event": "unreadable", "line": text}
        events.append(event)
    return events


def _parse_object(line: bytes) -> dict[str, Any]:
    """Return the JSON object in a line; empty if the line holds none."""
    try:
        value = orjson.loads(line)
    except orjson.JSONDecodeError:
        return {}
    return value if isinstance(value, dict) else {}
