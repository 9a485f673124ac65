"""Moving averages of the latency and size of responses, by service and route."""

from __future__ import annotations

INITIAL_LATENCY_S = 0.25
"""Expected latency before the first response."""

GAIN = 0.05
"""Weight of the newest response in the moving averages."""

StatisticsKey = tuple[str, str]
"""The service and the route's path prefix."""


class RouteStatistics:
    """Exponentially weighted moving averages."""

    def __init__(self) -> None:
        """Start with no responses."""
        self._latency_s: dict[StatisticsKey, float] = {}
        self._response_bytes: dict[StatisticsKey, float] = {}

    def latency_s(self, key: StatisticsKey) -> float:
        """Return the expected latency of a response from a server with a free slot, in seconds."""
        return self._latency_s.get(key, INITIAL_LATENCY_S)

    def response_bytes(self, key: StatisticsKey) -> float:
        """Return the expected size of a response's body in bytes; 0 before the first response."""
        return self._response_bytes.get(key, 0.0)

    def record(self, key: StatisticsKey, latency_s: float, size_bytes: int) -> None:
        """Update the averages by one response."""
        average_s = self.latency_s(key)
        self._latency_s[key] = average_s + GAIN * (latency_s - average_s)
        average_bytes = self._response_bytes.get(key, size_bytes)
        self._response_bytes[key] = average_bytes + GAIN * (size_bytes - average_bytes)
