"""The registry of directed scenarios, and the helpers that they share."""

from __future__ import annotations

from collections.abc import Callable

from ..faults import GRACE_PERIOD_S, REPLACEMENT_GAP_S
from ..final_fault import FinalFault
from ..machine import PROCESS_START_S, Machine
from ..runner import FaultSchedule, RunOptions
from ..scenario import SMALL_SITE, Scenario, SiteSize

CATCH_UP_S = 4.0
"""Value of the bound `catch_up` of the simulated site."""
RECOVERED_S = PROCESS_START_S + CATCH_UP_S + 0.1
"""Time from the start of a machine until it no longer counts as lost."""
REPLACED_S = GRACE_PERIOD_S + REPLACEMENT_GAP_S + RECOVERED_S
"""Time from the begin of a graceful replacement until the successor no longer counts as lost."""
LIGHT_LOAD = 0.15
"""Factor on the clients' usual request rates."""

SCENARIOS: dict[FaultSchedule, RunOptions] = {}


def directed(
    duration_s: float, final_fault: FinalFault = FinalFault.NONE, size: SiteSize = SMALL_SITE
) -> Callable[[FaultSchedule], FaultSchedule]:
    """Register a scenario that runs for `duration_s` after its warm-up and then ends with a final fault."""

    def register(schedule: FaultSchedule) -> FaultSchedule:
        SCENARIOS[schedule] = RunOptions(duration_s, final_fault, LIGHT_LOAD, size)
        return schedule

    return register


def take_turns(scenario: Scenario, period_s: float, until_s: float, *actions: Callable[[], object]) -> None:
    """Schedule the actions in turn, one every `period_s`, until `until_s`."""
    for turn in range(int(until_s / period_s)):
        scenario.world.after((turn + 0.5) * period_s, actions[turn % len(actions)])


def machines_except(scenario: Scenario, *excluded: Machine) -> list[Machine]:
    """Return all machines except `excluded`."""
    return [machine for machine in scenario.world.machines.values() if machine not in excluded]


def keep_changing(scenario: Scenario, until_s: float) -> None:
    """Schedule new configurations, evacuations and repetitions of operators in turn, until `until_s`."""
    operators = scenario.operators
    take_turns(
        scenario,
        0.9,
        until_s,
        operators.replace_configuration,
        lambda: operators.evacuate("b2", 2.0),
        operators.repeat_newest,
    )
