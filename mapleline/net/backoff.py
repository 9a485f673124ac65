"""Pauses before calls that a whole fleet makes to one service."""

from __future__ import annotations

from random import Random

CALL_S = 0.05  # an ingress: what the service is first taken to need for one call, 20 a second
MOST_S = 0.5  # an ingress: the longest bound; the whole fleet then makes about four calls a second
LEAST_S = 0.02  # a pause drawn near nothing must still let others in


class Backoff:
    """Full jitter: each pause is drawn evenly from nothing up to a bound that doubles with each failure.

    Ingresses start together and fail together.  Fixed pauses keep them together, and their calls at the rate
    that failed; a service that works through calls whose askers have left then answers nobody.  A bound that
    grows lets the rate fall until the service keeps up (Brooker, "Exponential Backoff and Jitter", 2015).
    The first call is spread as well: after a release most of a fleet starts within the same moment.
    """

    def __init__(self, seed: int, fleet: int, most_s: float = float("inf")) -> None:
        """`fleet` ingresses call the service; no bound is longer than `most_s`, in seconds."""
        self._rng = Random(seed)
        self.shared = fleet > 1
        self._first_s = min(CALL_S * fleet, most_s)
        self._most_s = min(MOST_S * fleet, most_s)
        self._bound_s = self._first_s

    def succeeded(self) -> None:
        self._bound_s = self._first_s

    def pause(self) -> float:
        """Seconds to wait before the first call, or after one more failure in a row."""
        bound_s, self._bound_s = self._bound_s, min(2 * self._bound_s, self._most_s)
        return max(LEAST_S, self._rng.uniform(0.0, bound_s))
