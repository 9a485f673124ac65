"""The program's own settings: those that the platform's file does not have.  Without a file the defaults apply."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass, field
from typing import Any

import orjson

from . import schema
from .hcl import Block, SettingsError, parse


@dataclass(frozen=True, slots=True)
class Cores:
    """Settings of several worker processes behind one address; see docs/several-cores.md."""

    workers: int = schema.whole(1, "worker processes; 1: a single process without a supervisor", 1, 16)
    offer_ms: int = schema.whole(
        100, "a connection that a worker does not accept in this time is offered to another one", 5, 10_000
    )
    balance_ms: int = schema.whole(
        500, "time between two checks of the load balance; 0: connections are never moved", 0, 60_000
    )
    lean: float = schema.number(
        1.25, "a worker with this multiple of the mean load passes connections to other workers", 1.05, 10
    )
    restart_pause_ms: int = schema.whole(
        100, "delay before a worker that exited is restarted; doubles with each early exit", 1, 60_000
    )
    restart_pause_most_ms: int = schema.whole(5_000, "largest restart delay", 1, 600_000)
    settled_ms: int = schema.whole(2_000, "an exit after less time in service counts as an early exit", 1, 600_000)
    deaths_most: int = schema.whole(5, "consecutive early exits that end the program", 1, 1_000)
    accounts: int = schema.whole(
        16_384, "customers whose usage a worker shares with the others (112 bytes each)", 1_024, 1_048_576
    )


@dataclass(frozen=True, slots=True)
class Log:
    """Settings of the log on standard error."""

    form: str = schema.word(
        "auto", "json, text, or auto: text if standard error is a terminal, else json", ("auto", "json", "text")
    )


@dataclass(frozen=True, slots=True)
class Budgets:
    """Settings of the budgets that the fleet divides by claims on the counter; see docs/fleet.md.

    Budgets are disabled on the platform.
    """

    enabled: bool = schema.flag(
        False, "claim shares and send heartbeats through the counter; false: no additional call"
    )
    fleet: str = schema.text("f", "the fleet's name within the names of its counters (1 to 16 letters or digits)")
    whole: float = schema.number(1_000.0, "units that all shares of the fleet add up to in one lease period", 1, 1e9)
    lease_s: float = schema.number(
        10.0, "length of an epoch; a share is claimed for one epoch and expires with it", 0.5, 60
    )
    clock_margin_s: float = schema.number(
        0.52, "half the largest clock error; a share is not used this close to either end of its epoch", 0, 10
    )
    beat_s: float = schema.number(1.0, "heartbeat period", 0.1, 60)
    clock_offset_s: float = schema.number(
        0.0, "added to the machine's clock for epochs and heartbeat periods (for tests)", -3_600, 3_600
    )
    floor: float = schema.number(0.1, "fraction of each budget that is always split evenly", 0, 1)
    retries_per_s: float = schema.number(0.0, "retries per second of the whole fleet; 0: not divided", 0, 1e9)
    calls_per_s: float = schema.number(
        0.0, "calls per second to the counter of the whole fleet; 0: not divided", 0, 1e9
    )
    room: int = schema.whole(0, "attempts in flight at one server from the whole fleet; 0: not divided", 0, 100_000)
    server_per_s: float = schema.number(
        0.0, "first attempts per second that a warm server can take, a cold one a part of it; 0: not divided", 0, 1e6
    )

    def beat(self, members: int) -> float:
        """Return the heartbeat period in seconds.

        Three calls of each member in a period use at most a tenth of `calls_per_s`.
        """
        return max(self.beat_s, 30 * members / self.calls_per_s) if self.calls_per_s > 0 else self.beat_s


@dataclass(frozen=True, slots=True)
class Zones:
    """Settings by which the whole fleet leaves a failed zone and returns to it; see docs/zones.md.

    They need `budgets.enabled`.
    """

    enabled: bool = schema.flag(False, "exchange verdicts on zones with the fleet; false: no additional call")
    tiers: str = schema.text("", 'zones in order of preference, such as "own > *"; empty: all are equal')
    evidence_s: float = schema.number(1.0, "a zone without any response for this long has failed", 0.05, 60)
    least_tries: int = schema.whole(
        3, "attempts or probes without a response that the failure of a zone requires", 1, 1_000
    )
    hold_s: float = schema.number(2.0, "a zone must be up for this long before the fleet returns", 0, 600)
    hold_most_s: float = schema.number(60.0, "largest hold time of a flapping zone", 0, 3_600)
    flap_s: float = schema.number(
        30.0, "the hold time doubles if a zone fails again within this time after its return", 0.1, 3_600
    )
    spill_share: float = schema.number(
        0.3, "fraction of budgets.server_per_s that a zone accepts from other zones", 0, 1
    )

    def bound_s(self, beat_s: float) -> float:
        """Return the seconds from the first attempts without a response until all ingresses have left a dead zone.

        Ingresses with traffic in the zone need evidence, at four probes a period, and then three periods in which
        their verdicts are reported, complete and read.  With tiers most ingresses may have no traffic there: they
        learn of the suspicion within two periods and then need evidence of their own.
        """
        detection_s = max(self.evidence_s, (self.least_tries + 1) * beat_s / 4)
        return detection_s + 3 * beat_s + (detection_s + 2 * beat_s if self.tiers else 0.0)


@dataclass(frozen=True, slots=True)
class Handoff:
    """Settings of the store of requests in flight, which others take over from a lost ingress; see docs/handoff.md."""

    enabled: bool = schema.flag(False, "record requests and take over those of lost ingresses; false: nothing on disk")
    dir: str = schema.text("", "the fleet's store: a directory that all its ingresses share")
    lease_s: float = schema.number(
        3.0, "an ingress that has not renewed its lease for this long loses its requests", 0.3, 600
    )
    margin_s: float = schema.number(0.5, "largest clock difference, and longest stall of a reactor turn", 0, 60)
    sync_ms: int = schema.whole(0, "time between two syncs to disk; 0: left to the kernel", 0, 60_000)
    snapshot_kb: int = schema.whole(4_096, "a log that has grown by this much is compacted", 16, 1_048_576)
    pace_per_s: float = schema.number(100.0, "largest number of requests adopted per second", 10, 1e6)
    keep_s: float = schema.number(60.0, "how long an outcome is kept that no client has received", 1, 86_400)


@dataclass(frozen=True, slots=True)
class ProgramSettings:
    """All settings of the program: one field for each block of the file."""

    cores: Cores = field(default_factory=Cores)
    log: Log = field(default_factory=Log)
    budgets: Budgets = field(default_factory=Budgets)
    zones: Zones = field(default_factory=Zones)
    handoff: Handoff = field(default_factory=Handoff)


BLOCKS = {block.name: block.default_factory for block in dataclasses.fields(ProgramSettings)}


def read(text: str) -> tuple[ProgramSettings, list[SettingsError]]:
    """Return the settings of a file's text, and every fault in the order of lines."""
    try:
        top = parse(text)
    except SettingsError as fault:
        return ProgramSettings(), [fault]
    faults = list(top.faults)
    for name, value in top.values.items():
        hint = "is a block: write it without '='" if name in BLOCKS else schema.nearest(name, list(BLOCKS))
        faults.append(SettingsError(value.line, name, f"no such setting here; {hint}"))
    settings, block_faults = settings_of_blocks(top.blocks)
    return settings, sorted(faults + block_faults, key=lambda fault: fault.line)


