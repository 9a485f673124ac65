"""Builds the records of the write-ahead log and the outcomes in the store, as JSON objects (pure).

`mapleline.handoff.in_flight` reads the records; their keys and letters are the format on disk.  Bytes are stored as
Latin-1 text, which has one character for each byte.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..handoff.in_flight import Op
from ..http1 import MAX_BUFFERED_BODY_BYTES

if TYPE_CHECKING:
    from ..handoff.log_format import Record
    from ..handoff.store import Outcome
    from ..http1 import Response
    from ..http1.translator import TranslatedRequest
    from ..policy.interface import Arrival

LATIN_1 = "latin-1"

#: The outcome of a request that may have been executed and must not be executed twice, or whose answer is too long to
#: keep.
UNKNOWN_OUTCOME: Outcome = {"status": 502, "lines": "X-Outcome: unknown\r\n", "body": ""}
#: The outcome of a refused request: its units have been charged, so a client's retry with the same id is not charged.
REFUSED_OUTCOME: Outcome = {"paid": True}


def text_of(data: bytes) -> str:
    """Return the text that represents bytes in a record."""
    return data.decode(LATIN_1)


def bytes_of(text: str) -> bytes:
    """Return the bytes that a record's text represents."""
    return text.encode(LATIN_1)


def accepted_record(
    translated: TranslatedRequest, arrival: Arrival, class_name: str, plan_name: str, accepted_at_s: float
) -> Record:
    """Return the record of an accepted request, with all that is needed to send it.

    The body is left out if it is streamed or longer than `MAX_BUFFERED_BODY_BYTES`.

    Args:
        translated: The request as received.
        arrival: The event that describes it to the decision module.
        class_name: The name of its class; the numbers of classes may differ between ingresses.
        plan_name: The name of its customer's plan.
        accepted_at_s: When it was accepted, in Unix seconds.
    """
    request = translated.request
    has_body = not request.is_streamed and len(request.body) <= MAX_BUFFERED_BODY_BYTES
    return {
        "op": Op.ACCEPTED.value,
        "id": text_of(translated.id),
        "at": accepted_at_s,
        "cls": class_name,
        "plan": plan_name,
        "customer": arrival.customer,
        "units": arrival.units,
        "spread": arrival.ingress_count,
        "first": 0.0,
        "start": arrival.first_ingress,
        "whole": has_body,
        "method": request.method.decode(),
        "target": text_of(request.target),
        "lines": text_of(translated.lines),
        "body": text_of(request.body) if has_body else "",
    }


def sent_record(request_id: bytes, attempt_number: int, sent_at_s: float) -> Record:
    """Return the record of an attempt that is about to be sent; `sent_at_s` is in Unix seconds."""
    return {"op": Op.SENT.value, "id": text_of(request_id), "n": attempt_number, "at": sent_at_s}


def not_executed_record(request_id: bytes, attempt_number: int) -> Record:
    """Return the record of an attempt that is known not to have been executed."""
    return {"op": Op.NOT_EXECUTED.value, "id": text_of(request_id), "n": attempt_number}


def done_record(request_id: bytes, answer_kind: str) -> Record:
    """Return the record of a final answer; `answer_kind` is a value of `AnswerKind`, such as "served"."""
    return {"op": Op.DONE.value, "id": text_of(request_id), "how": answer_kind}


def forgotten_record(request_id: bytes) -> Record:
    """Return the record of a request that needs no further handling."""
    return {"op": Op.FORGOTTEN.value, "id": text_of(request_id)}


def takeover_begun_record(log_name: str) -> Record:
    """Return the record of a takeover that begins."""
    return {"op": Op.TAKEOVER_BEGUN.value, "log": log_name}


def takeover_ended_record(log_name: str) -> Record:
    """Return the record of a takeover that has ended."""
    return {"op": Op.TAKEOVER_ENDED.value, "log": log_name}


def answer_outcome(answer: Response) -> Outcome:
    """Return the outcome of a request that a server has answered."""
    content_type = answer.headers.get(b"content-type", b"")
    lines = f"Content-Type: {text_of(content_type)}\r\n" if content_type else ""
    return {"status": 200, "lines": lines, "body": text_of(answer.body)}


def logged_outcome(done: Record) -> Outcome:
    """Return the outcome in the record of a final answer, which has the body but no headers."""
    return {"status": 200, "lines": "", "body": done.get("body", "")}
