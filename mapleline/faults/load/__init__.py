"""The rig's open-loop load: seeded arrivals, and one request at a time per connection, on Twisted.

Each request has a line `sent` in load.jsonl, then one of `answer` (with its status), `cut off` (its connection ended
first) or `unanswered` (open when the load ended).  A client's retry is logged as `again` and `sent again`.  The rig
writes this log, not the ingress, because the checker needs lines for every request.
"""

from .generator import LoadGenerator

__all__ = ["LoadGenerator"]
