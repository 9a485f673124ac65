"""Settings of the process of a zone's servers, which it gets as JSON on its command line."""

from __future__ import annotations

from dataclasses import asdict, dataclass

import orjson


@dataclass(frozen=True, slots=True)
class ZoneSettings:
    """Settings of one zone's servers.

    Attributes:
        zone: The zone's name.
        servers: Number of servers in the process.
        record: Path of the record of runs, to which lines are appended.
        work_s: Service time of a request, in seconds.
        slots: Limit of concurrent requests at one server, which refuses further ones.
        capacity_per_s: Capacity of a warm server in requests per second; 0 for no limit.
        cold_share: Share of this capacity that a server has right after its start.
        warm_up_s: Seconds from the start of a cold server to its full capacity.
        overload_factor: A server falls over if arrivals exceed its capacity by this factor.
        overload_window_s: Window over which arrivals are counted, in seconds.
        down_s: Seconds for which a server is down after it fell over.
        is_cold: Whether the servers start cold; otherwise they start warm.
    """

    zone: str
    servers: int
    record: str
    work_s: float
    slots: int
    capacity_per_s: float
    cold_share: float
    warm_up_s: float
    overload_factor: float
    overload_window_s: float
    down_s: float
    is_cold: bool

    def to_json(self) -> str:
        """Return the settings as a command line argument."""
        return orjson.dumps(asdict(self)).decode()

    @classmethod
    def from_json(cls, text: str) -> ZoneSettings:
        """Return the settings from a command line argument."""
        return cls(**orjson.loads(text))
