"""Checks that a frozen node never answers with data older than acknowledged at the time of the request."""

from __future__ import annotations

import json
import threading
import time
from dataclasses import dataclass, field

from .cluster import NO_ANSWER, TrialCluster
from .layout import CONTROL_PORT, DIRECTORY_PORT
from .sample_configuration import HOST_NAME

FREEZE_S = 20.0
SHORT_TIMEOUT_S = 0.3
REQUEST_INTERVAL_S = 0.02
LONG_READ_INTERVAL_S = 0.5
LONG_READ_TIMEOUT_S = FREEZE_S + 5.0
"""Longer than the freeze, so that such a request is answered after the node has resumed."""
LOOKUP_PATH = f"/lookup?name={HOST_NAME}&zone=z3"
EXPECTED_STATUSES = (NO_ANSWER, 200, 503)


@dataclass(slots=True)
class AnswerCounts:
    """Numbers of requests answered with 200, by kind."""

    reads: int = 0
    long_reads: int = 0
    lookups: int = 0

    def has_all(self) -> bool:
        """Return whether requests of each kind were answered."""
        return bool(self.reads and self.long_reads and self.lookups)


@dataclass(slots=True)
class AcknowledgedConfiguration:
    """The newest acknowledged version, and the time when the version before the freeze must be out of force."""

    newest_version: int = 0
    old_expires_at: float = field(default=float("inf"))


class FrozenNodeObserver:
    """Continuously requests a node's configuration, directory, and service by the configuration before the freeze."""

    def __init__(self, cluster: TrialCluster, name: str, old_path: str) -> None:
        """Start the threads that send requests; only the configuration before the freeze serves `old_path`."""
        self._cluster = cluster
        self._name = name
        self._old_path = old_path
        self.acknowledged = AcknowledgedConfiguration()
        self.counts = AnswerCounts()
        self._faults: list[str] = []
        self._is_stopped = threading.Event()
        self._threads = [
            threading.Thread(target=work, daemon=True)
            for work in (self._read_with_short_timeout, self._send_client_requests, self._read_with_long_timeout)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> list[str]:
        """Stop the threads; return the observed faults."""
        self._is_stopped.set()
        for thread in self._threads:
            thread.join(LONG_READ_TIMEOUT_S + 1.0)
        return self._faults

    def _read_with_short_timeout(self) -> None:
        while not self._is_stopped.wait(REQUEST_INTERVAL_S):
            self.counts.reads += self._read_configuration(SHORT_TIMEOUT_S)

    def _read_with_long_timeout(self) -> None:
        """Send reads also while the node is frozen, with a time-out longer than the freeze."""
        while not self._is_stopped.wait(LONG_READ_INTERVAL_S):
            self.counts.long_reads += self._read_configuration(LONG_READ_TIMEOUT_S)

    def _read_configuration(self, timeout_s: float) -> bool:
        """Return whether the configuration was read; it must not be older than acknowledged before the request."""
        newest_version = self.acknowledged.newest_version
        answer = self._cluster.get(self._name, CONTROL_PORT, "/config/read", timeout_s)
        if answer.status not in EXPECTED_STATUSES:
            self._faults.append(f"read: {answer.status}")
        if answer.status != 200:
            return False
        version = json.loads(answer.text)["config_version"]
        if version < newest_version:
            self._faults.append(f"read {version}, acknowledged {newest_version}")
        return True

    def _send_client_requests(self) -> None:
        count = 0
        while not self._is_stopped.wait(REQUEST_INTERVAL_S):
            count += 1
            is_expired = time.monotonic() > self.acknowledged.old_expires_at
            self._look_up()
            request_id = f"old-{count}"
            answer = self._cluster.send_client_request(
                self._name, self._old_path, request_id, timeout_s=SHORT_TIMEOUT_S
            )
            if is_expired and answer.status not in (NO_ANSWER, 404, 503):
                self._faults.append(f"served by the old: {answer.status}")

    def _look_up(self) -> None:
        status = self._cluster.get(self._name, DIRECTORY_PORT, LOOKUP_PATH, SHORT_TIMEOUT_S).status
        self.counts.lookups += status == 200
        if status not in EXPECTED_STATUSES:
            self._faults.append(f"lookup: {status}")
