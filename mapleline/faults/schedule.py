"""A schedule of faults in HCL: the fleet's sizes and the faults with their offsets (pure).

    fleet {
      ingresses = 5
      zones     = ["a", "b", "c"]
      seconds   = 12
      rate      = 150          # requests a second over all ingresses
      seed      = 7
    }
    budgets {                  # our own settings, as `mapleline run --settings` reads them
      enabled = true
      lease_s = 2
    }
    fault "counter-cut" {
      at   = 3.0               # seconds from the start of the load
      for  = 2.0
      link = "ingress-1>counter"
      mode = "cut"
    }
    fault "stall" {
      at = 5
      for = 3
      process = "ingress-2"
      mode = "stall"
    }
    fault "killed-busy" {
      at = 5
      in_flight = 40           # once so many are at work for it, and no sooner than `at`
      process = "ingress-0"
      mode = "kill"
    }
    fault "its-taker" {
      at = 0.5                 # seconds after its process logged `after`
      after = "taking over"
      process = "ingress-1"
      mode = "kill"
    }

Links are `from>to`: `load>ingress-N`, `ingress-N>counter`, `ingress-N>zone-Z`; `*` stands for any name
(`*>zone-b`, `ingress-1>*`).  Errors name the key.
"""

from __future__ import annotations

import fnmatch
import random
from dataclasses import dataclass, field, replace

from ..settings import own, schema
from ..settings.hcl import Fault, parse

LINK_MODES = ("delay", "loss", "cut", "cut_up", "cut_down", "blackhole", "reset", "slow")
PROCESS_MODES = ("stall", "kill", "restart", "clock", "join", "leave", "replace")


@dataclass(frozen=True, slots=True)
class Fleet:
    """What is started: sizes, the load and how long it lasts."""

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
    slots: int = schema.whole(1_000, "requests in work at one server; beyond that it turns away", 1, 100_000)
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
        0.0, "cut off or told 409, a client comes again with its id for so long; 0: never", 0, 60
    )
    keyed_share: float = schema.number(0.0, "of the requests: POST /pay with a key", 0, 1)
    once_share: float = schema.number(0.0, "of the requests: POST /book, which must not run twice", 0, 1)
    zones: tuple[str, ...] = ("a",)


