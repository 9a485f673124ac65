"""What responses were like lately, by service and route: their latency and their size."""

from __future__ import annotations

INITIAL_LATENCY_S = 0.25
GAIN = 0.05
"""Weight of the newest response in the moving averages."""

StatisticsKey = tuple[str, str]
"""Service and prefix of the route."""


class RouteStatistics:
    """Exponentially weighted moving averages."""

    def __init__(self) -> None:
        """Begin without a response."""
        self._latency_s: dict[StatisticsKey, float] = {}
        self._response_bytes: dict[StatisticsKey, float] = {}

    def latency_s(self, key: StatisticsKey) -> float:
        """Return the expected latency of a response from a server with a free slot, in seconds."""
        return self._latency_s.get(key, INITIAL_LATENCY_S)

    def response_bytes(self, key: StatisticsKey) -> float:
        """Return the expected size of a response's body, 0 where none is known."""
        return self._response_bytes.get(key, 0.0)

    def record(self, key: StatisticsKey, latency_s: float, size_bytes: int) -> None:
        """Take one response into the averages."""
        average_s = self.latency_s(key)
        self._latency_s[key] = average_s + GAIN * (latency_s - average_s)
        average_bytes = self._response_bytes.get(key, size_bytes)
        self._response_bytes[key] = average_bytes + GAIN * (size_bytes - average_bytes)
