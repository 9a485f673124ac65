"""Requests of the load, in three classes."""

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
        id: Value of its `X-Request-ID` header.
        data: Encoded request.
        retry_until: End of the client's retries, in seconds of the reactor's clock; 0 for no retries.
    """

    id: str
    data: bytes
    retry_until: float


def encode_request(request_id: str, request_class: RequestClass, customer: int, timeout_ms: int, spread: int) -> bytes:
    """Return an encoded request.

    Args:
        request_id: Value of `X-Request-ID`, and of the idempotency key if its class has one.
        request_class: Class of the request, which is the first part of its path.
        customer: Number of the customer.
        timeout_ms: Value of `X-Timeout-Ms`, in milliseconds.
        spread: Number of ingresses, for `X-Weight`.
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
