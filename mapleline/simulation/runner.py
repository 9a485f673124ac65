"""Runs scenarios and returns their violations: a single one, or random ones of many seeds on several processes."""

from __future__ import annotations

import logging
import multiprocessing
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from .fault_schedule import SCHEDULE_S, random_faults
from .final_fault import RANDOM_FINAL_FAULTS, FinalFault, inject_final_fault
from .invariants import Violation, check
from .records import Observer
from .scenario import LARGE_SITE, SMALL_SITE, Scenario, SiteSize

FaultSchedule = Callable[[Scenario], None]
"""Schedules the faults and operations of a scenario."""
LAST_FAULTS_S = 6.0
"""Time from the end of the schedule to the final fault."""


@dataclass(frozen=True, slots=True)
class RunOptions:
    """Duration, load, size and final fault of a scenario; `final_fault` None chooses a random one."""

    duration_s: float = SCHEDULE_S + LAST_FAULTS_S
    final_fault: FinalFault | None = None
    load: float = 1.0
    size: SiteSize = SMALL_SITE


DEFAULT_OPTIONS = RunOptions()


@dataclass(frozen=True, slots=True)
class RunResult:
    """The violations of a run, and the scenario in its final state."""

    violations: list[Violation]
    scenario: Scenario


def run_scenario(
    seed: int,
    schedule: FaultSchedule = random_faults,
    options: RunOptions = DEFAULT_OPTIONS,
    observer: Observer | None = None,
) -> RunResult:
    """Run one scenario, and check its history; the same seed produces the same history."""
    scenario = Scenario(seed, options.load, options.size)
    scenario.world.observer = observer
    scenario.begin()
    schedule(scenario)
    scenario.world.run(options.duration_s)
    final_fault = options.final_fault or scenario.rng.choice(RANDOM_FINAL_FAULTS)
    violations = []
    if final_fault is not FinalFault.NONE:
        violations = inject_final_fault(scenario, final_fault)
    scenario.finish()
    return RunResult(violations + check(scenario.history), scenario)


def site_size(is_large: bool) -> SiteSize:
    """Return the size of the large or the small site."""
    return LARGE_SITE if is_large else SMALL_SITE


def run_many(seeds: range, processes: int, report: Callable[[str], None], is_large: bool = False) -> int:
    """Run the random scenarios of the seeds, report each violation, and return the number of runs with violations."""
    broken = 0
    with multiprocessing.Pool(processes) as pool:
        for seed, violations in pool.imap_unordered(partial(_run_seed, is_large=is_large), seeds):
            broken += bool(violations)
            for violation in violations:
                report(f"seed {seed}: {violation}")
    return broken


def _run_seed(seed: int, is_large: bool) -> tuple[int, list[Violation]]:
    logging.disable(logging.CRITICAL)
    return seed, run_scenario(seed, options=RunOptions(size=site_size(is_large))).violations
