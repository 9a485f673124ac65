"""What can be wrong with a message: one base, with the status of the response that the error leads to."""

from __future__ import annotations


class ProtocolError(Exception):
    """A message that is rejected.

    Misuse of a connection by this program is not among them: it breaks an invariant (`telemetry.invariant`).

    Attributes:
        status: the status code (RFC 9110, section 15) that a client is answered.
        reason: why, in a few words; a client reads them.
    """

    def __init__(self, status: int, reason: str) -> None:
        """Keep both for the response."""
        super().__init__(reason)
        self.status = status
        self.reason = reason


class RemoteProtocolError(ProtocolError):
    """The peer sent bytes that are no HTTP/1.1, or more of them than the limits allow."""


class RejectedRequestError(ProtocolError):
    """Correct HTTP/1.1 that asks for what this service does not do."""
