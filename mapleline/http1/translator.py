"""Translates client requests of a real ingress into arrivals for the decision module (`policy`)."""

from __future__ import annotations

import re
from dataclasses import dataclass

from ..policy.interface import Arrival, Effect, Start
from .errors import RejectedRequestError
from .headers import TOKEN, Headers
from .messages import Request
from .upload import Upload

READY_PATH = b"/health/ready"
CUSTOMERS_END = 1 << 33  #: one more than the largest customer number
MAX_TIMEOUT_MS = 3_600_000
MAX_REQUEST_ID_BYTES = 128
NS_PER_MS = 1_000_000

REQUEST_ID = re.compile(TOKEN)
CUSTOMER = re.compile(rb"[0-9A-Fa-f]{16}")
INTEGER = re.compile(rb"[0-9]{1,9}")
WEIGHT = re.compile(rb"units=([0-9]{1,9}(?:\.[0-9]{1,9})?),spread=([0-9]{1,5}),first=([0-9]{1,5})")


@dataclass(slots=True)
class TranslatedRequest:
    """A valid request: its arrival for the decision module, and the data that is forwarded to a server."""

    id: bytes
    arrival: Arrival
    request: Request
    lines: bytes  #: the header lines that are forwarded
    upload: Upload | None = None  #: the rest of a streamed body


@dataclass(slots=True)
class Weight:
    """The X-Weight header: the quota units that a request uses, and the gateways that share the count."""

    units: float
    spread: int  #: number of gateways
    first: int  #: index of the first gateway


class Translator:
    """Validates requests against the settings; invalid ones never reach the decision module."""

    def __init__(self, start: Start, classes: list[str], plans: list[str]) -> None:
        """Map the names of classes and plans to their indices in `start`."""
        self._classes = {name.encode(): number for number, name in enumerate(classes)}
        self._plans = {name.encode(): number for number, name in enumerate(plans)}
        self._start = start

    def read(self, request: Request) -> TranslatedRequest:
        """Return the translated request.

        Raises:
            RejectedRequestError: 404 for an unknown class, 405 for the wrong method, 400 for anything else.
        """
        headers = request.headers
        class_name, _, rest = request.target.partition(b"?")[0][1:].partition(b"/")
        cls = self._class_of(class_name, request)
        customer = _read_customer(rest)
        plan = self._plans.get(headers.get(b"x-tariff", b""))
        if plan is None:
            raise RejectedRequestError(400, "unknown plan")
        request_id = _read_request_id(headers)
        idempotency_key = headers.get(b"idempotency-key", b"")
        if self._start.classes[cls].effect == Effect.KEYED and not idempotency_key:
            raise RejectedRequestError(400, "no Idempotency-Key")
        timeout_ms = _read_timeout_ms(headers)
        weight = self._read_weight(headers)
        arrival = Arrival(
            0,
            cls,
            plan,
            customer,
            min(timeout_ms * NS_PER_MS, self._start.classes[cls].deadline_ns),
            weight.units,
            weight.spread,
            weight.first,
            headers.get(b"x-retried") == b"1",
            request.is_streamed,
        )
        lines = b"X-Request-ID: %b\r\n" % request_id
        if idempotency_key:
            lines += b"Idempotency-Key: %b\r\n" % idempotency_key
        return TranslatedRequest(request_id, arrival, request, lines)

    def _class_of(self, name: bytes, request: Request) -> int:
        """Return the index of the class; check that the request has the method of the class."""
        cls = self._classes.get(name)
        if cls is None:
            raise RejectedRequestError(404, "unknown class")
        effect = self._start.classes[cls].effect
        if request.method != (b"GET" if effect == Effect.SAFE else b"POST"):
            raise RejectedRequestError(405, "wrong method")
        if request.body and request.method == b"GET":
            # A server may parse such a body as the next request (RFC 9110, section 9.3.1).
            raise RejectedRequestError(400, "a body on GET")
        return cls

    def _read_weight(self, headers: Headers) -> Weight:
        match = WEIGHT.fullmatch(headers.get(b"x-weight", b"").replace(b" ", b""))
        if not match:
            raise RejectedRequestError(400, "bad X-Weight")
        weight = Weight(float(match[1]), int(match[2]), int(match[3]))
        start = self._start
        if not 0 < weight.units <= start.max_units or not 0 < weight.spread <= start.ingresses > weight.first:
            raise RejectedRequestError(400, "bad X-Weight")
        return weight


def _read_customer(path: bytes) -> int:
    """Return the customer's number, which is the last segment of the path."""
    customer = path.rpartition(b"/")[2]
    if not CUSTOMER.fullmatch(customer) or int(customer, 16) >= CUSTOMERS_END:
        raise RejectedRequestError(400, "bad customer")
    return int(customer, 16)


def _read_request_id(headers: Headers) -> bytes:
    request_id = headers.get(b"x-request-id", b"")
    if len(request_id) > MAX_REQUEST_ID_BYTES or not REQUEST_ID.fullmatch(request_id):
        raise RejectedRequestError(400, "bad X-Request-ID")
    return request_id


def _read_timeout_ms(headers: Headers) -> int:
    timeout = headers.get(b"x-timeout-ms", b"")
    if not INTEGER.fullmatch(timeout) or not 0 < int(timeout) <= MAX_TIMEOUT_MS:
        raise RejectedRequestError(400, "bad X-Timeout-Ms")
    return int(timeout)
