"""An attempt: one transmission of a request to one server, and its result."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from .outcome import EndReason, Outcome, classify_loss, classify_response

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...http1 import Response, Upload
    from ...policy.placing import Target
    from .upstream_connection import UpstreamConnection


class ResponseSink(Protocol):
    """The receiver of a response that is streamed."""

    def send_part(self, data: bytes) -> None:
        """Receive the next part of the body, which may be empty."""


def read_whole(_attempt: Attempt, _response: Response, _connection: UpstreamConnection) -> ResponseSink | None:
    """Have every response read whole: the default of `Attempt.on_response_start`."""
    return None


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt; `on_end` is called exactly once, when it has ended."""

    request_id: bytes
    target: Target
    data: bytes  #: the head, and the part of the body that is buffered
    on_end: Callable[[Attempt], None]
    is_idempotent: bool = True
    on_response_start: Callable[[Attempt, Response, UpstreamConnection], ResponseSink | None] = read_whole
    """Called with the head of a long response; returns the receiver of its parts, or None to have it read whole."""
    upload: Upload | None = None  #: the rest of the request's body while it is being received
    had_free_slot: bool = True  #: the server probably had a free slot when the attempt was sent
    connection: UpstreamConnection | None = None
    is_written: bool = False  #: at least one byte may have been sent
    sent_at: float = 0.0  #: when it was sent; for a streamed body, when the last byte was sent
    response: Response | None = None
    outcome: Outcome = Outcome.NOT_EXECUTED
    end_reason: EndReason | None = None  #: None while it is in flight

    def end(self, reason: EndReason, response: Response | None = None) -> None:
        """End the attempt; only the first call has an effect."""
        if self.end_reason is not None:
            return
        self.end_reason = reason
        self.response = response
        if response is not None:
            self.outcome = classify_response(response)
        else:
            self.outcome = classify_loss(self.is_written)
        self.target.in_flight -= 1
        if self.upload is not None and self.connection is not None:
            self.upload.detach(self.connection)
        self.on_end(self)

    def cancel(self) -> None:
        """End the attempt and reset its connection: the response is no longer needed."""
        if self.end_reason is not None:
            return
        connection = self.connection
        self.end(EndReason.CANCELLED)
        if connection is not None:
            connection.abandon()
