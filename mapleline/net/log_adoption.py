"""Takes over the logs of failed ingresses: reads them, and adopts their requests one by one (a driver).

A log is claimed in the store first, so that only one ingress adopts it.  The caller of `adopt_next` sets the pace of
adoption.  The rules are in docs/design/handoff.md.  Log events: `taking over`, `taken over`, `foreign log`.
"""

from __future__ import annotations

import time
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..handoff.in_flight import InFlightRequest, InFlightTable, TakeoverAction
from ..http1 import Request
from ..http1.translator import TranslatedRequest
from ..policy.interface import Arrival
from ..telemetry import COUNTS, log
from .handoff_records import (
    REFUSED_OUTCOME,
    UNKNOWN_OUTCOME,
    answer_outcome,
    bytes_of,
    logged_outcome,
    takeover_begun_record,
    takeover_ended_record,
)

if TYPE_CHECKING:
    from ..engine import Engine
    from ..handoff.log_format import Record
    from ..http1 import Response
    from ..policy.interface import RequestClass
    from .handoff import Handoff


@dataclass(frozen=True, slots=True)
class RequestNames:
    """The names of request classes and plans, by number; records use names, since numbers differ between ingresses."""

    classes: list[str]
    plans: list[str]


@dataclass(frozen=True, slots=True)
class Adoption:
    """A step of a takeover: adopt a request of a log, or finish the log if `request` is None."""

    log_name: str
    request: InFlightRequest | None


class TakeoverAnswerer:
    """Answers a request that was taken over: its client is disconnected, so the outcome is kept in the store."""

    def __init__(self, handoff: Handoff, request_id: bytes) -> None:
        """Publish the outcome of one request."""
        self._handoff = handoff
        self._request_id = request_id

    def send_answer(self, response: Response) -> None:
        """Keep the answer."""
        self._handoff.publish(self._request_id, answer_outcome(response))

    def begin_answer(self, response: object, source: object) -> None:
        """Publish an unknown outcome: the request was executed, but its answer is too long to keep."""
        self._handoff.publish(self._request_id, UNKNOWN_OUTCOME)

    def send_part(self, data: bytes) -> None:
        """Drop a part of a streamed answer."""

    def end_answer(self, is_whole: bool) -> None:
        """Do nothing at the end of a streamed answer."""

    def reject(self, retry_after_ns: int, is_over_quota: bool) -> None:
        """Publish the refusal: a client may repeat the request with its id, and its units are not charged again."""
        COUNTS["handoff.refused"] += 1
        self._handoff.publish(self._request_id, REFUSED_OUTCOME)

    def fail(self, is_overdue: bool) -> None:
        """Publish an unknown outcome."""
        self._handoff.publish(self._request_id, UNKNOWN_OUTCOME)

    def drop(self) -> None:
        """Do nothing: another ingress has taken the request over from this one."""


