"""Delays before calls that a whole fleet makes to one service."""

from __future__ import annotations

from random import Random

FIRST_BOUND_PER_INGRESS_S = 0.05  # allows the service 50 ms for each ingress's call: 20 calls/s
MAX_BOUND_PER_INGRESS_S = 0.5  # the whole fleet then makes about 4 calls/s
MIN_PAUSE_S = 0.02  # leaves time for other calls after a pause drawn near 0


class Backoff:
    """Exponential backoff with full jitter: each pause is uniform from 0 to a bound that doubles with each failure.

    Ingresses start together and fail together.  Fixed pauses would keep them in step and their call rate at the one
    that failed, and a service that works through calls whose callers have timed out answers none in time.  A growing
    bound lowers the rate until the service keeps up (Brooker, "Exponential Backoff and Jitter", 2015).
    The first call is delayed as well: after a release most of a fleet starts at the same moment.

    Attributes:
        shared: whether more than one ingress calls the service.
    """

    def __init__(self, seed: int, fleet_size: int, max_bound_s: float = float("inf")) -> None:
        """Start with the first bound.

        Args:
            seed: of the random pauses.
            fleet_size: the number of ingresses that call the service.
            max_bound_s: a limit on the bound, in seconds.
        """
        self._rng = Random(seed)
        self.shared = fleet_size > 1
        self._first_bound_s = min(FIRST_BOUND_PER_INGRESS_S * fleet_size, max_bound_s)
        self._max_bound_s = min(MAX_BOUND_PER_INGRESS_S * fleet_size, max_bound_s)
        self._bound_s = self._first_bound_s

    def succeeded(self) -> None:
        """Return to the first bound after a successful call."""
        self._bound_s = self._first_bound_s

    def pause(self) -> float:
        """Return the seconds to wait before the first call, or after another consecutive failure."""
        bound_s, self._bound_s = self._bound_s, min(2 * self._bound_s, self._max_bound_s)
        return max(MIN_PAUSE_S, self._rng.uniform(0.0, bound_s))
