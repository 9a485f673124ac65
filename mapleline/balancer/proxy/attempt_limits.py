"""Limits on the attempts of one request, in number and in time."""

from __future__ import annotations

DEADLINE_MARGIN_S = 0.03
"""Time before the client's deadline at which the proxy responds at the latest, for the transmission to the client."""

MIN_ATTEMPT_S = 0.02
"""No attempt is made with less time left until the deadline."""

MIN_RETRY_S = 2 * MIN_ATTEMPT_S
"""No retry is made with less time left until the deadline."""

MAX_UNREACHABLE = 4
"""Unreachable servers do not count as attempts, up to this number for each request."""

MAX_OVERLOAD_RETRY_AFTER_S = 0.5
"""Upper bound of `Retry-After` in the response to a request that is rejected as the servers are overloaded."""

HEDGE_LATENCIES = 4.0
"""Expected latencies without a response after which a second server is asked; 2.5 cost more than it gained."""

HEDGE_FAILURE_WEIGHT = 0.2
"""Weight in a server's failure share of a request that was hedged, as it had no response for long."""
