"""The requests that one ingress has in flight, updated by its own records or replayed from its log (pure)."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum, StrEnum

from ..policy.interface import Effect, RequestClass, Scope
from .log_format import Record

KEY_LIFETIME_SHARE = 0.9  #: the share of `RequestClass.key_ttl_ns` in which servers are relied on to drop repeats
NS_PER_S = 1e9


class Op(StrEnum):
    """The types of records in the log; the letters are the format on disk."""

    ACCEPTED = "a"
    SENT = "s"  #: an attempt is about to be sent
    NOT_EXECUTED = "n"  #: an attempt is known not to have been executed
    DONE = "d"  #: the request has its final answer
    FORGOTTEN = "f"  #: its client has been answered or its outcome is kept: it needs no further handling
    TAKEOVER_BEGUN = "t"
    TAKEOVER_ENDED = "e"


class TakeoverAction(Enum):
    """The action of a failed ingress's successor on a request; the values name counters (`handoff.*`)."""

    SEND = "send"  #: it was never executed, or may be executed again
    UNKNOWN = "unknown"  #: it may have been executed, and must not be executed twice
    PUBLISH = "told"  #: it is done, but its client may not have received the answer
    DROP = "drop"  #: it is done, and a client may safely repeat it


@dataclass(slots=True)
class InFlightRequest:
    """The recorded state of one request.

    Attributes:
        accepted: The record of its acceptance.
        unresolved: The numbers of the attempts that may have been executed.
        first_sent_s: When the first attempt was sent, in Unix seconds; 0 if none was.
        done: The record of its final answer.
    """

    accepted: Record
    unresolved: set[int] = field(default_factory=set)
    first_sent_s: float = 0.0
    done: Record | None = None

    def takeover_action(self, request_class: RequestClass, now_s: float) -> TakeoverAction:
        """Return the action of a successor on the request; `now_s` is in Unix seconds."""
        is_safe = request_class.effect == Effect.SAFE
        if self.done is not None:
            return TakeoverAction.DROP if is_safe else TakeoverAction.PUBLISH
        has_body = self.accepted.get("whole", True)
        may_send = not self.unresolved or is_safe or self._is_deduplicated(request_class, now_s)
        return TakeoverAction.SEND if may_send and has_body else TakeoverAction.UNKNOWN

    def _is_deduplicated(self, request_class: RequestClass, now_s: float) -> bool:
        """Return whether all servers still drop a repeat of the request by its idempotency key."""
        has_shared_key = request_class.effect == Effect.KEYED and request_class.scope == Scope.ALL
        key_lifetime_s = KEY_LIFETIME_SHARE * request_class.key_ttl_ns / NS_PER_S
        return has_shared_key and now_s - self.first_sent_s < key_lifetime_s


class InFlightTable:
    """Requests by id, in the order of their acceptance, and the takeovers that this ingress has begun.

    Attributes:
        requests: The requests in flight.
        takeovers: The names ("NAME.EPOCH") of the logs whose takeover has begun and not ended.
    """

    def __init__(self) -> None:
        """Start with nothing in flight."""
        self.requests: dict[str, InFlightRequest] = {}
        self.takeovers: dict[str, None] = {}

    def apply(self, record: Record) -> None:
        """Apply the next record of the log; it is skipped if its request is not in flight."""
        match record["op"]:
            case Op.ACCEPTED:
                unresolved = set(record.get("out", ()))
                self.requests[record["id"]] = InFlightRequest(record, unresolved, record.get("first", 0.0))
            case Op.TAKEOVER_BEGUN:
                self.takeovers[record["log"]] = None
            case Op.TAKEOVER_ENDED:
                self.takeovers.pop(record["log"], None)
            case _:
                request = self.requests.get(record.get("id", ""))
                if request is not None:
                    self._update(request, record)

    def _update(self, request: InFlightRequest, record: Record) -> None:
        match record["op"]:
            case Op.SENT:
                request.unresolved.add(record["n"])
                request.first_sent_s = request.first_sent_s or record["at"]
            case Op.NOT_EXECUTED:
                request.unresolved.discard(record["n"])
            case Op.DONE:
                request.done = record
            case Op.FORGOTTEN:
                del self.requests[record["id"]]

    def replay(self, records: Iterable[Record]) -> InFlightTable:
        """Apply the records of a log, and return this table."""
        for record in records:
            self.apply(record)
        return self

    def snapshot(self) -> list[Record]:
        """Return the shortest list of records that gives the same state."""
        records: list[Record] = [{"op": Op.TAKEOVER_BEGUN.value, "log": log_name} for log_name in self.takeovers]
        for request in self.requests.values():
            state = {"out": sorted(request.unresolved), "first": request.first_sent_s}
            records.append({**request.accepted, **state})
            if request.done is not None:
                records.append(request.done)
        return records
