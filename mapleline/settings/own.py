"""Our own settings: all that the platform's file does not know.  No file: the defaults."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass, field
from typing import Any

import orjson

from . import schema
from .hcl import Block, Fault, parse


@dataclass(frozen=True, slots=True)
class Cores:
    """Several workers behind one address; see docs/several-cores.md."""

    workers: int = schema.whole(1, "processes that serve; 1 is the single process", 1, 16)
    offer_ms: int = schema.whole(100, "a connection not taken in this time goes to another worker", 5, 10_000)
    balance_ms: int = schema.whole(500, "between two looks at how the load lies; 0: never moved", 0, 60_000)
    lean: float = schema.number(1.25, "a worker with this many times the mean load hands some over", 1.05, 10)
    restart_pause_ms: int = schema.whole(100, "before a worker that died is replaced, doubled each time", 1, 60_000)
    restart_pause_most_ms: int = schema.whole(5_000, "the longest such pause", 1, 600_000)
    settled_ms: int = schema.whole(2_000, "a worker that served this long has not died at once", 1, 600_000)
    deaths_most: int = schema.whole(5, "deaths at once in a row that end the program", 1, 1_000)
    accounts: int = schema.whole(
        16_384, "customers whose use a worker shows to the others (112 bytes each)", 1_024, 1_048_576
    )


@dataclass(frozen=True, slots=True)
class Log:
    """What goes to standard error."""

    form: str = schema.word("auto", "json, text, or text where standard error is a terminal", ("auto", "json", "text"))


@dataclass(frozen=True, slots=True)
class Budgets:
    """The fleet's budgets, divided by claims on the counter; see docs/fleet.md.  Off on the platform."""

    enabled: bool = schema.flag(False, "claim parts and beat on the counter; false: not a call more")
    fleet: str = schema.text("f", "the fleet's name in the counter's names (1 to 16 letters or digits)")
    whole: float = schema.number(1_000.0, "units a lease that the fleet's parts add up to", 1, 1e9)
    lease_s: float = schema.number(10.0, "an epoch: a part is claimed for one and ends with it", 0.5, 60)
    clock_margin_s: float = schema.number(
        0.52, "half the clocks' largest error; a part is not used so near its epoch's ends", 0, 10
    )
    beat_s: float = schema.number(1.0, "a heartbeat period", 0.1, 60)
    clock_offset_s: float = schema.number(
        0.0, "added to the machine's clock for epochs and periods (tests)", -3_600, 3_600
    )
    floor: float = schema.number(0.1, "the share of each budget that is split evenly for good", 0, 1)
    retries_per_s: float = schema.number(0.0, "further attempts a second, over the fleet; 0: not divided", 0, 1e9)
    calls_per_s: float = schema.number(0.0, "calls a second to the counter, over the fleet; 0: not divided", 0, 1e9)
    room: int = schema.whole(0, "attempts out at one server, over the fleet; 0: not divided", 0, 100_000)
    server_per_s: float = schema.number(
        0.0, "first attempts a second that a warm server bears: a cold one gets its part of it; 0: not divided", 0, 1e6
    )

    def beat(self, members: int) -> float:
        """Seconds between heartbeats: three calls a member a period take a tenth of the counter's at most."""
        return max(self.beat_s, 30 * members / self.calls_per_s) if self.calls_per_s > 0 else self.beat_s


@dataclass(frozen=True, slots=True)
class Zones:
    """A failed zone left and regained by the whole fleet; see docs/zones.md.  Needs budgets.enabled."""

    enabled: bool = schema.flag(False, "report and hear verdicts on zones; false: not a call more")
    tiers: str = schema.text("", 'zones in the order of use, as in "own > *"; empty: all alike')
    evidence_s: float = schema.number(1.0, "no answer from a zone for so long: failed", 0.05, 60)
    least_tries: int = schema.whole(3, "attempts or probes without an answer that this takes", 1, 1_000)
    hold_s: float = schema.number(2.0, "a zone must be up for so long before the fleet returns", 0, 600)
    hold_most_s: float = schema.number(60.0, "the longest hold, however often it flaps", 0, 3_600)
    flap_s: float = schema.number(30.0, "left again so soon after its return: the hold doubles", 0.1, 3_600)
    spill_share: float = schema.number(0.3, "of budgets.server_per_s: what a zone bears for others", 0, 1)

    def bound_s(self, beat_s: float) -> float:
        """Seconds from the first attempts without an answer until all ingresses have left a dead zone.

        Evidence of those with traffic there, four probes a period, then told, complete and read.  With
        tiers most may have none there: they hear the suspicion in two periods, and need their own evidence.
        """
        evidence = max(self.evidence_s, (self.least_tries + 1) * beat_s / 4)
        return evidence + 3 * beat_s + (evidence + 2 * beat_s if self.tiers else 0.0)


