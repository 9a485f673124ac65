"""Errors of messages; each carries the status code of the response that it leads to."""

from __future__ import annotations


class ProtocolError(Exception):
    """Raised for a message that is rejected.

    Misuse of a connection by this program is not a protocol error: it violates an invariant (`telemetry.invariant`).

    Attributes:
        status: the status code of the response (RFC 9110, section 15).
        reason: a short description, which is sent to the client.
    """

    def __init__(self, status: int, reason: str) -> None:
        """Create an error with the status and the reason of the response."""
        super().__init__(reason)
        self.status = status
        self.reason = reason


class RemoteProtocolError(ProtocolError):
    """Raised when the peer sends malformed HTTP/1.1 or exceeds a limit."""


class RejectedRequestError(ProtocolError):
    """Raised for well-formed requests that this service does not support."""
