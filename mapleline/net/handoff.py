"""Logs one ingress's requests in flight and holds its lease, so that another can take them over (a driver).

The engine calls `Handoff` before it sends or answers, and the HTTP front calls `FleetIds` before it accepts a request.
`LogAdopter` takes over the logs of members whose lease has expired.  The rules are in docs/design/handoff.md, the
operators' page is docs/handoff.md.

Log events: `handoff begun` (an epoch of this process has begun), `lease lost`; the others are in `log_adoption`.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from ..engine.answers import Served
from ..handoff.in_flight import InFlightTable
from ..handoff.store import Store
from ..handoff.write_ahead_log import WriteAheadLog, log_name
from ..membership import Lease, LeaseTable
from ..policy.interface import Effect
from ..telemetry import COUNTS, log
from .fleet_ids import FleetIds
from .handoff_records import (
    UNKNOWN_OUTCOME,
    accepted_record,
    bytes_of,
    done_record,
    forgotten_record,
    not_executed_record,
    sent_record,
    text_of,
)
from .log_adoption import LogAdopter, RequestNames

if TYPE_CHECKING:
    from twisted.internet.task import LoopingCall

    from ..engine import Attempt, Engine, OpenRequest
    from ..engine.answers import Answer
    from ..handoff.log_format import Record
    from ..handoff.store import Outcome
    from ..policy.interface import Arrival
    from ..settings.own import Handoff as HandoffSettings
    from .event_loop import EventLoop

UPDATE_S = 0.1  #: the interval at which the lease is checked and due work is done
RENEWALS_PER_LEASE = 3  #: two renewals may be missed before the lease is lost
BYTES_PER_KB = 1024
MS_PER_S = 1000


class Handoff:
    """One ingress's log, lease and outcomes.

    Attributes:
        store: The fleet's store.
        name: This member's name.
        epoch: The incarnation that its log and its lease belong to.
        ids: The ids that it owns.
        in_flight: The requests in flight, as its log records them.
        adopter: Takes over the logs of other members.
    """

    def __init__(
        self, reactor: EventLoop, settings: HandoffSettings, engine: Engine, name: str, names: RequestNames
    ) -> None:
        """Begin a new epoch, and take over the logs of this member's earlier epochs.

        Args:
            reactor: The event loop.
            settings: The settings of handoff.
            engine: The engine whose requests are logged.
            name: This member's name.
            names: The names of the request classes and plans.

        Raises:
            OSError: The store cannot be used.
        """
        self.store = Store(settings.dir)
        self.name = name
        self.engine = engine
        self.ids = FleetIds(self.store, lambda: self.log_name)
        self.adopter = LogAdopter(self, engine, names)
        self._reactor = reactor
        self._settings = settings
        self._names = names
        self._leases = LeaseTable(settings.margin_s)
        self._synced_at_s = 0.0
        self._loop: LoopingCall | None = None
        self.epoch = max(self.store.log_epochs(name), default=0)
        self._begin_epoch(InFlightTable())
        self._take_over_earlier_epochs()

    def _take_over_earlier_epochs(self) -> None:
        """Take over the logs that earlier processes of this member left behind."""
        for epoch, is_taken in sorted(self.store.log_epochs(self.name).items()):
            if epoch < self.epoch and not is_taken:
                self.adopter.take_over(log_name(self.name, epoch))

    def start(self) -> None:
        """Begin to renew the lease, and to check for members whose lease has expired."""
        from twisted.internet import task

        self._loop = task.LoopingCall(self.update)
        self._loop.start(UPDATE_S, now=True)
        self._reactor.addSystemEventTrigger("after", "shutdown", self.close)

    # -- log and lease -----------------------------------------------------------------------------------------

    @property
    def log_name(self) -> str:
        """The name of this epoch's log, which the store records as the owner of its ids."""
        return log_name(self.name, self.epoch)

    def append_record(self, record: Record, is_deferred: bool = False) -> None:
        """Apply a record and log it.

        Args:
            record: The record.
            is_deferred: Whether it may be written with the next record or at the next update; if a deferred record is
                lost, its request may be executed again.
        """
        self.in_flight.apply(record)
        self._log.write(record, is_deferred)

    def _begin_epoch(self, table: InFlightTable) -> None:
        """Open the log of a new epoch, which starts with the requests in `table`, and write its lease."""
        self._log = self._create_log(table)
        self.in_flight = table
        self.renew_lease(time.time())
        log("handoff begun", name=self.name, epoch=self.epoch, open=len(table.requests))

    def _create_log(self, table: InFlightTable) -> WriteAheadLog:
        while True:
            self.epoch += 1
            try:
                return WriteAheadLog(self.store.folder, self.name, self.epoch, table.snapshot())
            except FileExistsError:
                continue  # another process with this name has that epoch

    def _carry_over(self) -> None:
        """Continue in a new epoch, whose log becomes the owner of the ids in flight and of the takeovers."""
        for request in self.in_flight.requests.values():
            request.accepted["from"] = self.log_name  # a successor accepts this owner of an id that is not moved yet
        self._begin_epoch(self.in_flight)
        for record_id in self.in_flight.requests:
            self.store.move_id(bytes_of(record_id), self.log_name)
        for taken_log in self.in_flight.takeovers:
            self.store.inherit_claim(taken_log, self.log_name)

    def renew_lease(self, now_s: float) -> None:
        """Renew the lease from `now_s` (Unix seconds)."""
        self._renewed_at_s = now_s
        self._lease_until_s = now_s + self._settings.lease_s
        self.store.write_lease(self._lease())

    def _lease(self) -> Lease:
        return Lease(self.name, self.epoch, self._lease_until_s)

    def holds_lease(self) -> bool:
        """Return whether this process still owns its requests in flight; called before each send and answer.

        After a stall longer than the lease the process continues in a new epoch.  It claims its own old log, which
        fences it: if the claim succeeds, it keeps all its requests in flight.  If another member has claimed the log,
        it drops them, and False is returned.
        """
        if time.time() < self._lease_until_s:
            return True
        stalled_log = self._log
        is_owner = self.store.claim_log(self.log_name, f"{self.name} itself")
        log("lease lost", epoch=self.epoch, taken=not is_owner, open=len(self.in_flight.requests))
        if is_owner:
            self._carry_over()
        else:
            self._begin_epoch(InFlightTable())
        stalled_log.close()
        if not is_owner:
            self._abandon_requests()
        return is_owner

    def _abandon_requests(self) -> None:
        COUNTS["handoff.fenced"] += 1
        self.adopter.clear()
        self.ids.clear()
        self.engine.abandon_all()

    # -- events of the engine (`Engine.journal`) ---------------------------------------------------------------

    def record_accepted(self, request: OpenRequest, arrival: Arrival) -> None:
        """Log a request that the engine accepts, unless it was taken over and so is logged already."""
        translated = request.payload
        if self.ids.take_charged(translated.id):
            arrival.is_counted = True
        if text_of(translated.id) in self.in_flight.requests or not self.holds_lease():
            return
        class_name = self._names.classes[arrival.class_id]
        plan_name = self._names.plans[arrival.plan]
        self.append_record(accepted_record(translated, arrival, class_name, plan_name, time.time()))

    def record_sending(self, attempt: Attempt) -> bool:
        """Log an attempt before it is sent; return whether it may be sent."""
        if not self.holds_lease():
            return False
        self.append_record(sent_record(attempt.payload.id, attempt.number, time.time()))
        return True

    def record_not_executed(self, attempt: Attempt) -> None:
        """Log that an attempt was not executed."""
        if not attempt.request.is_answered:
            self.append_record(not_executed_record(attempt.payload.id, attempt.number))

    def record_answer(self, request: OpenRequest, answer: Answer) -> bool:
        """Log the final answer before it is sent to the client; return whether it may be sent.

        Args:
            request: The request.
            answer: Its answer.
        """
        if not self.holds_lease():
            return False
        is_safe = request.request_class.effect == Effect.SAFE
        record = done_record(request.payload.id, answer.kind.value)
        if isinstance(answer, Served) and not is_safe:
            record["body"] = text_of(answer.response.body)
        self.append_record(record, is_deferred=is_safe)
        return True

    def record_disconnect(self, request: OpenRequest) -> None:
        """Publish an unknown outcome if the client has disconnected and the request must not be executed twice."""
        request_id = request.payload.id
        if request.request_class.effect != Effect.SAFE and request.attempts_sent and self.holds_lease():
            self.ids.retain(request_id)
            self.publish(request_id, UNKNOWN_OUTCOME)

    # -- outcomes ----------------------------------------------------------------------------------------------

    def publish(self, request_id: bytes, outcome: Outcome) -> None:
        """Keep an outcome for a client that repeats the request with its id."""
        COUNTS["handoff.published"] += 1
        self.store.publish(request_id, outcome)
        self._log_forgotten(request_id)

    def forget(self, request_id: bytes) -> None:
        """Release the id of a request without keeping an outcome."""
        self._log_forgotten(request_id)
        self.store.release_id(request_id)

    def _log_forgotten(self, request_id: bytes) -> None:
        if text_of(request_id) in self.in_flight.requests:
            self.append_record(forgotten_record(request_id), is_deferred=True)

    def known_outcome(self, request_id: bytes) -> tuple[int, bytes, bytes] | None:
        """Return the status, body and header lines of the outcome kept for an id, or None."""
        outcome = self.store.outcome(request_id)
        if outcome is None or outcome.get("paid"):
            return None
        COUNTS["handoff.outcome_told"] += 1
        return outcome["status"], bytes_of(outcome["body"]), bytes_of(outcome["lines"])

    # -- several times a second --------------------------------------------------------------------------------

    def update(self) -> None:
        """Do the work that is due, or nothing if the lease was lost to another member."""
        now_s = time.time()
        if not self.holds_lease():
            return
        for request_id in self.ids.take_released(now_s - UPDATE_S):
            self.forget(request_id)
        self._log.flush()
        self.adopter.adopt_next(max(1, int(self._settings.pace_per_s * UPDATE_S)))
        self._sync_log(now_s)
        if self._log.grown_bytes > self._settings.snapshot_kb * BYTES_PER_KB:
            self._log.replace_with_snapshot(self.in_flight.snapshot())
        if now_s - self._renewed_at_s >= self._settings.lease_s / RENEWALS_PER_LEASE:
            self.renew_lease(now_s)
            self.take_over_expired(now_s)
            self.store.forget_outcomes(now_s - self._settings.keep_s)

    def _sync_log(self, now_s: float) -> None:
        """Sync the log to disk in a thread, every `sync_ms` milliseconds if that setting is not 0."""
        sync_ms = self._settings.sync_ms
        if sync_ms and now_s - self._synced_at_s >= sync_ms / MS_PER_S:
            self._synced_at_s = now_s
            self._reactor.callInThread(self._log.sync)

    def take_over_expired(self, now_s: float) -> None:
        """Take over the logs of the members whose lease has expired and whose successor is this member."""
        self._leases.replace_all(self.store.leases())
        for lease in self._leases.expired(now_s):
            if lease.name != self.name and self._leases.successor_of(lease.name, now_s) == self.name:
                self.adopter.take_over(log_name(lease.name, lease.epoch))
                self.store.drop_lease(lease)

    def close(self) -> None:
        """End the epoch at shutdown; with nothing in flight, remove the log and the lease: no takeover is needed."""
        for request_id in self.ids.take_all_released():
            self.forget(request_id)
        self._log.flush()
        is_idle = not self.in_flight.requests and self.adopter.is_idle
        if is_idle and self.store.claim_log(self.log_name, "left"):
            self.store.drop_log(self.log_name)
            self.store.drop_lease(self._lease())
