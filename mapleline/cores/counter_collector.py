"""Collection of the telemetry counters of all processes of one ingress, which the supervisor logs as one set."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from typing import TYPE_CHECKING

from ..telemetry import COUNTS, log
from .messages import CounterSnapshot, QueryCounters

if TYPE_CHECKING:
    from .reactor import Reactor
    from .worker_process import WorkerProcess

Counters = dict[str, int]

QUERY_TIMEOUT_S = 0.5  # wait for the workers' replies; the log line lists workers that did not reply


class CounterCollector:
    """Queries the workers for their counters and keeps the counters of processes that have exited."""

    def __init__(self, reactor: Reactor, workers: Mapping[int, WorkerProcess]) -> None:
        """Collect from `workers`, a mapping by number that the caller keeps up to date."""
        self._reactor = reactor
        self._workers = workers
        self._exited: Counter[str] = Counter()
        self._query = 0  # number of the query in progress
        self._replies: dict[int, Counters] = {}

    def add_exited(self, worker: WorkerProcess) -> None:
        """Keep the last counters of a process that has exited."""
        self._exited.update(worker.counters)
        worker.counters = {}

    def query(self) -> None:
        """Query all workers; the counters are logged when all have replied, or after `QUERY_TIMEOUT_S`."""
        self._query += 1
        self._replies = {}
        for worker in self._workers.values():
            worker.send(QueryCounters(self._query))
        self._reactor.callLater(QUERY_TIMEOUT_S, self._finish_query, self._query)

    def handle_snapshot(self, worker: WorkerProcess, snapshot: CounterSnapshot) -> None:
        """Store a worker's counters, and finish the query if all ready workers have replied."""
        worker.counters = snapshot.counters
        if snapshot.query != self._query:
            return
        self._replies[worker.number] = snapshot.counters
        if self._ready_workers() <= set(self._replies):
            self._finish_query(self._query)

    def _ready_workers(self) -> set[int]:
        return {number for number, worker in self._workers.items() if worker.is_ready}

    def _finish_query(self, query: int) -> None:
        """Log the replies and, for the other workers, the last known counters, unless this query was logged already."""
        if query != self._query:
            return
        self._query += 1
        missing = self._ready_workers() - set(self._replies)
        last_known = {number: self._workers[number].counters for number in missing}
        self._log("asked", {**last_known, **self._replies}, sorted(missing))

    def log_exit(self) -> None:
        """Log the last counters of all processes."""
        self._log("exit", {number: worker.counters for number, worker in self._workers.items()}, [])

    def _log(self, reason: str, by_worker: Mapping[int, Counters], unresponsive: list[int]) -> None:
        """Log the sum over all processes, including exited ones, and the counters of each worker.

        Args:
            reason: Why the counters are logged.
            by_worker: Counters of each worker, by number.
            unresponsive: Numbers of workers that did not reply; their counters are those last reported.
        """
        total = Counter(COUNTS) + self._exited
        for counters in by_worker.values():
            total.update(counters)
        workers = {str(number): dict(sorted(counters.items())) for number, counters in sorted(by_worker.items())}
        log("counters", why=reason, counts=dict(sorted(total.items())), workers=workers, silent=unresponsive)
