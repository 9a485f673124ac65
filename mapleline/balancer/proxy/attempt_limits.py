"""Times and numbers that bound the attempts of one request."""

from __future__ import annotations

DEADLINE_MARGIN_S = 0.03
"""Before the client's deadline, for the response's way to it."""

MIN_ATTEMPT_S = 0.02
"""With less left until the deadline no attempt is made."""

MIN_RETRY_S = 2 * MIN_ATTEMPT_S
"""With less left until the deadline no retry is made."""

MAX_UNREACHABLE = 4
"""Servers that could not be reached do not count as attempts, up to this number."""

MAX_OVERLOAD_RETRY_AFTER_S = 0.5

HEDGE_LATENCIES = 4.0
"""Expected latencies without a response after which a second server is asked (2.5 cost more than they gave)."""

HEDGE_FAILURE_WEIGHT = 0.2
"""Weight of a hedged attempt among the failures of its server."""
