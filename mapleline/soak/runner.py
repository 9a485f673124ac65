"""Runs one soak test: a fleet with seeded load, configuration changes and faults, and the check of its history."""

from __future__ import annotations

import asyncio
import random
import shlex
import sys
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

from .clients import ClientTraffic
from .faults import FaultSeries
from .history import SoakHistory
from .judge import QuotaUse, Violation, judge, quota_uses
from .layout import fleet_layout
from .operator import SoakOperator
from .processes import NodeProcesses
from .stand_ins import StandIns

NODE_COMMAND = (sys.executable, "-m", "mapleline", "balancer")
START_TIMEOUT_S = 90.0
SETTLE_TIMEOUT_S = 30.0
LOOP_LAG_PERIOD_S = 0.02
LIMIT_CHANGES = ["limits", "limits", "limits", "routes"]
ALL_CHANGES = ["limits", "limits", "limits back", "tenants", "routes", "homes"]


@dataclass(frozen=True, slots=True)
class SoakOptions:
    """Options of one soak test.

    Attributes:
        seed: Seed of all random choices.
        node_count: Number of node processes.
        duration_s: Duration of the load.
        load: Factor on the clients' request rates.
        command: Command line of a node process.
    """

    seed: int
    node_count: int = 12
    duration_s: float = 20.0
    load: float = 1.0
    command: tuple[str, ...] = NODE_COMMAND


@dataclass(frozen=True, slots=True)
class SoakProfile:
    """Random parameters of one soak test.

    Attributes:
        change_period_s: Mean pause between configuration changes.
        fault_period_s: Mean pause between faults; None for no faults.
        break_off_rate: Share of answers that servers drop by closing the connection.
        changes: Kinds of configuration changes to choose from.
    """

    change_period_s: float
    fault_period_s: float | None
    break_off_rate: float
    changes: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class SoakResult:
    """Result of one soak test."""

    options: SoakOptions
    profile: SoakProfile
    violations: list[Violation]
    uses: list[QuotaUse]
    statuses: Counter[str]
    history: SoakHistory

    def summary(self) -> str:
        """Return the result as one line."""
        fullest = ", ".join(f"{use.tenant} {use.count}/{use.allowed:.0f}" for use in self.uses)
        statuses = ", ".join(f"{name} {count}" for name, count in sorted(self.statuses.items()))
        acknowledged = sum(order.status == 200 for order in self.history.orders)
        verdict = f"{len(self.violations)} BROKEN" if self.violations else "holds"
        return (
            f"seed {self.options.seed}, {self.options.node_count} nodes: {verdict}; {fullest}; {statuses}; "
            f"{acknowledged} of {len(self.history.orders)} orders, {len(self.history.process_events)} process events, "
            f"loop lag {self.history.max_loop_lag_s:.2f} s; {self.profile}"
        )


def node_command(text: str) -> tuple[str, ...]:
    """Return the command line of a node, split as by a shell; this program if `text` is empty."""
    return tuple(shlex.split(text)) or NODE_COMMAND


def draw_profile(rng: random.Random) -> SoakProfile:
    """Return random parameters for one soak test."""
    return SoakProfile(
        change_period_s=rng.choice([0.3, 0.5, 0.8, 2.0, 4.0]),
        fault_period_s=rng.choice([None, 0.6, 1.0, 2.0, 5.0]),
        break_off_rate=rng.choice([0.0, 0.0, 0.02, 0.1]),
        changes=tuple(rng.choice([LIMIT_CHANGES, ALL_CHANGES])),
    )


async def run_soak(options: SoakOptions, folder: Path) -> SoakResult:
    """Run one soak test; settings, data and logs are stored under `folder`.

    Raises:
        TimeoutError: Nodes are not ready `START_TIMEOUT_S` after their first start.
    """
    rng = random.Random(options.seed)
    profile = draw_profile(rng)
    layout, history = fleet_layout(options.node_count), SoakHistory()
    stand_ins = StandIns(history, rng, profile.break_off_rate)
    processes = NodeProcesses(layout, folder, history, list(options.command))
    operator = SoakOperator(layout, history, rng)
    lag_task = asyncio.create_task(_watch_loop_lag(history))
    await stand_ins.start()
    try:
        for node in layout.nodes:
            await processes.start(node, is_initial=True)
        await operator.put_first()
        unready_nodes = await processes.wait_until_ready(list(layout.nodes), START_TIMEOUT_S)
        if unready_nodes:
            raise TimeoutError(f"not ready: {', '.join(node.name for node in unready_nodes)}")
        history.max_loop_lag_s = 0.0
        await _run_load_and_faults(
            options, profile, ClientTraffic(layout.nodes, history, rng, options.load), operator, processes, rng
        )
        await processes.wait_until_ready(layout.disk_nodes, SETTLE_TIMEOUT_S)
        await operator.read_back()
        processes.check_running()
    finally:
        lag_task.cancel()
        await processes.stop()
        stand_ins.stop()
    statuses = Counter(
        str(attempt.status) if attempt.status else attempt.end.value if attempt.end else "open"
        for attempt in history.attempts.values()
    )
    return SoakResult(options, profile, judge(history), quota_uses(history), statuses, history)


async def _run_load_and_faults(
    options: SoakOptions,
    profile: SoakProfile,
    traffic: ClientTraffic,
    operator: SoakOperator,
    processes: NodeProcesses,
    rng: random.Random,
) -> None:
    """Run load, configuration changes and faults concurrently."""
    layout = fleet_layout(options.node_count)
    async with asyncio.TaskGroup() as group:
        group.create_task(traffic.run(options.duration_s))
        group.create_task(operator.run(options.duration_s, profile.change_period_s, list(profile.changes)))
        if profile.fault_period_s is not None:
            series = FaultSeries(layout, processes, rng)
            group.create_task(series.run(options.duration_s, profile.fault_period_s))


async def _watch_loop_lag(history: SoakHistory) -> None:
    """Record the greatest delay of the event loop, sampled every `LOOP_LAG_PERIOD_S`."""
    loop = asyncio.get_running_loop()
    while True:
        due_at = loop.time() + LOOP_LAG_PERIOD_S
        await asyncio.sleep(LOOP_LAG_PERIOD_S)
        history.max_loop_lag_s = max(history.max_loop_lag_s, loop.time() - due_at)
