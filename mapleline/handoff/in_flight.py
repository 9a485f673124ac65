"""The requests that one ingress has in flight, kept by its own events or replayed from its log (pure)."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum, StrEnum

from ..policy.interface import Effect, RequestClass, Scope
from .log_format import Record

KEY_LIFETIME_SHARE = 0.9  #: of the time for which servers drop repeats by key that is relied on
NANOSECONDS = 1e9


class Op(StrEnum):
    """What a record of the log says; the letters are its form on the disk."""

    ACCEPTED = "a"
    SENT = "s"  #: an attempt goes out
    NOT_EXECUTED = "n"  #: an attempt is known not to have been executed
    DONE = "d"  #: the request has its final answer
    FORGOTTEN = "f"  #: its client has been answered: nothing more can come of it
    TAKEOVER_BEGUN = "t"
    TAKEOVER_ENDED = "e"


class TakeoverAction(Enum):
    """What the successor of a lost ingress does with a request; the values name counters (`handoff.*`)."""

    SEND = "send"  #: it was never executed, or may be executed again
    UNKNOWN = "unknown"  #: it may have been executed, and must not be twice
    PUBLISH = "told"  #: it is done; its client may not have got the answer
    DROP = "drop"  #: it is done, and executing it again would do no harm


@dataclass(slots=True)
class InFlightRequest:
    """One request.

    Attributes:
        accepted: the record that began it.
        unresolved: numbers of the attempts that may have been executed.
        first_sent: when the first attempt went out, in Unix seconds; 0: none has.
        done: the record of its final answer.
    """

    accepted: Record
    unresolved: set[int] = field(default_factory=set)
    first_sent: float = 0.0
    done: Record | None = None

    def takeover_action(self, request_class: RequestClass, now: float) -> TakeoverAction:
        """Return what a successor does with it; `now` in Unix seconds."""
        is_safe = request_class.effect == Effect.SAFE
        if self.done is not None:
            return TakeoverAction.DROP if is_safe else TakeoverAction.PUBLISH
        has_body = self.accepted.get("whole", True)
        may_send = not self.unresolved or is_safe or self._is_deduplicated(request_class, now)
        return TakeoverAction.SEND if may_send and has_body else TakeoverAction.UNKNOWN

    def _is_deduplicated(self, request_class: RequestClass, now: float) -> bool:
        """Return whether all servers still drop a repeat of it by its key."""
        has_shared_key = request_class.effect == Effect.KEYED and request_class.scope == Scope.ALL
        key_lifetime_s = KEY_LIFETIME_SHARE * request_class.key_ttl_ns / NANOSECONDS
        return has_shared_key and now - self.first_sent < key_lifetime_s


class InFlightTable:
    """Requests by id, in the order of their acceptance, and the takeovers that this ingress has begun.

    Attributes:
        requests: the requests in flight.
        takeovers: "NAME.EPOCH" of the logs whose takeover has begun and not ended.
    """

    def __init__(self) -> None:
        """Start with nothing in flight."""
        self.requests: dict[str, InFlightRequest] = {}
        self.takeovers: dict[str, None] = {}

    def apply(self, record: Record) -> None:
        """Apply one record, in the order of the log; one of a request that is not in flight is skipped."""
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
                request.first_sent = request.first_sent or record["at"]
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
        """Return as short a log as says the same."""
        records: list[Record] = [{"op": Op.TAKEOVER_BEGUN.value, "log": log} for log in self.takeovers]
        for request in self.requests.values():
            state = {"out": sorted(request.unresolved), "first": request.first_sent}
            records.append({**request.accepted, **state})
            if request.done is not None:
                records.append(request.done)
        return records
