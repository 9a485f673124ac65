"""The state of one request in flight: its admission, its quota use and its attempts."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .outcome import IDEMPOTENT, Outcome

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...http1 import Request, Upload
    from ...policy.window import TenantLimit
    from ..clock import DelayedCall
    from ..configuration import Route
    from .client_connection import ClientConnection
    from .upstream_attempt import Attempt

MIN_RETRY_AFTER_S = 0.05
"""Lower bound of the `Retry-After` that is sent."""


@dataclass(frozen=True, slots=True)
class Rejection:
    """The proxy's own response to a request that is not forwarded to a server."""

    status: int
    body: bytes
    retry_after_s: float | None = None

    def send(self, client_conn: ClientConnection) -> None:
        """Send this response to the client."""
        client_conn.reply(self.status, self.body, self.header_lines())

    def header_lines(self) -> bytes:
        """Return the `Retry-After` header line, or nothing if no time is set.

        It is in seconds with two decimals, which is finer than RFC 9110 section 10.2.3 has it.
        """
        if self.retry_after_s is None:
            return b""
        return b"Retry-After: %.2f\r\n" % max(MIN_RETRY_AFTER_S, self.retry_after_s)


@dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """Properties of an admitted request, by the configuration and its headers."""

    request_id: bytes
    route: Route
    service: str
    tenant_id: str | None
    timeout_s: float
    is_client_retry: bool  #: its deadline is shorter than usual: the client made an earlier attempt

    @property
    def statistics_key(self) -> tuple[str, str]:
        """The key of the statistics of latencies and sizes: the service and the route's path prefix."""
        return self.service, self.route.path_prefix


@dataclass(slots=True)
class QuotaUse:
    """The share of its tenant's quota that a request has used so far."""

    tenant_limit: TenantLimit
    home_regions: list[str]
    units: int = 1  #: units counted for the request
    attempts: int = 0  #: attempts sent, without those known not to have been executed


@dataclass(slots=True, eq=False)
class RequestContext:
    """One request in flight.

    `on_finished` is called once, when the final response has been sent or the client has disconnected.
    """

    client_conn: ClientConnection
    request: Request
    admitted: AdmittedRequest
    deadline: float  #: when the response must have been sent, in seconds on the node's clock
    on_finished: Callable[[RequestContext], None]
    upload: Upload | None = None  #: the rest of the body while it is being received
    attempts: list[Attempt] = field(default_factory=list)  #: those in flight
    quota: QuotaUse | None = None  #: None if the tenant has no quota, or while the request is not yet admitted by it
    attempt_count: int = 0  #: attempts made, without those whose server was unreachable
    unreachable_count: int = 0  #: attempts whose server was unreachable
    attempted_ids: list[str] = field(default_factory=list)  #: ids of the servers chosen so far
    worst_outcome: Outcome = Outcome.NOT_EXECUTED
    is_finished: bool = False
    is_body_discarded: bool = False  #: a part of the body was sent and is no longer buffered for another server
    streaming_attempt: Attempt | None = None  #: the attempt whose response is being streamed to the client
    deadline_timer: DelayedCall | None = None
    hedge_timer: DelayedCall | None = None

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may be executed more than once."""
        return self.admitted.route.route_kind == IDEMPOTENT

    @property
    def body_bytes(self) -> int:
        """The length of the request's body, or of the part received so far if the length is unknown."""
        return self.request.length or len(self.request.body)

    def on_client_disconnected(self) -> None:
        """Abort the request: its response is no longer needed."""
        self.finish()
        self.cancel_attempts()

    def on_body_discarded(self) -> None:
        """Record that a part of the body is no longer buffered: no other server can get the request."""
        self.is_body_discarded = True

    def cancel_attempts(self) -> None:
        """Cancel the attempts that are still in flight."""
        for attempt in list(self.attempts):
            attempt.cancel()

    def reply(self, status: int, body: bytes = b"", header_lines: bytes = b"") -> None:
        """Finish the request and send the response to the client, unless it is finished already."""
        if not self.is_finished:
            self.finish()
            self.client_conn.reply(status, body, header_lines)

    def reject(self, rejection: Rejection) -> None:
        """Send a rejection to the client, unless the request is finished already."""
        self.reply(rejection.status, rejection.body, rejection.header_lines())

    def finish(self) -> None:
        """End the request: its response has been sent, or is no longer needed."""
        if self.is_finished:
            return
        self.is_finished = True
        for timer in (self.deadline_timer, self.hedge_timer):
            if timer is not None and timer.active():
                timer.cancel()
        self.on_finished(self)
