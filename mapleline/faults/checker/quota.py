"""Rule `quota`: replays the load against one token bucket per customer."""

from __future__ import annotations

from dataclasses import dataclass

from .history import History, Logs
from .violation import Violation

SERVED_STATUS = 200
OVER_QUOTA_STATUS = 429


@dataclass(slots=True)
class QuotaOutcome:
    """Counts of requests by their outcome under the customers' quotas.

    Attributes:
        requests: Requests sent.
        served: Requests that were served.
        over_quota: Requests that were served though the customer's bucket was empty.
        refused_with_room: Requests refused by quota though at least half of the bucket was unused.
    """

    requests: int = 0
    served: int = 0
    over_quota: int = 0
    refused_with_room: int = 0

    @property
    def overrun_share(self) -> float:
        """The share of the served requests that was over quota."""
        return self.over_quota / max(1, self.served)

    @property
    def refused_share(self) -> float:
        """The share of all requests that was refused with room."""
        return self.refused_with_room / max(1, self.requests)

    def __str__(self) -> str:
        """The counts as the description of a violation gives them."""
        return (
            f"Quotas(tries={self.requests}, served={self.served}, "
            f"beyond={self.over_quota}, refused_with_room={self.refused_with_room})"
        )


@dataclass(slots=True)
class TokenBucket:
    """One customer's quota: filled at a rate up to a burst, in requests.

    Attributes:
        rate: Tokens per second.
        burst: Capacity in tokens.
        level: Tokens left at `updated_at`.
        updated_at: Time of the last refill, in Unix seconds.
    """

    rate: float
    burst: float
    level: float
    updated_at: float

    def refill(self, at: float) -> None:
        """Add the tokens that accrued since the last update; `at` is in Unix seconds."""
        self.level = min(self.burst, self.level + self.rate * (at - self.updated_at))
        self.updated_at = at

    def try_take(self) -> bool:
        """Take a token if one is left; return whether there was one."""
        if self.level < 1:
            return False
        self.level -= 1
        return True

    def has_room(self) -> bool:
        """Return whether at least half of the burst, and at least one token, is left."""
        return self.level >= max(1.0, self.burst / 2)


def check_quota(history: History) -> list[Violation]:
    """`quota`: the shares served over quota and refused with room are within the schedule's bounds.

    At most `overrun_most` of the served requests are over quota.  At most `refused_most` of all requests are
    refused with a 429 while at least half of the customer's bucket is unused.  Both bounds come from the
    schedule's `fleet` block; a bound of 0 is not checked.
    """
    settings = history.fleet_settings()
    overrun_bound = settings.get("overrun_most", 0)
    refused_bound = settings.get("refused_most", 0)
    if not overrun_bound and not refused_bound:
        return []
    outcome = _replay(history, 0.0, float("inf"))
    found = []
    if 0 < overrun_bound < outcome.overrun_share:
        description = f"served beyond quotas: {outcome.overrun_share:.3f} of a bound of {overrun_bound:g} ({outcome})"
        found.append(Violation("quota", settings["at"], "fleet", description))
    if 0 < refused_bound < outcome.refused_share:
        description = f"refused with room: {outcome.refused_share:.3f} of a bound of {refused_bound:g} ({outcome})"
        found.append(Violation("quota", settings["at"], "fleet", description))
    return found


def measure_quotas(logs: Logs, since: float = 0.0, until: float = float("inf")) -> QuotaOutcome:
    """Replay the whole load; count the requests sent from `since` until before `until`, both in Unix seconds."""
    return _replay(History.from_logs(logs), since, until)


def _replay(history: History, since: float, until: float) -> QuotaOutcome:
    """Replay the load; a served request takes a token at its time of sending, or is over quota if none is left."""
    settings = history.fleet_settings()
    rate, burst = settings.get("quota_rate", 1.0), settings.get("quota_burst", 1.0)
    statuses = {event["id"]: event.get("status") for event in history.of_kind("load", "answer")}
    buckets: dict[int, TokenBucket] = {}
    counted = QuotaOutcome()
    ignored = QuotaOutcome()
    for event in history.of_kind("load", "sent"):
        at, customer = event["at"], event["customer"]
        bucket = buckets.setdefault(customer, TokenBucket(rate, burst, burst, at))
        bucket.refill(at)
        outcome = counted if since <= at < until else ignored
        _count_request(outcome, bucket, statuses.get(event["id"]))
    return counted


def _count_request(outcome: QuotaOutcome, bucket: TokenBucket, status: int | None) -> None:
    outcome.requests += 1
    if status == SERVED_STATUS:
        outcome.served += 1
        if not bucket.try_take():
            outcome.over_quota += 1
    elif status == OVER_QUOTA_STATUS and bucket.has_room():
        outcome.refused_with_room += 1
