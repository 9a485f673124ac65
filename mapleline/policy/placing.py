"""Server choice for the balancer's data plane: the least expected latency by known load, health and distance.

Costs and waits are in expected latencies: multiples of the latency that the request's route usually has at a server
with a free slot.  Times are in seconds on the node's own clock.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from .estimate import expected

#: Expected latencies added to the cost of a server in another zone of the region, or in another region.
OTHER_ZONE_COST, OTHER_REGION_COST = 0.1, 0.3

#: The same for each kilobyte of request and response: traffic between regions is expensive.
OTHER_ZONE_COST_PER_KB, OTHER_REGION_COST_PER_KB = 0.008, 0.06

REPORTED_LOAD_DECAY_S = 0.6  # the weight of a load reported by a server falls to a third in this time
TAIL_LATENCIES = 2.0  # expected latencies within which most responses arrive
RESERVED_REGION_COST = 0.5  # expected latencies that the last slot in a reserved region costs
AVOIDANCE_COST = 6.0  # expected latencies added for a server that was already tried, or is in backoff
LATENCY_RATIO_GAIN = 0.15  # weight of the newest response in a server's latency ratio
FAILURE_GAIN, FAILURE_HALF_LIFE_S = 0.25, 3.0  # weight of the newest result in the failure share, and its half-life
TOLERATED_FAILURE_SHARE = 0.27  # not penalised: about the share that one chance failure leaves
FAILURE_COST = 6.0  # expected latencies added for a failure share of 1
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.5, 4.0  # backoff from an unreachable server, doubled with each consecutive failure


@dataclass(slots=True, eq=False)
class Target:
    """One incarnation of a server, and its state as this ingress sees it.

    Times are in seconds on this ingress's own clock; shares are between 0 and 1.
    """

    id: str
    service: str
    zone: str
    region: str
    slots: int  #: requests that it executes concurrently
    in_flight: int = 0  #: requests in flight from this ingress
    peer_in_flight: int = 0  #: requests in flight from the region's other ingresses, by their last load reports
    reported_load: float = 0.0  #: requests running and queued, by the server's last response
    load_reported_at: float = -1e9
    latency_ratio: float = 1.0  #: moving average of its latency over the route's expected latency
    backoff_until: float = -1e9  #: avoided until then, as it could not be reached
    unreachable_count: int = 0  #: consecutive failures to connect
    failure_share: float = 0.0  #: moving average of failed requests of this ingress, as of `failure_share_at`
    failure_share_at: float = -1e9
    peer_failure_share: float = 0.0  #: the largest that another ingress of the region has reported
    warming_until: float = -1e9
    tokens_updated_at: float = -1e9  #: when `slow_start_tokens` was last refilled
    slow_start_tokens: float = 1.0  #: requests that this ingress may send now while the server is warming up
    idle_connections: list = field(default_factory=list)  #: managed by the connection pool, the newest last

    def load(self, now: float) -> float:
        """Return the estimated number of requests that are running or queued at the server.

        The server's own report counts less with its age, and not at all after 10 s.
        """
        total_in_flight = self.in_flight + self.peer_in_flight
        weight = (
            0.33 ** ((now - self.load_reported_at) / REPORTED_LOAD_DECAY_S) if now - self.load_reported_at < 10 else 0.0
        )
        return max(total_in_flight, total_in_flight + (self.reported_load - total_in_flight) * weight)

    def wait_latencies(self, now: float) -> float:
        """Return how long one more request would be queued, in expected latencies."""
        return self.latency_ratio * max(0.0, self.load(now) + 1 - self.slots) / self.slots

    def observed_failure_share(self, now: float) -> float:
        """Return the share of this ingress's requests that failed; it decays with time."""
        return self.failure_share * 0.5 ** ((now - self.failure_share_at) / FAILURE_HALF_LIFE_S)

    def expected_failure_share(self, now: float) -> float:
        """Return the share of requests that are likely to fail, by own observations and reports of other ingresses.

        Reports of other ingresses count 0.7 times.
        """
        return max(self.observed_failure_share(now), 0.7 * self.peer_failure_share)

    def record_result(self, now: float, is_failure: bool, weight: float = FAILURE_GAIN) -> None:
        """Update the failure share when a request has ended, or has had no response for long.

        Only requests are counted, never health checks.  `weight` is the weight of this result, between 0 and 1.
        """
        observed = self.observed_failure_share(now)
        self.failure_share, self.failure_share_at = observed + weight * (is_failure - observed), now

    def record_unreachable(self, now: float) -> None:
        """Start a backoff, which doubles with each consecutive failure to connect, up to `MAX_BACKOFF_S`."""
        self.backoff_until = now + min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2**self.unreachable_count)
        self.unreachable_count += 1

    def record_response(self, latency_ratio: float) -> None:
        """Update the latency ratio, and reset the count of failures to connect.

        `latency_ratio` is the response's latency over the expected one, capped at 4.
        """
        self.unreachable_count = 0
        self.latency_ratio += LATENCY_RATIO_GAIN * (min(latency_ratio, 4.0) - self.latency_ratio)

    def has_slow_start_token(self, now: float, rate_per_s: float) -> bool:
        """Refill the server's token bucket, which holds one token at most, and return whether it has a whole token."""
        self.slow_start_tokens = min(1.0, self.slow_start_tokens + rate_per_s * (now - self.tokens_updated_at))
        self.tokens_updated_at = now
        return self.slow_start_tokens >= 1.0