class LogAdopter:
    """Carries out the takeovers of one ingress."""

    def __init__(self, handoff: Handoff, engine: Engine, names: RequestNames) -> None:
        """Start with nothing to adopt.

        Args:
            handoff: This ingress's log, store and outcomes.
            engine: Sends the adopted requests.
            names: The names of the classes and plans that the engine knows.
        """
        self._handoff = handoff
        self._store = handoff.store
        self._engine = engine
        self._names = names
        self._queue: deque[Adoption] = deque()

    @property
    def is_idle(self) -> bool:
        """Whether nothing is left to adopt."""
        return not self._queue

    def clear(self) -> None:
        """Drop the requests still to be adopted: another ingress has taken them over."""
        self._queue.clear()

    def take_over(self, log_name: str) -> None:
        """Claim a log and queue its requests, unless another ingress has claimed it."""
        # Recorded before the claim, so that a successor that reads this ingress's log can finish the takeover.
        self._handoff.append_record(takeover_begun_record(log_name))
        if self._store.claim_log(log_name, self._handoff.log_name):
            self._queue_requests(log_name)
        else:
            self._handoff.append_record(takeover_ended_record(log_name))

    def _queue_requests(self, log_name: str) -> None:
        """Queue the requests of a log, then those of the logs that its owner had not finished adopting."""
        try:
            table = InFlightTable().replay(self._store.read_log(log_name))
        except ValueError as error:  # not a log of ours, or a name without an epoch
            self._abandon_foreign_log(log_name, error)
            return
        log(
            "taking over",
            log=log_name,
            by=self._handoff.log_name,
            open=len(table.requests),
            ids=sorted(table.requests),
        )
        COUNTS["handoff.taken_logs"] += 1
        self._queue.extend(Adoption(log_name, request) for request in table.requests.values())
        self._queue.append(Adoption(log_name, None))
        for unfinished_log in table.takeovers:
            self._continue_takeover(unfinished_log, log_name)

    def _continue_takeover(self, log_name: str, failed_owner: str) -> None:
        """Finish a takeover that a failed owner had begun; it may have failed before it claimed the log."""
        if self._store.claimed_by(log_name) != failed_owner:
            self.take_over(log_name)
            return
        self._handoff.append_record(takeover_begun_record(log_name))
        self._store.inherit_claim(log_name, self._handoff.log_name)
        self._queue_requests(log_name)

    def _abandon_foreign_log(self, log_name: str, error: ValueError) -> None:
        """Publish unknown outcomes for a log that cannot be read: any of its requests may have been executed."""
        unknown = self._store.publish_for_all_ids(log_name, UNKNOWN_OUTCOME)
        COUNTS["handoff.unknown"] += unknown
        log("foreign log", log=log_name, fault=str(error), unknown=unknown)
        self._handoff.append_record(takeover_ended_record(log_name))

    def adopt_next(self, limit: int) -> None:
        """Do the next steps of the takeovers, at most `limit` of them."""
        for _ in range(limit):
            if not self._queue:
                break
            adoption = self._queue.popleft()
            if adoption.request is None:
                self._finish_log(adoption.log_name)
            else:
                self._adopt(adoption.log_name, adoption.request)

    def _finish_log(self, log_name: str) -> None:
        released = self._store.release_unrecorded_ids(log_name)
        self._store.drop_log(log_name)
        self._handoff.append_record(takeover_ended_record(log_name))
        log("taken over", log=log_name, by=self._handoff.log_name, orphans=released)

    def _adopt(self, log_name: str, request: InFlightRequest) -> None:
        """Make this ingress the owner of a request, then send, publish or drop it as its record and class allow."""
        record = request.accepted
        request_id = bytes_of(record["id"])
        if self._store.owner_of_id(request_id) not in (log_name, record.get("from", log_name)):
            return  # it was answered, or another ingress has adopted it
        state = {"out": sorted(request.unresolved), "first": request.first_sent_s, "from": log_name}
        self._handoff.append_record({**record, **state})
        self._store.move_id(request_id, self._handoff.log_name)
        request_class = self._class_of(record)
        action = TakeoverAction.UNKNOWN
        if request_class is not None:
            action = request.takeover_action(request_class, time.time())
        COUNTS[f"handoff.{action.value}"] += 1
        if action is TakeoverAction.SEND and request_class is not None:
            self._send(request_id, record, request_class)
        elif action is TakeoverAction.PUBLISH:
            self._publish_done(request_id, request)
        elif action is TakeoverAction.DROP:
            self._handoff.forget(request_id)
        else:
            self._handoff.publish(request_id, UNKNOWN_OUTCOME)

    def _class_of(self, record: Record) -> RequestClass | None:
        """Return the class of a recorded request; None if this ingress does not know its class or its plan."""
        if record["cls"] not in self._names.classes or record["plan"] not in self._names.plans:
            return None
        return self._engine.classes[self._names.classes.index(record["cls"])]

    def _publish_done(self, request_id: bytes, request: InFlightRequest) -> None:
        """Publish the outcome of a request that has its final answer; forget it if it was never executed."""
        done = request.done or {}
        if done.get("how") == "served":
            self._handoff.publish(request_id, logged_outcome(done))
        elif request.unresolved:
            self._handoff.publish(request_id, UNKNOWN_OUTCOME)
        else:
            self._handoff.forget(request_id)

    def _send(self, request_id: bytes, record: Record, request_class: RequestClass) -> None:
        """Pass a request to the engine like one received here, with its units marked as charged."""
        arrival = Arrival(
            request=0,
            class_id=self._names.classes.index(record["cls"]),
            plan=self._names.plans.index(record["plan"]),
            customer=record["customer"],
            ttl_ns=request_class.deadline_ns,
            units=record["units"],
            ingress_count=record["spread"],
            first_ingress=record["start"],
            is_counted=True,
        )
        request = Request(
            method=record["method"].encode(),
            target=bytes_of(record["target"]),
            headers={},
            body=bytes_of(record["body"]),
            keep_alive=True,
        )
        translated = TranslatedRequest(request_id, arrival, request, bytes_of(record["lines"]))
        self._engine.accept(arrival, translated, TakeoverAnswerer(self._handoff, request_id))
