"""Faults of a soak: signals, kills and restarts in series that overlap, seeded."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine

from .history import ProcessEventKind
from .layout import FleetLayout, NodeSpec
from .processes import NodeProcesses

CATCH_UP_S = 4.0
"""So long after its start a node with a disk counts as lost: one at a time is (`fault_tolerance`)."""
MAX_DOWN_S = 2.0
MAX_STOPPED_S = 3.0
HERD_SHARE = 0.5
SERIES_LENGTH = 4
SERIES_GAP_S = 0.4

Fault = Callable[[], Coroutine[None, None, None]]


class FaultSeries:
    """Injects one fault after the other, without waiting for the last one to end."""

    def __init__(self, layout: FleetLayout, processes: NodeProcesses, rng: random.Random) -> None:
        """Inject nothing yet."""
        self._layout = layout
        self._processes = processes
        self._rng = rng
        self._busy: set[str] = set()
        self._open: set[asyncio.Task[None]] = set()
        self._lost_disk_until = 0.0

    async def run(self, duration_s: float, period_s: float) -> None:
        """Inject a fault each period, and wait until all have ended."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + duration_s
        while loop.time() < ends_at:
            await asyncio.sleep(period_s * self._rng.uniform(0.5, 1.5))
            self._processes.check_running()
            fault = self._rng.choice([self._one, self._one, self._one, self._series, self._herd])
            task = loop.create_task(fault())
            self._open.add(task)
            task.add_done_callback(self._open.discard)
        if self._open:
            await asyncio.wait(self._open)

    async def _one(self) -> None:
        """Befall one node with something."""
        node = self._take()
        if node is None:
            return
        try:
            await self._rng.choice([self._restart, self._restart, self._kill, self._kill, self._stop, self._reload])(
                node
            )
        finally:
            self._release(node)

    async def _series(self) -> None:
        """Restart or kill a few nodes one shortly after the other."""
        tasks = []
        for _ in range(SERIES_LENGTH):
            tasks.append(asyncio.get_running_loop().create_task(self._one()))
            await asyncio.sleep(SERIES_GAP_S)
        await asyncio.gather(*tasks)

    async def _herd(self) -> None:
        """Kill many nodes without a disk at the same moment."""
        nodes = [node for node in self._layout.nodes if not node.has_disk and node.name not in self._busy]
        herd = self._rng.sample(nodes, int(len(nodes) * self._rng.uniform(0.0, HERD_SHARE)))
        self._busy.update(node.name for node in herd)
        down_s = self._rng.uniform(0.0, MAX_DOWN_S)
        await asyncio.gather(*(self._kill(node, down_s) for node in herd))
        for node in herd:
            self._release(node)

    async def _restart(self, node: NodeSpec) -> None:
        await self._processes.terminate(node)
        await asyncio.sleep(self._rng.uniform(0.0, MAX_DOWN_S))
        await self._processes.start(node)

    async def _kill(self, node: NodeSpec, down_s: float | None = None) -> None:
        await self._processes.kill(node)
        await asyncio.sleep(self._rng.uniform(0.0, MAX_DOWN_S) if down_s is None else down_s)
        await self._processes.start(node)

    async def _stop(self, node: NodeSpec) -> None:
        self._processes.signal(node, ProcessEventKind.STOP)
        await asyncio.sleep(self._rng.uniform(0.2, MAX_STOPPED_S))
        self._processes.signal(node, ProcessEventKind.CONTINUE)

    async def _reload(self, node: NodeSpec) -> None:
        self._processes.signal(node, ProcessEventKind.RELOAD)

    def _take(self) -> NodeSpec | None:
        """Return a node that nothing befalls; one with a disk only while no other is lost."""
        now = asyncio.get_running_loop().time()
        free = [
            node
            for node in self._layout.nodes
            if node.name not in self._busy and (not node.has_disk or now >= self._lost_disk_until)
        ]
        if not free:
            return None
        node = self._rng.choice(free)
        self._busy.add(node.name)
        if node.has_disk:
            self._lost_disk_until = float("inf")
        return node

    def _release(self, node: NodeSpec) -> None:
        self._busy.discard(node.name)
        if node.has_disk:
            self._lost_disk_until = asyncio.get_running_loop().time() + CATCH_UP_S
