"""One request in flight: what was decided at its admission, and its attempts so far."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .outcome import IDEMPOTENT, Outcome

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...http1 import Request, Upload
    from ...policy.window import Tenancy
    from ..clock import DelayedCall
    from ..configuration import Route
    from .client_connection import ClientConnection
    from .upstream_attempt import Attempt

MIN_RETRY_AFTER_S = 0.05


@dataclass(frozen=True, slots=True)
class Rejection:
    """A response of the proxy's own to a request that no server gets."""

    status: int
    body: bytes
    retry_after_s: float | None = None

    def send(self, client_conn: ClientConnection) -> None:
        """Answer the connection's request with it."""
        client_conn.reply(self.status, self.body, self.header_lines())

    def header_lines(self) -> bytes:
        """Return `Retry-After` in seconds with two decimals (finer than RFC 9110 section 10.2.3), if there is one."""
        if self.retry_after_s is None:
            return b""
        return b"Retry-After: %.2f\r\n" % max(MIN_RETRY_AFTER_S, self.retry_after_s)


@dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """What the configuration and the request's header say of a request that may be served."""

    request_id: bytes
    route: Route
    service: str
    tenant_id: str | None
    timeout_s: float
    is_client_retry: bool  #: by its deadline, an earlier attempt of the client used a part of it

    @property
    def statistics_key(self) -> tuple[str, str]:
        """What latencies and sizes are known by: the service and the route's prefix."""
        return self.service, self.route.path_prefix


@dataclass(slots=True)
class QuotaUse:
    """What a request has used of its tenant's quota so far."""

    tenancy: Tenancy
    home_regions: list[str]
    units: int = 1  #: counted for it
    attempts: int = 0  #: sent, and not known to have gone unexecuted


@dataclass(slots=True, eq=False)
class RequestContext:
    """One request in flight.  `on_finished` is called once, when it has its response or nobody waits for it."""

    client_conn: ClientConnection
    request: Request
    admitted: AdmittedRequest
    deadline: float  #: when the response has to be out, on the node's clock
    on_finished: Callable[[RequestContext], None]
    upload: Upload | None = None  #: the rest of the body, while it is still coming
    attempts: list[Attempt] = field(default_factory=list)  #: those in flight
    quota: QuotaUse | None = None  #: None where the tenant has none, or the request is not admitted by it
    attempt_count: int = 0  #: of the attempts that reached a server
    unreachable_count: int = 0
    attempted_ids: list[str] = field(default_factory=list)  #: of the servers that were chosen so far
    worst_outcome: Outcome = Outcome.NOT_EXECUTED
    is_finished: bool = False
    is_body_discarded: bool = False  #: a part of the body has gone out and is not held for another server
    streaming_attempt: Attempt | None = None  #: the one whose response is on its way to the client in parts
    deadline_timer: DelayedCall | None = None
    hedge_timer: DelayedCall | None = None

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may be executed more than once."""
        return self.admitted.route.route_kind == IDEMPOTENT

    @property
    def body_bytes(self) -> int:
        """The length of the request's body, as far as it is known."""
        return self.request.length or len(self.request.body)

    def on_client_disconnected(self) -> None:
        """Give the request up: nobody waits for its response."""
        self.finish()
        self.cancel_attempts()

    def on_body_discarded(self) -> None:
        """Note that a part of the body is gone, so that no other server can get the request."""
        self.is_body_discarded = True

    def cancel_attempts(self) -> None:
        """End the attempts that are still in flight."""
        for attempt in list(self.attempts):
            attempt.cancel()

    def reply(self, status: int, body: bytes = b"", header_lines: bytes = b"") -> None:
        """Answer the client, unless the request is finished."""
        if not self.is_finished:
            self.finish()
            self.client_conn.reply(status, body, header_lines)

    def reject(self, rejection: Rejection) -> None:
        """Answer the client without a server's response."""
        self.reply(rejection.status, rejection.body, rejection.header_lines())

    def finish(self) -> None:
        """End the request: its response is out, or nobody waits for it."""
        if self.is_finished:
            return
        self.is_finished = True
        for timer in (self.deadline_timer, self.hedge_timer):
            if timer is not None and timer.active():
                timer.cancel()
        self.on_finished(self)
