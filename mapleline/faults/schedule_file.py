"""Reads and validates schedules in HCL; errors name the key.  Only `load` does I/O.

    fleet {
      ingresses = 5
      zones     = ["a", "b", "c"]
      seconds   = 12
      rate      = 150          # requests a second over all ingresses
      seed      = 7
    }
    budgets {                  # the ingresses' own settings, as `mapleline run --settings` reads them
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
      in_flight = 40           # begins once 40 requests are in flight for it, not before `at`
      process = "ingress-0"
      mode = "kill"
    }
    fault "its-successor" {
      at = 0.5                 # seconds after the process has logged `after`
      after = "taking over"
      process = "ingress-1"
      mode = "kill"
    }

Links are `from>to`: `load>ingress-N`, `ingress-N>counter`, `ingress-N>zone-Z`; `*` stands for any name
(`*>zone-b`, `ingress-1>*`).
"""

from __future__ import annotations

import fnmatch
import random
from dataclasses import dataclass, replace

from ..settings import own, schema
from ..settings.hcl import Block, SettingsError, Value, parse
from .modes import ProcessMode
from .schedule import FleetSettings, Schedule, ScheduledFault

INGRESS_MODES = (ProcessMode.CLOCK, ProcessMode.JOIN, ProcessMode.LEAVE)
SEED_BITS = 32


@dataclass(frozen=True, slots=True)
class _FaultBlock:
    """A fault and the line of its block in the file."""

    line: int
    fault: ScheduledFault

    @property
    def key(self) -> str:
        return f"fault.{self.fault.name}"


def read(text: str) -> tuple[Schedule, list[SettingsError]]:
    """Return the schedule and all errors in the text, sorted by line."""
    try:
        top = parse(text)
    except SettingsError as error:
        return Schedule(FleetSettings()), [error]
    errors: list[SettingsError] = list(top.faults)
    for name, value in top.values.items():
        errors.append(SettingsError(value.line, name, "no setting stands outside a block: fleet or fault"))
    fleet = FleetSettings()
    fault_blocks: list[_FaultBlock] = []
    program_blocks: list[Block] = []
    for block in top.blocks:
        if block.name == "fleet" and not block.labels:
            fleet = _read_fleet(block, errors)
        elif block.name in own.BLOCKS and not block.labels:
            program_blocks.append(block)
        elif block.name == "fault" and len(block.labels) == 1:
            fault_blocks.append(_FaultBlock(block.line, _read_fault(block, errors)))
        else:
            reason = f'expected `fleet {{ }}`, `fault "NAME" {{ }}` or one of {", ".join(own.BLOCKS)}'
            errors.append(SettingsError(block.line, block.key, reason))
    program_settings, program_errors = own.settings_of_blocks(program_blocks)
    errors += program_errors
    schedule = Schedule(fleet, program_settings=program_settings)
    errors += _check_faults(fault_blocks, set(schedule.targets()))
    schedule = replace(schedule, faults=_seeded_faults(fault_blocks, fleet.seed))
    return schedule, sorted(errors, key=lambda error: error.line)


def load(path: str) -> tuple[Schedule, list[SettingsError]]:
    """Read a schedule file; return the schedule and all errors, as `read` does.

    Raises:
        OSError: The file cannot be read.
    """
    with open(path, encoding="utf-8") as file:
        return read(file.read())


def _read_fleet(block: Block, errors: list[SettingsError]) -> FleetSettings:
    """Return the `fleet` block; each invalid value adds to `errors` and is replaced by its default."""
    zones = block.values.pop("zones", None)
    fleet = schema.read(FleetSettings, block, "fleet", errors)
    if zones is None:
        return fleet
    if not _are_distinct_names(zones.value):
        errors.append(SettingsError(zones.line, "fleet.zones", "expected a list of distinct names"))
        return fleet
    return replace(fleet, zones=tuple(zones.value))


def _are_distinct_names(value: object) -> bool:
    """Return whether `value` is a non-empty list of distinct alphanumeric names."""
    if not isinstance(value, list) or not value:
        return False
    if not all(isinstance(name, str) and name.isalnum() for name in value):
        return False
    return len(set(value)) == len(value)


def _read_fault(block: Block, errors: list[SettingsError]) -> ScheduledFault:
    """Return a `fault` block; each invalid value adds to `errors` and is replaced by its default."""
    duration = block.values.pop("for", None)
    fault = schema.read(ScheduledFault, block, block.key, errors)
    fault = replace(fault, name=block.labels[0])
    if duration is None:
        return fault
    if not _is_duration(duration):
        errors.append(SettingsError(duration.line, f"{block.key}.for", "expected seconds, at least 0"))
        return fault
    return replace(fault, lasts=float(duration.value))


def _is_duration(value: Value) -> bool:
    seconds = value.value
    return isinstance(seconds, int | float) and not isinstance(seconds, bool) and seconds >= 0


def _seeded_faults(blocks: list[_FaultBlock], fleet_seed: int) -> tuple[ScheduledFault, ...]:
    """Return the faults sorted by `at`; their seeds are drawn in the order of the file."""
    generator = random.Random(fleet_seed)
    faults = [replace(block.fault, seed=generator.getrandbits(SEED_BITS)) for block in blocks]
    return tuple(sorted(faults, key=lambda fault: fault.at))


def _check_faults(blocks: list[_FaultBlock], targets: set[str]) -> list[SettingsError]:
    """Return the first error of each fault; `targets` holds the names of the fleet's processes and links."""
    errors = []
    for block in blocks:
        error = _target_error(block, targets) or _mode_error(block)
        if error is not None:
            errors.append(error)
    return errors


def _target_error(block: _FaultBlock, targets: set[str]) -> SettingsError | None:
    """Return the error in the link or process that a fault names, or None."""
    fault = block.fault
    if bool(fault.link) == bool(fault.process):
        return SettingsError(block.line, block.key, "name either a link or a process")
    if bool(fault.link) != fault.is_of_link:
        kind = "link" if fault.link else "process"
        return SettingsError(block.line, f"{block.key}.mode", f"{fault.mode!r} is not a fault of a {kind}")
    if fault.is_of_link:
        kind, target = "link", fault.link
        is_known = bool(fnmatch.filter(targets, target))
    else:
        kind, target = "process", fault.process
        is_known = target in targets
    if is_known:
        return None
    hint = schema.nearest(target, sorted(targets))
    return SettingsError(block.line, f"{block.key}.{kind}", f"no such {kind}: {target!r}; {hint}")


def _mode_error(block: _FaultBlock) -> SettingsError | None:
    """Return the error in a fault's mode or precondition, or None; the fault's target exists."""
    fault = block.fault
    is_of_ingress = fault.process.startswith("ingress-")
    if fault.mode in INGRESS_MODES and not is_of_ingress:
        return SettingsError(block.line, f"{block.key}.mode", f"{fault.mode!r} is a fault of an ingress")
    has_two_preconditions = fault.in_flight > 0 and fault.after != ""
    if fault.has_precondition and (not is_of_ingress or has_two_preconditions):
        return SettingsError(block.line, block.key, "waits for one thing, in_flight or after, of an ingress")
    if fault.mode == ProcessMode.REPLACE and fault.process != "counter":
        return SettingsError(block.line, f"{block.key}.mode", "'replace' is a fault of the counter")
    if fault.mode == ProcessMode.STALL and fault.lasts == 0:
        return SettingsError(block.line, f"{block.key}.for", "a stall needs an end")
    return None
