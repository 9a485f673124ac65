"""The records of the write-ahead log and the outcomes in the store, in their JSON forms (pure).

`mapleline.handoff.in_flight` reads the records; their keys and letters are the form on the disk.  Bytes are kept as
Latin-1 text, which has a character for each byte.
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

#: The request may have been executed, and must not be twice; or its answer is too long to keep.
UNKNOWN_OUTCOME: Outcome = {"status": 502, "lines": "X-Outcome: unknown\r\n", "body": ""}
#: The request was refused; a client that comes again with its id has its units charged already.
REFUSED_OUTCOME: Outcome = {"paid": True}


def text_of(data: bytes) -> str:
    """Return bytes as the text that stands for them in a record."""
    return data.decode(LATIN_1)


def bytes_of(text: str) -> bytes:
    """Return the bytes that a record's text stands for."""
    return text.encode(LATIN_1)


def accepted_record(
    translated: TranslatedRequest, arrival: Arrival, class_name: str, plan_name: str, at: float
) -> Record:
    """Return all that is needed to send a request; without its body, where that is long or still coming.

    Args:
        translated: the request as it came.
        arrival: the same for the decision module.
        class_name: of its class; numbers may differ between ingresses.
        plan_name: of its customer's plan.
        at: when it was accepted, in Unix seconds.
    """
    request = translated.request
    has_body = not request.is_streamed and len(request.body) <= MAX_BUFFERED_BODY_BYTES
    return {
        "op": Op.ACCEPTED.value,
        "id": text_of(translated.id),
        "at": at,
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


def sent_record(request_id: bytes, attempt_number: int, at: float) -> Record:
    """Return the record of an attempt that goes out, at a time in Unix seconds."""
    return {"op": Op.SENT.value, "id": text_of(request_id), "n": attempt_number, "at": at}


def not_executed_record(request_id: bytes, attempt_number: int) -> Record:
    """Return the record of an attempt that is known not to have been executed."""
    return {"op": Op.NOT_EXECUTED.value, "id": text_of(request_id), "n": attempt_number}


def done_record(request_id: bytes, how: str) -> Record:
    """Return the record of a final answer; `how` is the answerer's method, such as "served"."""
    return {"op": Op.DONE.value, "id": text_of(request_id), "how": how}


def forgotten_record(request_id: bytes) -> Record:
    """Return the record of a request of which nothing more can come."""
    return {"op": Op.FORGOTTEN.value, "id": text_of(request_id)}


def takeover_begun_record(log: str) -> Record:
    """Return the record of a takeover that begins."""
    return {"op": Op.TAKEOVER_BEGUN.value, "log": log}


def takeover_ended_record(log: str) -> Record:
    """Return the record of a takeover that is over."""
    return {"op": Op.TAKEOVER_ENDED.value, "log": log}


def answer_outcome(answer: Response) -> Outcome:
    """Return the outcome of a request that a server has answered."""
    content_type = answer.headers.get(b"content-type", b"")
    lines = f"Content-Type: {text_of(content_type)}\r\n" if content_type else ""
    return {"status": 200, "lines": lines, "body": text_of(answer.body)}


def logged_outcome(done: Record) -> Outcome:
    """Return the outcome that the record of a final answer holds: the body alone is logged."""
    return {"status": 200, "lines": "", "body": done.get("body", "")}
