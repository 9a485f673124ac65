"""One attempt: one sending of one request to one server, and how it ended."""

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
    """Takes a response that is streamed."""

    def send_part(self, data: bytes) -> None:
        """Take the next part of the body; may be empty."""


def read_whole(_attempt: Attempt, _response: Response, _connection: UpstreamConnection) -> ResponseSink | None:
    """Stream no response: the default of `Attempt.on_response_start`."""
    return None


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt.  `on_end` is called once."""

    request_id: bytes
    target: Target
    data: bytes  #: the head and the part of the body that is held
    on_end: Callable[[Attempt], None]
    is_idempotent: bool = True
    on_response_start: Callable[[Attempt, Response, UpstreamConnection], ResponseSink | None] = read_whole
    """Called with the head of a long response; returns what takes its parts, None to have it read whole."""
    upload: Upload | None = None  #: the rest of the request's body, while it is still coming
    had_free_slot: bool = True  #: a slot of the server was likely free when it was sent
    connection: UpstreamConnection | None = None
    is_written: bool = False  #: a byte of it may have gone out
    sent_at: float = 0.0  #: with an upload, when its last byte went out
    response: Response | None = None
    outcome: Outcome = Outcome.NOT_EXECUTED
    end_reason: EndReason | None = None  #: None while it is in flight

    def end(self, reason: EndReason, response: Response | None = None) -> None:
        """End the attempt; of several calls the first counts."""
        if self.end_reason is not None:
            return
        self.end_reason = reason
        self.response = response
        if response is not None:
            self.outcome = classify_response(response)
        else:
            self.outcome = classify_loss(self.is_written)
        self.target.out -= 1
        if self.upload is not None and self.connection is not None:
            self.upload.detach(self.connection)
        self.on_end(self)

    def cancel(self) -> None:
        """End the attempt and its connection: nobody waits for the response any more."""
        if self.end_reason is not None:
            return
        connection = self.connection
        self.end(EndReason.CANCELLED)
        if connection is not None:
            connection.abandon()
