"""A client's connection as a state machine, and what a request on it means to the decision module."""

from __future__ import annotations

import re
from dataclasses import dataclass

from ..policy.interface import Arrival, Effect, Start
from ..telemetry import invariant
from .buffers import BufferPool
from .messages import (
    LAST_CHUNK,
    MOST_BODY,
    MOST_HEAD,
    MOST_WHOLE,
    TOKEN,
    Malformed,
    MessageReader,
    Request,
    write_chunk,
    write_head,
    write_response,
)
from .upload import Upload

READY_PATH = b"/health/ready"
MOST_WAITING = MOST_HEAD + MOST_WHOLE + 4  # bytes taken in before reading stops: one message, whole
CUSTOMERS_END = 1 << 33
MOST_TIMEOUT_MS = 3_600_000

REQUEST_ID = re.compile(TOKEN)
CUSTOMER = re.compile(rb"[0-9A-Fa-f]{16}")
WHOLE = re.compile(rb"[0-9]{1,9}")
WEIGHT = re.compile(rb"units=([0-9]{1,9}(?:\.[0-9]{1,9})?),spread=([0-9]{1,5}),first=([0-9]{1,5})")


class ServerConnection:
    """One request at a time: what comes behind it waits until it is answered."""

    __slots__ = ("_by_close", "_chunks", "_old", "_reader", "busy", "closing")

    def __init__(
        self, pool: BufferPool, gather: int = 0, most_head: int = MOST_HEAD, most_body: int = MOST_BODY
    ) -> None:
        """With `gather`, larger bodies are passed on as they come: see `MessageReader`."""
        self._reader = MessageReader(pool, gather, most_head=most_head, most_body=most_body)
        self.busy = False  #: a request is in hand
        self.closing = False  #: nothing more is read, and the next answer is the last
        self._old = False  # the request in hand is HTTP/1.0
        self._by_close = False  # the answer in hand has no other end
        self._chunks = False  # the answer in hand goes in chunks

    def receive(self, data: bytes) -> None:
        if not self.closing or self._reader.passing:
            self._reader.feed(data)

    def clear(self) -> None:
        """Nothing more will come, and nothing that waits is read: its buffers go back."""
        self.closing = True
        self._reader.clear()

    @property
    def partial(self) -> bool:
        """A request has begun to come in and is not whole."""
        return not self.busy and self._reader.waiting > 0

    @property
    def passing(self) -> bool:
        """The body of the request in hand is still coming."""
        return self._reader.passing

    @property
    def body_size(self) -> int:
        """Bytes so far of a body that is coming."""
        return self._reader.body_size

    @property
    def expects(self) -> bool:
        """The client waits for a 100; said once."""
        expects, self._reader.expects = self._reader.expects, False
        return expects

    @property
    def full(self) -> bool:
        """What waits will not fit into one message: it is not to be read on before there is an answer."""
        return self._reader.waiting > MOST_WAITING

    def next_request(self) -> Request | None:
        if self.busy or self.closing:
            return None
        self._old = False  # of what cannot be read
        try:
            request = self._reader.next_request()
        except Malformed:
            self.busy = True
            self.clear()
            raise
        if request is not None:
            self.busy = True
            self._old = request.minor == b"0"
            if not request.keep_alive:
                if request.more:
                    self.closing = True
                else:
                    self.clear()
        return request

    def next_part(self) -> bytes:
        """More of the body of the request in hand.  Raises Malformed, after which nothing is read."""
        try:
            return self._reader.next_part()
        except Malformed:
            self.clear()
            raise

    def answer(self, status: int, body: bytes = b"", lines: bytes = b"") -> bytes:
        """The bytes of the one answer to the request in hand."""
        invariant(self.busy, "answer.without_request")
        self.busy = False
        if self._reader.passing:
            self.clear()  # nobody wants the rest, and the next request could only lie behind it
        if self._old and not self.closing:
            lines += b"Connection: keep-alive\r\n"
        return write_response(status, body, lines, self.closing)

    def begin(self, status: int, lines: bytes, length: int | None) -> bytes:
        """The head of an answer that follows in parts."""
        invariant(self.busy, "answer.without_request")
        if self._reader.passing:
            self.clear()
        self._chunks = length is None and not self._old
        self._by_close = length is None and self._old
        if self._by_close:
            self.closing = True
        elif self._old and not self.closing:
            lines += b"Connection: keep-alive\r\n"
        return write_head(status, lines, length, self._chunks, self.closing)

    @property
    def ends_by_close(self) -> bool:
        """Of the answer in hand: an orderly end of the connection says that it is whole."""
        return self._by_close

    def part(self, data: bytes) -> bytes:
        return write_chunk(data) if self._chunks else data

    def end(self) -> bytes:
        """What ends the answer: the connection may be used again."""
        self.busy = False
        return LAST_CHUNK if self._chunks else b""