@dataclass(frozen=True, slots=True)
class Step:
    """One fault: begun `at` seconds after the load starts, ended `for` seconds later (0: never).

    One of an ingress may wait for what the fleet has come to, which takes longer on a busy machine: begun not
    before `in_flight` requests of its are at work, or `at` seconds after it logged `after`.

    A `kill` that ends starts the process again; `replace` moves the ingresses to a new, empty counter, one
    after another over `jitter_ms`.
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
    mode: str = schema.word("cut", "what happens", LINK_MODES + PROCESS_MODES)
    ms: float = schema.number(100.0, "delay: milliseconds", 0, 60_000)
    jitter_ms: float = schema.number(0.0, "delay: up to this much more, drawn from the seed", 0, 60_000)
    share: float = schema.number(0.1, "loss: the share of chunks held for a retransmission", 0, 1)
    bytes_per_s: float = schema.number(1_000.0, "slow: bytes a second", 1, 1e9)
    offset_s: float = schema.number(1.0, "clock: seconds added to the process's clock", -3_600, 3_600)
    record: str = schema.word(
        "whole", "kill, restart: what becomes of the newest record in the store", ("whole", "torn", "empty", "foreign")
    )
    seed: int = 0  # drawn from the fleet's seed and the order of the steps

    @property
    def ends(self) -> float | None:
        return self.at + self.lasts if self.lasts > 0 else None

    @property
    def waits(self) -> bool:
        return self.in_flight > 0 or self.after != ""


@dataclass(frozen=True, slots=True)
class Schedule:
    fleet: Fleet
    steps: tuple[Step, ...] = field(default_factory=tuple)
    own: own.Own = field(default_factory=own.Own)  #: the ingresses' own settings, from blocks named as there

    def names(self) -> list[str]:
        """Every process and link the fleet has."""
        ingresses = [f"ingress-{n}" for n in range(self.fleet.ingresses)]
        links = [f"load>{i}" for i in ingresses] + [f"{i}>counter" for i in ingresses]
        links += [f"{i}>zone-{z}" for i in ingresses for z in self.fleet.zones]
        return ingresses + ["counter"] + [f"zone-{z}" for z in self.fleet.zones] + links


def read(text: str) -> tuple[Schedule, list[Fault]]:
    """The schedule and every fault of the file, by line."""
    try:
        top = parse(text)
    except Fault as fault:
        return Schedule(Fleet()), [fault]
    faults: list[Fault] = list(top.faults)
    fleet, steps, blocks = Fleet(), [], []
    for name, value in top.values.items():
        faults.append(Fault(value.line, name, "no setting stands outside a block: fleet or fault"))
    for block in top.blocks:
        if block.name == "fleet" and not block.labels:
            zones = block.values.pop("zones", None)
            fleet = schema.read(Fleet, block, "fleet", faults)
            if zones is not None:
                ok = (
                    isinstance(zones.value, list)
                    and zones.value
                    and all(isinstance(z, str) and z.isalnum() for z in zones.value)
                )
                if ok and len(set(zones.value)) == len(zones.value):
                    fleet = replace(fleet, zones=tuple(zones.value))
                else:
                    faults.append(Fault(zones.line, "fleet.zones", "expected a list of distinct names"))
        elif block.name in own.BLOCKS and not block.labels:
            blocks.append(block)
        elif block.name == "fault" and len(block.labels) == 1:
            lasts = block.values.pop("for", None)
            step = schema.read(Step, block, block.key, faults)
            step = replace(step, name=block.labels[0])
            if lasts is not None:
                seconds = lasts.value
                if isinstance(seconds, int | float) and not isinstance(seconds, bool) and seconds >= 0:
                    step = replace(step, lasts=float(seconds))
                else:
                    faults.append(Fault(lasts.line, f"{block.key}.for", "expected seconds, at least 0"))
            steps.append((block.line, step))
        else:
            why = f'expected `fleet {{ }}`, `fault "NAME" {{ }}` or one of {", ".join(own.BLOCKS)}'
            faults.append(Fault(block.line, block.key, why))
    told, wrong = own.of(blocks)
    faults += wrong
    schedule = Schedule(fleet, own=told)
    known = set(schedule.names())
    draw = random.Random(fleet.seed)
    kept = []
    for line, step in steps:
        key = f"fault.{step.name}"
        is_link = step.mode in LINK_MODES
        where = step.link if is_link else step.process
        if bool(step.link) == bool(step.process):
            faults.append(Fault(line, key, "name either a link or a process"))
        elif (step.link and not is_link) or (step.process and is_link):
            kind = "link" if step.link else "process"
            faults.append(Fault(line, f"{key}.mode", f"{step.mode!r} is not a fault of a {kind}"))
        elif not fnmatch.filter(known, where) if is_link else where not in known:
            kind = "link" if is_link else "process"
            hint = schema.nearest(where, sorted(known))
            faults.append(Fault(line, f"{key}.{kind}", f"no such {kind}: {where!r}; {hint}"))
        elif step.mode in ("clock", "join", "leave") and not step.process.startswith("ingress-"):
            faults.append(Fault(line, f"{key}.mode", f"{step.mode!r} is a fault of an ingress"))
        elif step.waits and (not step.process.startswith("ingress-") or step.in_flight and step.after):
            faults.append(Fault(line, key, "waits for one thing, in_flight or after, of an ingress"))
        elif step.mode == "replace" and step.process != "counter":
            faults.append(Fault(line, f"{key}.mode", "'replace' is a fault of the counter"))
        elif step.mode == "stall" and step.lasts == 0:
            faults.append(Fault(line, f"{key}.for", "a stall needs an end"))
        kept.append(replace(step, seed=draw.getrandbits(32)))
    kept.sort(key=lambda s: s.at)
    return replace(schedule, steps=tuple(kept)), sorted(faults, key=lambda f: f.line)


def load(path: str) -> tuple[Schedule, list[Fault]]:
    """Read a file; raises OSError."""
    with open(path, encoding="utf-8") as file:
        return read(file.read())
