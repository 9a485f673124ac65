"""What a client sends: a request of one of three classes."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class RequestClass(StrEnum):
    """The classes of the load's requests, by their effect."""

    LOOK = "look"  # idempotent
    PAY = "pay"  # may be retried with its idempotency key
    BOOK = "book"  # must not run twice


@dataclass(frozen=True, slots=True)
class LoadRequest:
    """One request of the load.

    Attributes:
        id: Its `X-Request-ID`.
        data: Its bytes.
        retry_until: Until when its client retries, by the reactor's clock; 0 if it does not.
    """

    id: str
    data: bytes
    retry_until: float


def encode_request(request_id: str, request_class: RequestClass, customer: int, timeout_ms: int, spread: int) -> bytes:
    """Return the bytes of a request.

    Args:
        request_id: Its `X-Request-ID`, and its idempotency key if its class has one.
        request_class: Its class, with which its path begins.
        customer: The number of the customer that sends it.
        timeout_ms: Its `X-Timeout-Ms`.
        spread: The number of ingresses, which `X-Weight` names.
    """
    method, content_headers, body = "POST", "Content-Length: 2\r\n", "{}"
    if request_class == RequestClass.LOOK:
        method, content_headers, body = "GET", "", ""
    elif request_class == RequestClass.PAY:
        content_headers += f"Idempotency-Key: {request_id}\r\n"
    return (
        f"{method} /{request_class}/{customer:016x} HTTP/1.1\r\n"
        "Host: fleet\r\n"
        f"X-Request-ID: {request_id}\r\n"
        "X-Tariff: wide\r\n"
        f"{content_headers}"
        f"X-Timeout-Ms: {timeout_ms}\r\n"
        f"X-Weight: units=1,spread={spread},first=0\r\n"
        "\r\n"
        f"{body}"
    ).encode()
