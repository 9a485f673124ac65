"""The logs of a fleet on disk: one file a source, one JSON line an event."""

from __future__ import annotations

import time
from pathlib import Path
from typing import IO, Any

import orjson

LOG_SUFFIX = ".jsonl"
UNREADABLE_CHARACTERS = 200  # of a line that is no event, kept for the reader


class EventLogs:
    """Writes events to the logs in one directory."""

    def __init__(self, directory: Path) -> None:
        """The directory is made if need be."""
        directory.mkdir(parents=True, exist_ok=True)
        self._directory = directory
        self._files: dict[str, IO[bytes]] = {}

    def path_of(self, source: str) -> Path:
        """The file of one source."""
        return self._directory / f"{source}{LOG_SUFFIX}"

    def write(self, source: str, event: str, **fields: object) -> None:
        """Add an event of now to the log of a source."""
        if source not in self._files:
            self._files[source] = open(self.path_of(source), "ab")  # noqa: SIM115  # open until `close`
        line = orjson.dumps({"at": time.time(), "event": event, **fields})
        self._files[source].write(line + b"\n")

    def close(self) -> None:
        """Write all to disk."""
        for file in self._files.values():
            file.close()


def read_logs(directory: Path) -> dict[str, list[dict[str, Any]]]:
    """The events of every log in the directory, by source; a line that is no JSON event is kept as `unreadable`."""
    return {path.stem: _read_log(path) for path in sorted(directory.glob(f"*{LOG_SUFFIX}"))}


def _read_log(path: Path) -> list[dict[str, Any]]:
    """The events of one log; an unreadable line has the time of the one before it."""
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
    """The JSON object of a line; empty if it is none."""
    try:
        value = orjson.loads(line)
    except orjson.JSONDecodeError:
        return {}
    return value if isinstance(value, dict) else {}