def would_miss_target_latency(wait_latencies: float, latency_s: float, target_latency_s: float) -> bool:
    """Return whether a first attempt should be rejected, as its response would miss the route's latency target.

    Queueing it would delay every request behind it past the target as well.

    Args:
        wait_latencies: expected time in the server's queue, in expected latencies.
        latency_s: the expected latency in seconds.
        target_latency_s: the route's latency target in seconds.
    """
    return wait_latencies * latency_s > max(0.5 * latency_s, target_latency_s - TAIL_LATENCIES * latency_s)


def choose(
    now: float, targets: Iterable[Target], own_zone: str, own_region: str, attempted_ids: Iterable[str],
    rng: random.Random, transfer_kb: float = 0.0, reserved_regions: Iterable[str] = (),
) -> Target | None:  # fmt: skip
    """Return the target with the least expected latency, or None if there is no target.

    Args:
        now: seconds on the clock of the targets.
        targets: the eligible servers.
        own_zone: the zone of this ingress.
        own_region: the region of this ingress.
        attempted_ids: servers that already got an attempt of the request; they are avoided.
        rng: varies the estimates, so that ingresses with the same knowledge choose differently.
        transfer_kb: kilobytes of request and response, which make distant servers more expensive.
        reserved_regions: regions whose last slots are left to requests that may not leave the region.
    """
    best, best_cost = None, 0.0
    other_zone_cost, other_region_cost = (
        OTHER_ZONE_COST + OTHER_ZONE_COST_PER_KB * transfer_kb,
        OTHER_REGION_COST + OTHER_REGION_COST_PER_KB * transfer_kb,
    )
    for target in targets:
        load = target.load(now)
        cost = expected(
            target.latency_ratio, max(0.0, load + 1 - target.slots) / target.slots + 0.1 * load / target.slots, rng
        )
        cost += (
            0.0 if target.zone == own_zone else other_zone_cost if target.region == own_region else other_region_cost
        )
        cost += (
            RESERVED_REGION_COST * min(1.0, (load + 1) / target.slots) ** 2
            if target.region in reserved_regions
            else 0.0
        )
        cost += FAILURE_COST * max(0.0, target.expected_failure_share(now) - TOLERATED_FAILURE_SHARE)
        cost += AVOIDANCE_COST if target.id in attempted_ids else 0.0
        cost += AVOIDANCE_COST if now < target.backoff_until else 0.0
        if best is None or cost < best_cost:
            best, best_cost = target, cost
    return best
