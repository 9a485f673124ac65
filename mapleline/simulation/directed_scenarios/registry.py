"""The registry of directed scenarios, and the helpers that they share."""

from __future__ import annotations

from collections.abc import Callable

from ..faults import GRACE_PERIOD_S, REPLACEMENT_GAP_S
from ..final_fault import FinalFault
from ..machine import PROCESS_START_S, Machine
from ..runner import FaultSchedule, RunOptions
from ..scenario import SMALL_SITE, Scenario, SiteSize

CATCH_UP_S = 4.0
"""Bound `catch_up` of the simulated site."""
RECOVERED_S = PROCESS_START_S + CATCH_UP_S + 0.1
"""After that a machine that was started no longer counts as lost."""
REPLACED_S = GRACE_PERIOD_S + REPLACEMENT_GAP_S + RECOVERED_S
"""After that neither does one that was replaced gracefully."""
LIGHT_LOAD = 0.15

SCENARIOS: dict[FaultSchedule, RunOptions] = {}


def directed(
    duration_s: float, final_fault: FinalFault = FinalFault.NONE, size: SiteSize = SMALL_SITE
) -> Callable[[FaultSchedule], FaultSchedule]:
    """Register a scenario that lasts so long after its warm-up and then ends with a final fault."""

    def register(schedule: FaultSchedule) -> FaultSchedule:
        SCENARIOS[schedule] = RunOptions(duration_s, final_fault, LIGHT_LOAD, size)
        return schedule

    return register


def take_turns(scenario: Scenario, period_s: float, until_s: float, *actions: Callable[[], object]) -> None:
    """Schedule the actions in turn, one a period."""
    for turn in range(int(until_s / period_s)):
        scenario.world.after((turn + 0.5) * period_s, actions[turn % len(actions)])


def machines_except(scenario: Scenario, *excluded: Machine) -> list[Machine]:
    """Return all machines but these."""
    return [machine for machine in scenario.world.machines.values() if machine not in excluded]


def keep_changing(scenario: Scenario, until_s: float) -> None:
    """Let operators change, evacuate and repeat in turn."""
    operators = scenario.operators
    take_turns(
        scenario,
        0.9,
        until_s,
        operators.replace_configuration,
        lambda: operators.evacuate("b2", 2.0),
        operators.repeat_newest,
    )
