"""The steps of `mapleline try --check`, in order."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from shutil import rmtree

from .cluster import TrialCluster, wait_until
from .layout import JOINING_NODE
from .scenario import COMPETING_ROUNDS, FROZEN_PREFIX, Scenario, ScenarioError, tear_content_file


@dataclass(frozen=True, slots=True)
class Step:
    """An action, and a condition that has to hold within `WAIT_TIMEOUT_S` after it."""

    title: str
    condition: Callable[[], bool]
    action: Callable[[], object] | None = None

    def run(self) -> str | None:
        """Run the step; return its fault, or None."""
        try:
            if self.action is not None:
                self.action()
            return wait_until(self.title, self.condition)
        except ScenarioError as error:
            return f"{self.title}: {error}"


def run_checks(cluster: TrialCluster, report: Callable[[str], None]) -> str | None:
    """Run the steps in order and report the duration of each; return the first fault, or None."""
    scenario = Scenario(cluster)
    for step in (
        *_service_steps(scenario, cluster),
        *_command_steps(scenario),
        *_disk_steps(scenario),
        *_freeze_steps(scenario),
        *_membership_steps(scenario, cluster),
        *_evacuation_steps(scenario),
    ):
        began_at = time.monotonic()
        fault = step.run()
        if fault is not None:
            return fault
        report(f"{step.title}: {time.monotonic() - began_at:.1f} s")
    return None


def _service_steps(scenario: Scenario, cluster: TrialCluster) -> list[Step]:
    return [
        Step("a configuration is acknowledged", scenario.put_configuration),
        Step("every node serves", lambda: scenario.is_served_by_all("/slots/x", "a")),
        Step("three megabytes are echoed", scenario.is_long_body_echoed),
        Step(
            "a machine is killed, the next version acknowledged",
            lambda: scenario.put_configuration("/free/"),
            action=lambda: cluster.kill("z3"),
        ),
        Step(
            "the others serve by it",
            lambda: all(scenario.is_served(name, "/free/x", f"b-{name}") for name in ("z1", "z2")),
        ),
        Step("and no longer by the last", scenario.is_path_unknown),
        Step(
            "the lost machine is back and serves by it",
            lambda: scenario.is_served("z3", "/free/x", "d"),
            action=lambda: cluster.start("z3", is_initial=False),
        ),
    ]


def _command_steps(scenario: Scenario) -> list[Step]:
    return [
        Step("the first version is put in force again", lambda: scenario.roll_back(1)),
        Step("every node serves by that", lambda: scenario.is_served_by_all("/slots/x", "r")),
        Step(
            f"of two rivals one is acknowledged and one rejected, {COMPETING_ROUNDS} times",
            scenario.send_competing_configurations,
        ),
        Step("a command whose answer was lost is acknowledged by another node", scenario.repeat_after_lost_answer),
        Step("the newest again is acknowledged everywhere", scenario.is_newest_confirmed_again),
        Step("another content under its version is rejected everywhere", scenario.is_other_content_refused),
    ]


def _disk_steps(scenario: Scenario) -> list[Step]:
    return [
        Step(
            "a disk is lost, and its machine gets a vote again",
            lambda: scenario.is_formed("z2"),
            action=lambda: scenario.restart_with_damaged_disk("z2", rmtree),
        ),
        Step(
            "a torn file is found, and written anew",
            lambda: scenario.is_torn_file_repaired("z3"),
            action=lambda: scenario.restart_with_damaged_disk("z3", tear_content_file),
        ),
        Step(
            "a command is acknowledged and in force everywhere",
            lambda: scenario.put_configuration(FROZEN_PREFIX) and scenario.is_served_by_all(f"{FROZEN_PREFIX}x", "f"),
        ),
    ]


def _freeze_steps(scenario: Scenario) -> list[Step]:
    return [
        Step("a machine is frozen, commands go on", scenario.send_commands_while_frozen, action=scenario.freeze),
        Step("thawed it catches up, and never answered with the old", scenario.has_caught_up, action=scenario.resume),
    ]


def _membership_steps(scenario: Scenario, cluster: TrialCluster) -> list[Step]:
    return [
        Step(
            "all are killed at once, and serve by the last configuration",
            scenario.is_served_after_restart,
            action=scenario.restart_all,
        ),
        Step("a fourth machine joins", scenario.is_joined, action=scenario.join),
        Step("one shuts down gracefully", scenario.is_released, action=scenario.leave),
        Step(
            "and right after one is killed: commands go on",
            lambda: scenario.put_configuration(name=JOINING_NODE),
            action=lambda: cluster.kill("z3"),
        ),
    ]


def _evacuation_steps(scenario: Scenario) -> list[Step]:
    return [
        Step("an evacuation is acknowledged", scenario.begin_evacuation),
        Step("the zone's servers get nothing", scenario.is_evacuated_zone_idle),
        Step("a booking is executed once", scenario.is_booked_once),
    ]
