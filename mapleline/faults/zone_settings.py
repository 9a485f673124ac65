"""What the controller gives the process of a zone's servers on its command line, as JSON."""

from __future__ import annotations

from dataclasses import asdict, dataclass

import orjson


@dataclass(frozen=True, slots=True)
class ZoneSettings:
    """One zone's servers.

    Attributes:
        zone: The zone's name.
        servers: How many servers the process is.
        record: The path of the record of their runs, to which lines are added.
        work_s: Seconds that a request is in work.
        slots: Requests in work at one server at most; beyond that it refuses.
        capacity_per_s: Requests a second that a warm server bears; 0: any number.
        cold_share: The share of that which a server bears when it has just started.
        warm_up_s: Seconds from there to the whole.
        overload_factor: A server falls over at so many times what it bears,
        overload_window_s: measured over so many seconds,
        down_s: and is down for so many seconds.
        is_cold: Whether the servers have just started; else they are warm.
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
        """The command line's argument."""
        return orjson.dumps(asdict(self)).decode()

    @classmethod
    def from_json(cls, text: str) -> ZoneSettings:
        """The settings of a command line's argument."""
        return cls(**orjson.loads(text))
