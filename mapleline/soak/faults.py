"""Fault injection of a soak test: seeded signals, kills and restarts that may overlap."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine

from .history import ProcessEventKind
from .layout import FleetLayout, NodeSpec
from .processes import NodeProcesses

CATCH_UP_S = 4.0
"""Time after its start for which a node with a disk still counts as lost.

The settings tolerate the loss of one such node at a time (`fault_tolerance`).
"""
MAX_DOWN_S = 2.0
MAX_PAUSED_S = 3.0
MAX_MASS_KILL_SHARE = 0.5
BURST_FAULTS = 4
BURST_GAP_S = 0.4

Fault = Callable[[], Coroutine[None, None, None]]


class FaultSeries:
    """Injects faults periodically, without waiting for earlier ones to end."""

    def __init__(self, layout: FleetLayout, processes: NodeProcesses, rng: random.Random) -> None:
        """Initialise without injecting anything."""
        self._layout = layout
        self._processes = processes
        self._rng = rng
        self._faulty_nodes: set[str] = set()
        self._open_faults: set[asyncio.Task[None]] = set()
        self._disk_node_lost_until = 0.0

    async def run(self, duration_s: float, period_s: float) -> None:
        """Inject faults for `duration_s` seconds and wait until all have ended.

        The pause between two faults is 0.5 to 1.5 times `period_s`.
        """
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + duration_s
        while loop.time() < ends_at:
            await asyncio.sleep(period_s * self._rng.uniform(0.5, 1.5))
            self._processes.check_running()
            fault = self._rng.choice(
                [self._inject_one, self._inject_one, self._inject_one, self._inject_burst, self._kill_many]
            )
            task = loop.create_task(fault())
            self._open_faults.add(task)
            task.add_done_callback(self._open_faults.discard)
        if self._open_faults:
            await asyncio.wait(self._open_faults)

    async def _inject_one(self) -> None:
        """Inject a random fault into one node."""
        node = self._reserve_node()
        if node is None:
            return
        try:
            await self._rng.choice([self._restart, self._restart, self._kill, self._kill, self._pause, self._reload])(
                node
            )
        finally:
            self._release_node(node)

    async def _inject_burst(self) -> None:
        """Inject single faults `BURST_GAP_S` apart, so that they overlap."""
        tasks = []
        for _ in range(BURST_FAULTS):
            tasks.append(asyncio.get_running_loop().create_task(self._inject_one()))
            await asyncio.sleep(BURST_GAP_S)
        await asyncio.gather(*tasks)

    async def _kill_many(self) -> None:
        """Kill up to `MAX_MASS_KILL_SHARE` of the free nodes without a disk at the same moment."""
        nodes = [node for node in self._layout.nodes if not node.has_disk and node.name not in self._faulty_nodes]
        killed_nodes = self._rng.sample(nodes, int(len(nodes) * self._rng.uniform(0.0, MAX_MASS_KILL_SHARE)))
        self._faulty_nodes.update(node.name for node in killed_nodes)
        down_s = self._rng.uniform(0.0, MAX_DOWN_S)
        await asyncio.gather(*(self._kill(node, down_s) for node in killed_nodes))
        for node in killed_nodes:
            self._release_node(node)

    async def _restart(self, node: NodeSpec) -> None:
        await self._processes.terminate(node)
        await asyncio.sleep(self._rng.uniform(0.0, MAX_DOWN_S))
        await self._processes.start(node)

    async def _kill(self, node: NodeSpec, down_s: float | None = None) -> None:
        await self._processes.kill(node)
        await asyncio.sleep(self._rng.uniform(0.0, MAX_DOWN_S) if down_s is None else down_s)
        await self._processes.start(node)

    async def _pause(self, node: NodeSpec) -> None:
        self._processes.signal(node, ProcessEventKind.STOP)
        await asyncio.sleep(self._rng.uniform(0.2, MAX_PAUSED_S))
        self._processes.signal(node, ProcessEventKind.CONTINUE)

    async def _reload(self, node: NodeSpec) -> None:
        self._processes.signal(node, ProcessEventKind.RELOAD)

    def _reserve_node(self) -> NodeSpec | None:
        """Reserve and return a random node without a fault, or None.

        A node with a disk is eligible only while no other node with a disk is lost.
        """
        now = asyncio.get_running_loop().time()
        free = [
            node
            for node in self._layout.nodes
            if node.name not in self._faulty_nodes and (not node.has_disk or now >= self._disk_node_lost_until)
        ]
        if not free:
            return None
        node = self._rng.choice(free)
        self._faulty_nodes.add(node.name)
        if node.has_disk:
            self._disk_node_lost_until = float("inf")
        return node

    def _release_node(self, node: NodeSpec) -> None:
        self._faulty_nodes.discard(node.name)
        if node.has_disk:
            self._disk_node_lost_until = asyncio.get_running_loop().time() + CATCH_UP_S