@dataclass(slots=True)
class Wish:
    """A well-formed request of a known class and plan: the module's facts and what goes upstream."""

    id: bytes
    arrival: Arrival
    request: Request
    lines: bytes  #: the header lines that pass through
    upload: Upload | None = None  #: the rest of a body that is still coming


class Translator:
    """Reads requests by the settings; anything that does not fit them never reaches the module."""

    def __init__(self, start: Start, classes: list[str], plans: list[str]) -> None:
        self._classes = {name.encode(): n for n, name in enumerate(classes)}
        self._plans = {name.encode(): n for n, name in enumerate(plans)}
        self._start = start

    def read(self, request: Request) -> Wish:
        headers = request.headers
        first, _, rest = request.target.partition(b"?")[0][1:].partition(b"/")
        cls = self._classes.get(first)
        if cls is None:
            raise Malformed(404, "unknown class")
        effect = self._start.classes[cls].effect
        if request.method != (b"GET" if effect == Effect.SAFE else b"POST"):
            raise Malformed(405, "wrong method")
        if request.body and request.method == b"GET":
            raise Malformed(400, "a body on GET")  # servers may take it for the next request
        customer = rest.rpartition(b"/")[2]
        if not CUSTOMER.fullmatch(customer) or int(customer, 16) >= CUSTOMERS_END:
            raise Malformed(400, "bad customer")
        plan = self._plans.get(headers.get(b"x-tariff", b""))
        if plan is None:
            raise Malformed(400, "unknown plan")
        request_id = headers.get(b"x-request-id", b"")
        if len(request_id) > 128 or not REQUEST_ID.fullmatch(request_id):
            raise Malformed(400, "bad X-Request-ID")
        key = headers.get(b"idempotency-key", b"")
        if effect == Effect.KEYED and not key:
            raise Malformed(400, "no Idempotency-Key")
        timeout = headers.get(b"x-timeout-ms", b"")
        if not WHOLE.fullmatch(timeout) or not 0 < int(timeout) <= MOST_TIMEOUT_MS:
            raise Malformed(400, "bad X-Timeout-Ms")
        weight = WEIGHT.fullmatch(headers.get(b"x-weight", b"").replace(b" ", b""))
        if not weight:
            raise Malformed(400, "bad X-Weight")
        units, spread, at = float(weight[1]), int(weight[2]), int(weight[3])
        start = self._start
        if not 0 < units <= start.largest_units or not 0 < spread <= start.gateways > at:
            raise Malformed(400, "bad X-Weight")
        ttl = min(int(timeout) * 1_000_000, start.classes[cls].deadline_ns)
        arrival = Arrival(
            0,
            cls,
            plan,
            int(customer, 16),
            ttl,
            units,
            spread,
            at,
            headers.get(b"x-retried") == b"1",
            request.more,
        )
        lines = b"X-Request-ID: %b\r\n" % request_id
        if key:
            lines += b"Idempotency-Key: %b\r\n" % key
        return Wish(request_id, arrival, request, lines)
