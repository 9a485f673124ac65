"""Counts of requests by result; operators read them in `GET /status` under the key `counts`."""

from __future__ import annotations

NOT_READY = "unknowing"  #: rejected: no configuration, or no read lease
QUOTA_UNKNOWN = "tally.silent"  #: rejected: no quota counter answered
OVER_QUOTA = "over"  #: rejected: the tenant's quota is used up
OVERLOADED = "full"  #: rejected: every server is too busy for the route's latency target
NO_SERVER = "no_server"  #: no server was eligible for an attempt
NO_RETRY_BUDGET = "no_budget"  #: a retry was denied by the retry budget alone
HEDGED = "hedged"  #: a second server got the request as well
SERVED = "served"  #: a server's response below 300 was forwarded
FORWARDED = "passed"  #: a server's response from 300 up was forwarded
OWN_STATUS = "own.%d"  #: the proxy's own final response, by status

FIRST_UNSUCCESSFUL_STATUS = 300


class RequestCounters:
    """Counts by name, since the start of the process."""

    __slots__ = ("counts",)

    def __init__(self) -> None:
        """Start with no counts: a name appears with its first event."""
        self.counts: dict[str, int] = {}

    def increment(self, name: str) -> None:
        """Count one event."""
        self.counts[name] = self.counts.get(name, 0) + 1

    def increment_forwarded(self, status: int) -> None:
        """Count a server's response that was forwarded to the client."""
        self.increment(SERVED if status < FIRST_UNSUCCESSFUL_STATUS else FORWARDED)

    def increment_own(self, status: int) -> None:
        """Count a final response that the proxy generated itself."""
        self.increment(OWN_STATUS % status)
