"""Data classes of a schedule: the fleet's sizes, its load, and the faults with their offsets.

The field names of `FleetSettings` and `ScheduledFault` are the keys of the file, except that the key of `lasts` is
`for`.  `schedule_file` reads the file.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ..settings import own, schema
from .modes import LINK_MODE_NAMES, PROCESS_MODE_NAMES, RECORD_STATE_NAMES


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """Sizes of the fleet, and the rate and duration of its load."""

    ingresses: int = schema.whole(5, "ingress processes", 1, 64)
    seconds: float = schema.number(10.0, "seconds of load", 0.5, 600)
    rate: float = schema.number(100.0, "requests a second over all ingresses", 1, 5_000)
    seed: int = schema.whole(1, "for the faults' jitter and the load's draws", 0, 2**63)
    grace: float = schema.number(5.0, "seconds after the load for the last answers", 0.5, 60)
    timeout_ms: int = schema.whole(1_500, "X-Timeout-Ms of each request", 10, 60_000)
    customers: int = schema.whole(20, "customers of the load", 1, 100_000)
    work_ms: int = schema.whole(5, "how long a stand-in agenda server works on a request", 0, 10_000)
    aim_ms: int = schema.whole(1_200, "the classes' aim", 10, 600_000)
    deadline_ms: int = schema.whole(4_000, "the classes' deadline", 10, 600_000)
    servers: int = schema.whole(2, "agenda servers a zone", 1, 512)
    slots: int = schema.whole(1_000, "requests in work at one server; beyond that it refuses", 1, 100_000)
    bears_per_s: float = schema.number(0.0, "requests a second a warm server bears; 0: any number", 0, 1e6)
    cold_from: float = schema.number(0.2, "a cold server's part of that", 0.01, 1)
    warm_s: float = schema.number(10.0, "from cold to warm", 0.1, 600)
    quota_rate: float = schema.number(500.0, "a customer's units a second", 0.1, 1e6)
    quota_burst: float = schema.number(5_000.0, "units a customer may save up", 1, 1e7)
    hot: int = schema.whole(0, "customers that ask for more than the others", 0, 1_000)
    hot_share: float = schema.number(0.5, "their share of the load", 0, 1)
    lean: float = schema.number(0.0, "share of the load that one ingress gets, another each shift_s", 0, 1)
    shift_s: float = schema.number(5.0, "see lean", 0.1, 600)
    overrun_most: float = schema.number(0.0, "judged: share of what is served beyond quotas; 0: not", 0, 1)
    refused_most: float = schema.number(0.0, "judged: share of requests refused by quota with room; 0: not", 0, 1)
    retry_s: float = schema.number(
        0.0, "cut off or answered 409, a client retries with its id for so long; 0: never", 0, 60
    )
    keyed_share: float = schema.number(0.0, "of the requests: POST /pay with a key", 0, 1)
    once_share: float = schema.number(0.0, "of the requests: POST /book, which must not run twice", 0, 1)
    zones: tuple[str, ...] = ("a",)


@dataclass(frozen=True, slots=True)
class ScheduledFault:
    """One fault: it begins `at` seconds after the load starts and ends `lasts` seconds later (0: never).

    A fault of an ingress may have a precondition, because a busy machine takes longer to reach a given state.  With
    `in_flight`, the fault begins no earlier than `at`, once that many requests are in flight for the ingress.  With
    `after`, it begins `at` seconds after the ingress has logged that event.

    At the end of a `kill`, the process is started again.  A `replace` moves the ingresses one after another, over
    `jitter_ms` milliseconds, to a new, empty counter.
    """

    name: str = ""
    at: float = schema.number(0.0, "seconds from the start of the load", 0, 3_600)
    in_flight: int = schema.whole(
        0, "not before servers work on so many requests for the process; 0: at once", 0, 10_000
    )
    after: str = schema.text("", "an event of the process's log from which `at` counts")
    lasts: float = schema.number(0.0, "seconds until the fault ends; 0 for one that does not", 0, 3_600)
    link: str = schema.text("", "from>to, for a fault of a link")
    process: str = schema.text("", "a process's name, for a fault of a process")
    mode: str = schema.word("cut", "what happens", LINK_MODE_NAMES + PROCESS_MODE_NAMES)
    ms: float = schema.number(100.0, "delay: milliseconds", 0, 60_000)
    jitter_ms: float = schema.number(0.0, "delay: up to this much more, drawn from the seed", 0, 60_000)
    share: float = schema.number(0.1, "loss: the share of chunks delayed by a retransmission", 0, 1)
    bytes_per_s: float = schema.number(1_000.0, "slow: bytes a second", 1, 1e9)
    offset_s: float = schema.number(1.0, "clock: seconds added to the process's clock", -3_600, 3_600)
    record: str = schema.word(
        "whole", "kill, restart: what becomes of the newest record in the store", RECORD_STATE_NAMES
    )
    seed: int = 0  # derived from the fleet's seed and the order of the faults in the file

    @property
    def ends_at(self) -> float | None:
        """End of the fault in seconds from the start of the load; None if it never ends."""
        return self.at + self.lasts if self.lasts > 0 else None

    @property
    def is_of_link(self) -> bool:
        """Whether the mode applies to links; otherwise it applies to processes."""
        return self.mode in LINK_MODE_NAMES

    @property
    def has_precondition(self) -> bool:
        """Whether the fault waits for a state of its process, besides the time."""
        return self.in_flight > 0 or self.after != ""


@dataclass(frozen=True, slots=True)
class Schedule:
    """All parameters of one run of a fleet.

    Attributes:
        fleet: The `fleet` block.
        faults: The faults, sorted by `at`.
        program_settings: The ingresses' own settings, from blocks named as in their settings file.
    """

    fleet: FleetSettings
    faults: tuple[ScheduledFault, ...] = field(default_factory=tuple)
    program_settings: own.ProgramSettings = field(default_factory=own.ProgramSettings)

    def targets(self) -> list[str]:
        """Return the name of every process and link that the fleet has."""
        ingresses = [f"ingress-{number}" for number in range(self.fleet.ingresses)]
        zones = [f"zone-{zone}" for zone in self.fleet.zones]
        links = [f"load>{ingress}" for ingress in ingresses]
        links += [f"{ingress}>counter" for ingress in ingresses]
        links += [f"{ingress}>{zone}" for ingress in ingresses for zone in zones]
        return [*ingresses, "counter", *zones, *links]
