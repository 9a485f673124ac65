"""Takes over the logs of lost ingresses: reads them, and adopts their requests one by one (a driver).

A log is claimed in the store first, so that one ingress adopts it.  Adoption is paced by the caller (`adopt_next`).
Rules: docs/design/handoff.md.  Log events: `taking over`, `taken over`, `foreign log`.
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
    """The names of request classes and of plans, by number: records hold names, which all ingresses share."""

    classes: list[str]
    plans: list[str]


@dataclass(frozen=True, slots=True)
class Adoption:
    """A step of a takeover: a request of a log to adopt; None: the log's end."""

    log_name: str
    request: InFlightRequest | None


class TakeoverAnswerer:
    """Answers a request that was taken over: its client is gone, and the outcome is kept for whoever asks."""

    def __init__(self, handoff: Handoff, request_id: bytes) -> None:
        """Publish the outcome of one request."""
        self._handoff = handoff
        self._request_id = request_id

    def send_answer(self, response: Response) -> None:
        """Keep the answer."""
        self._handoff.publish(self._request_id, answer_outcome(response))

    def begin_answer(self, response: object, source: object) -> None:
        """Keep that the outcome is unknown: the request was executed, and its answer is too long to keep."""
        self._handoff.publish(self._request_id, UNKNOWN_OUTCOME)

    def send_part(self, data: bytes) -> None:
        """Drop a part of a long answer."""

    def end_answer(self, is_whole: bool) -> None:
        """Do nothing at the end of a long answer."""

    def reject(self, retry_after_ns: int, is_over_quota: bool) -> None:
        """Keep that it was refused: a client that comes again with the id makes a new attempt, charged already."""
        COUNTS["handoff.refused"] += 1
        self._handoff.publish(self._request_id, REFUSED_OUTCOME)

    def fail(self, is_overdue: bool) -> None:
        """Keep that the outcome is unknown."""
        self._handoff.publish(self._request_id, UNKNOWN_OUTCOME)

    def drop(self) -> None:
        """Do nothing: another ingress has taken it over in turn."""


class LogAdopter:
    """The takeovers of one ingress."""

    def __init__(self, handoff: Handoff, engine: Engine, names: RequestNames) -> None:
        """Start with nothing to adopt.

        Args:
            handoff: this ingress's log, store and outcomes.
            engine: sends what is to be sent.
            names: of the classes and plans that the engine knows.
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
        """Drop what was to be adopted: another ingress has taken it over."""
        self._queue.clear()

    def take_over(self, log_name: str) -> None:
        """Claim a log and queue what it holds; nothing if another ingress has claimed it."""
        # Recorded before the claim, so that whoever reads this ingress's log can finish the takeover.
        self._handoff.append_record(takeover_begun_record(log_name))
        if self._store.claim_log(log_name, self._handoff.log_name):
            self._queue_requests(log_name)
        else:
            self._handoff.append_record(takeover_ended_record(log_name))

    def _queue_requests(self, log_name: str) -> None:
        """Queue the requests of a log, then those of the logs that its owner had not finished to adopt."""
        try:
            table = InFlightTable().replay(self._store.read_log(log_name))
        except ValueError as error:  # foreign, or a name without an epoch
            self._give_up_foreign_log(log_name, error)
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
        for older in table.takeovers:
            self._continue_takeover(older, log_name)

    def _continue_takeover(self, older: str, owner: str) -> None:
        """Finish a takeover that the owner of a lost log had begun; it may not have come to claim it."""
        if self._store.claimed_by(older) != owner:
            self.take_over(older)
            return
        self._handoff.append_record(takeover_begun_record(older))
        self._store.inherit_claim(older, self._handoff.log_name)
        self._queue_requests(older)

    def _give_up_foreign_log(self, log_name: str, error: ValueError) -> None:
        """Publish unknown outcomes for a log that cannot be read: any of its requests may have been executed."""
        unknown = self._store.publish_for_all_ids(log_name, UNKNOWN_OUTCOME)
        COUNTS["handoff.unknown"] += unknown
        log("foreign log", log=log_name, fault=str(error), unknown=unknown)
        self._handoff.append_record(takeover_ended_record(log_name))

    def adopt_next(self, limit: int) -> None:
        """Take the next steps of the takeovers, at most `limit`."""
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
        """Make a request this ingress's own, then do what its record and its class allow."""
        record = request.accepted
        request_id = bytes_of(record["id"])
        if self._store.owner_of_id(request_id) not in (log_name, record.get("from", log_name)):
            return  # answered, or adopted by another
        state = {"out": sorted(request.unresolved), "first": request.first_sent, "from": log_name}
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
        """Return the class of a recorded request; None where this ingress does not know it, or its plan."""
        if record["cls"] not in self._names.classes or record["plan"] not in self._names.plans:
            return None
        return self._engine.classes[self._names.classes.index(record["cls"])]

    def _publish_done(self, request_id: bytes, request: InFlightRequest) -> None:
        """Publish the outcome of a request that had its final answer; nothing of one that was never executed."""
        done = request.done or {}
        if done.get("how") == "served":
            self._handoff.publish(request_id, logged_outcome(done))
        elif request.unresolved:
            self._handoff.publish(request_id, UNKNOWN_OUTCOME)
        else:
            self._handoff.forget(request_id)

    def _send(self, request_id: bytes, record: Record, request_class: RequestClass) -> None:
        """Give a request to the engine as if it had come here, with its units charged already."""
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