@dataclass(frozen=True, slots=True)
class Handoff:
    """Work in hand on record in a store, taken over when its ingress is lost; see docs/handoff.md."""

    enabled: bool = schema.flag(False, "keep the record and take over; false: nothing on disk")
    dir: str = schema.text("", "the fleet's store: a directory that all its ingresses share")
    lease_s: float = schema.number(3.0, "who has not renewed for so long has lost its work", 0.3, 600)
    margin_s: float = schema.number(0.5, "by which clocks may differ, and a turn be stalled", 0, 60)
    sync_ms: int = schema.whole(0, "between two syncs with the disk; 0: left to the kernel", 0, 60_000)
    snapshot_kb: int = schema.whole(4_096, "a log that grew by so much is written anew", 16, 1_048_576)
    pace_per_s: float = schema.number(100.0, "requests adopted a second, at most", 10, 1e6)
    keep_s: float = schema.number(60.0, "an outcome that no client has heard is kept for so long", 1, 86_400)


@dataclass(frozen=True, slots=True)
class Own:
    """The whole file."""

    cores: Cores = field(default_factory=Cores)
    log: Log = field(default_factory=Log)
    budgets: Budgets = field(default_factory=Budgets)
    zones: Zones = field(default_factory=Zones)
    handoff: Handoff = field(default_factory=Handoff)


BLOCKS = {f.name: f.default_factory for f in dataclasses.fields(Own)}


def read(text: str) -> tuple[Own, list[Fault]]:
    """The settings and every fault of the file, in the order of its lines."""
    try:
        top = parse(text)
    except Fault as fault:
        return Own(), [fault]
    faults = list(top.faults)
    for name, value in top.values.items():
        hint = "is a block: write it without '='" if name in BLOCKS else schema.nearest(name, list(BLOCKS))
        faults.append(Fault(value.line, name, f"no such setting here; {hint}"))
    told, wrong = of(top.blocks)
    return told, sorted(faults + wrong, key=lambda fault: fault.line)


def of(blocks: list[Block]) -> tuple[Own, list[Fault]]:
    """The settings that these blocks hold, and their faults."""
    faults: list[Fault] = []
    parts: dict[str, Any] = {}
    lines: dict[str, int] = {}
    for block in blocks:
        if block.name not in BLOCKS:
            why = f"unknown block; {schema.nearest(block.name, list(BLOCKS))}"
            faults.append(Fault(block.line, block.key, why))
        elif block.name in parts:
            faults.append(Fault(block.line, block.name, f"stands twice, first on line {lines[block.name]}"))
        elif block.labels:
            faults.append(Fault(block.line, block.key, "this block has no label"))
        else:
            lines[block.name] = block.line
            parts[block.name] = schema.read(BLOCKS[block.name], block, block.name, faults)
    cores = parts.get("cores")
    if cores is not None and cores.restart_pause_most_ms < cores.restart_pause_ms:
        why = f"expected at least restart_pause_ms ({cores.restart_pause_ms})"
        faults.append(Fault(lines["cores"], "cores.restart_pause_most_ms", why))
    budgets = parts.get("budgets")
    name = budgets.fleet if budgets is not None else "f"
    if not (name.isalnum() and name.isascii() and len(name) <= 16):
        faults.append(Fault(lines["budgets"], "budgets.fleet", "expected 1 to 16 letters or digits"))
    if budgets is not None and 2 * budgets.clock_margin_s >= budgets.lease_s:
        why = f"expected less than half of lease_s ({budgets.lease_s:g})"
        faults.append(Fault(lines["budgets"], "budgets.clock_margin_s", why))
    zones = parts.get("zones")
    if zones is not None and zones.enabled and not (budgets is not None and budgets.enabled):
        why = "needs budgets.enabled = true: members are counted by its heartbeats"
        faults.append(Fault(lines["zones"], "zones.enabled", why))
    if zones is not None and zones.hold_most_s < zones.hold_s:
        why = f"expected at least hold_s ({zones.hold_s:g})"
        faults.append(Fault(lines["zones"], "zones.hold_most_s", why))
    handoff = parts.get("handoff")
    if handoff is not None and handoff.enabled and not handoff.dir:
        faults.append(Fault(lines["handoff"], "handoff.dir", "missing: the directory that the fleet shares"))
    return Own(**parts), sorted(faults, key=lambda fault: fault.line)


def write(told: Own) -> str:
    """As HCL that reads back as the same settings."""
    out = []
    for block in dataclasses.fields(Own):
        values = dataclasses.asdict(getattr(told, block.name))
        lines = [f"  {key} = {orjson.dumps(value).decode()}" for key, value in values.items()]
        out += [f"{block.name} {{", *lines, "}", ""]
    return "\n".join(out)


def load(path: str) -> tuple[Own, list[Fault]]:
    """Read a file; raises OSError."""
    try:
        with open(path, encoding="utf-8") as file:
            return read(file.read())
    except UnicodeDecodeError:
        return Own(), [Fault(0, "", "not UTF-8")]