def settings_of_blocks(blocks: list[Block]) -> tuple[ProgramSettings, list[SettingsError]]:
    """Return the settings of these blocks, and their faults in the order of lines."""
    faults: list[SettingsError] = []
    settings_by_block: dict[str, Any] = {}
    first_lines: dict[str, int] = {}
    for block in blocks:
        if block.name not in BLOCKS:
            reason = f"unknown block; {schema.nearest(block.name, list(BLOCKS))}"
            faults.append(SettingsError(block.line, block.key, reason))
        elif block.name in settings_by_block:
            faults.append(
                SettingsError(block.line, block.name, f"stands twice, first on line {first_lines[block.name]}")
            )
        elif block.labels:
            faults.append(SettingsError(block.line, block.key, "this block has no label"))
        else:
            first_lines[block.name] = block.line
            settings_by_block[block.name] = schema.read(BLOCKS[block.name], block, block.name, faults)
    cores = settings_by_block.get("cores")
    if cores is not None and cores.restart_pause_most_ms < cores.restart_pause_ms:
        reason = f"expected at least restart_pause_ms ({cores.restart_pause_ms})"
        faults.append(SettingsError(first_lines["cores"], "cores.restart_pause_most_ms", reason))
    budgets = settings_by_block.get("budgets")
    fleet_name = budgets.fleet if budgets is not None else "f"
    if not (fleet_name.isalnum() and fleet_name.isascii() and len(fleet_name) <= 16):
        faults.append(SettingsError(first_lines["budgets"], "budgets.fleet", "expected 1 to 16 letters or digits"))
    if budgets is not None and 2 * budgets.clock_margin_s >= budgets.lease_s:
        reason = f"expected less than half of lease_s ({budgets.lease_s:g})"
        faults.append(SettingsError(first_lines["budgets"], "budgets.clock_margin_s", reason))
    zones = settings_by_block.get("zones")
    if zones is not None and zones.enabled and not (budgets is not None and budgets.enabled):
        reason = "needs budgets.enabled = true: members are counted by its heartbeats"
        faults.append(SettingsError(first_lines["zones"], "zones.enabled", reason))
    if zones is not None and zones.hold_most_s < zones.hold_s:
        reason = f"expected at least hold_s ({zones.hold_s:g})"
        faults.append(SettingsError(first_lines["zones"], "zones.hold_most_s", reason))
    handoff = settings_by_block.get("handoff")
    if handoff is not None and handoff.enabled and not handoff.dir:
        faults.append(
            SettingsError(first_lines["handoff"], "handoff.dir", "missing: the directory that the fleet shares")
        )
    return ProgramSettings(**settings_by_block), sorted(faults, key=lambda fault: fault.line)


def write(settings: ProgramSettings) -> str:
    """Return HCL text that `read` turns into the same settings."""
    output_lines = []
    for block in dataclasses.fields(ProgramSettings):
        values = dataclasses.asdict(getattr(settings, block.name))
        lines = [f"  {key} = {orjson.dumps(value).decode()}" for key, value in values.items()]
        output_lines += [f"{block.name} {{", *lines, "}", ""]
    return "\n".join(output_lines)


def load(path: str) -> tuple[ProgramSettings, list[SettingsError]]:
    """Read a file.

    Raises:
        OSError: if the file cannot be read.
    """
    try:
        with open(path, encoding="utf-8") as file:
            return read(file.read())
    except UnicodeDecodeError:
        return ProgramSettings(), [SettingsError(0, "", "not UTF-8")]
