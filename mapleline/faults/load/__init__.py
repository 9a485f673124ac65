"""The rig's load: open loop, seeded arrivals, one request at a time a connection (Twisted drivers).

Each request is a line `sent` in load.jsonl, then one of `answer` (with its status), `cut off` (its connection
ended first) or `unanswered` (open when the load ended); a retry of the client's is `again` and `sent again`.  This
is the rig's own log, not the ingress's: the checker needs a line a request.
"""

from .generator import LoadGenerator

__all__ = ["LoadGenerator"]
