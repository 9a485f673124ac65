"""Preconditions of scheduled faults: requests in flight for an ingress, or an event in its log."""

from __future__ import annotations

import os
from typing import IO

import orjson

from ..load import LoadGenerator
from ..logs import EventLogs
from ..schedule import ScheduledFault
from .parties import ZONE_PREFIX

LINE_END = b"\n"


class ServerRecords:
    """Incremental reader of the servers' records, for the requests that servers have begun."""

    def __init__(self, zones: tuple[str, ...], logs: EventLogs) -> None:
        """Initialise at the start of each zone's record."""
        self._zones = zones
        self._logs = logs
        self._files: dict[str, IO[bytes]] = {}
        self._begun: set[str] = set()

    def begun_requests(self) -> set[str]:
        """Return the ids of all requests that a server has begun so far."""
        for zone in self._zones:
            if zone not in self._files:
                path = self._logs.path_of(f"{ZONE_PREFIX}{zone}")
                self._files[zone] = open(path, "rb")  # noqa: SIM115  # open until `close`
            self._read_new_lines(self._files[zone])
        return self._begun

    def close(self) -> None:
        """Close the files."""
        for file in self._files.values():
            file.close()

    def _read_new_lines(self, file: IO[bytes]) -> None:
        while (line := file.readline()).endswith(LINE_END):
            event = orjson.loads(line)
            if event["event"] == "run":
                self._begun.add(event["id"])
        file.seek(-len(line), os.SEEK_CUR)  # the rest of the line is still being written


class Preconditions:
    """Evaluates the preconditions of faults."""

    def __init__(self, logs: EventLogs, records: ServerRecords, load: LoadGenerator | None) -> None:
        """Initialise; without a load, no request is in flight."""
        self._logs = logs
        self._records = records
        self._load = load

    def is_met(self, fault: ScheduledFault) -> bool:
        """Return whether the fault may begin or, if it has `after`, whether its `at` counts from now."""
        if fault.after:
            return self._has_logged(fault.process, fault.after)
        return self._requests_in_flight(fault.process) >= fault.in_flight

    def _has_logged(self, process: str, event: str) -> bool:
        for line in self._logs.path_of(process).read_bytes().splitlines(keepends=True):
            is_whole_event = line.startswith(b"{") and line.endswith(b"}\n")
            if is_whole_event and orjson.loads(line).get("event") == event:
                return True
        return False

    def _requests_in_flight(self, ingress: str) -> int:
        """Return the number of requests to an ingress that a server has begun and that have no answer yet."""
        if self._load is None:
            return 0
        begun = self._records.begun_requests()
        return sum(request_id in begun for request_id in self._load.requests_at(ingress))
