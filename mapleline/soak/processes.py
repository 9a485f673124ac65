"""Control of the node processes of a soak test."""

from __future__ import annotations

import asyncio
import os
import signal
from pathlib import Path

from .history import ProcessEvent, ProcessEventKind, SoakHistory
from .http_io import NO_ANSWER_ERRORS, encode_message, exchange
from .layout import GRACE_PERIOD_S, READY_PORT, FleetLayout, NodeSpec

STATUS_OK = 200
READY_TIMEOUT_S = 1.0
READY_POLL_S = 0.3
EXIT_SLACK_S = 4.0
"""Time beyond the grace period that a process may take to exit."""

SIGNALS = {
    ProcessEventKind.TERMINATE: signal.SIGTERM,
    ProcessEventKind.KILL: signal.SIGKILL,
    ProcessEventKind.STOP: signal.SIGSTOP,
    ProcessEventKind.CONTINUE: signal.SIGCONT,
    ProcessEventKind.RELOAD: signal.SIGHUP,
}


class NodeProcesses:
    """Processes of all nodes; each runs `command`, with the path of its settings file in `MAPLELINE_CONFIG`."""

    def __init__(self, layout: FleetLayout, folder: Path, history: SoakHistory, command: list[str]) -> None:
        """Initialise without starting anything; settings, data and logs are stored under `folder`."""
        self._layout = layout
        self._folder = folder
        self._history = history
        self._command = command
        self._processes: dict[str, asyncio.subprocess.Process] = {}

    def is_running(self, node: NodeSpec) -> bool:
        """Return whether the node has a process that the rig has not terminated or killed."""
        return node.name in self._processes

    async def start(self, node: NodeSpec, *, is_initial: bool = False) -> None:
        """Start a node's process, unless it has one.

        Args:
            node: The node.
            is_initial: Whether the whole fleet starts for the first time.
        """
        if node.name in self._processes:
            return
        data_folder = self._folder / node.name
        data_folder.mkdir(exist_ok=True)
        settings = self._folder / f"{node.name}.conf"
        settings.write_text(self._layout.settings_text(node, data_folder, is_initial=is_initial))
        with (self._folder / f"{node.name}.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                *self._command, env={**os.environ, "MAPLELINE_CONFIG": str(settings)}, stdout=log, stderr=log
            )
        self._processes[node.name] = process
        self._record(node, ProcessEventKind.START)

    def signal(self, node: NodeSpec, kind: ProcessEventKind) -> None:
        """Send a signal to a node's process, if it has one."""
        process = self._processes.get(node.name)
        if process is None or process.returncode is not None:
            return
        process.send_signal(SIGNALS[kind])
        self._record(node, kind)

    async def kill(self, node: NodeSpec) -> None:
        """Kill a node's process, if it has one, and wait until it has exited."""
        self.signal(node, ProcessEventKind.KILL)
        process = self._processes.pop(node.name, None)
        if process is not None:
            await process.wait()

    async def terminate(self, node: NodeSpec) -> None:
        """Send SIGTERM to a node's process and wait until it has exited.

        The process is killed, and recorded as stuck, if it outlives its grace period by `EXIT_SLACK_S`.
        """
        self.signal(node, ProcessEventKind.TERMINATE)
        process = self._processes.pop(node.name, None)
        if process is None:
            return
        try:
            async with asyncio.timeout(GRACE_PERIOD_S + EXIT_SLACK_S):
                status = await process.wait()
            self._record(node, ProcessEventKind.EXIT, status)
        except TimeoutError:
            self._record(node, ProcessEventKind.STUCK)
            process.kill()
            await process.wait()

    def check_running(self) -> None:
        """Record processes that have exited on their own; an exit with status 0 is recorded as 1."""
        for node in self._layout.nodes:
            process = self._processes.get(node.name)
            if process is not None and process.returncode is not None:
                self._record(node, ProcessEventKind.EXIT, process.returncode or 1)
                del self._processes[node.name]

    async def stop(self) -> None:
        """Kill all remaining processes and wait for their exit."""
        for process in self._processes.values():
            if process.returncode is None:
                process.kill()
        for process in self._processes.values():
            await process.wait()
        self._processes.clear()

    async def wait_until_ready(self, nodes: list[NodeSpec], timeout_s: float) -> list[NodeSpec]:
        """Wait up to `timeout_s` seconds until nodes are ready; return those that are not."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + timeout_s
        waiting = list(nodes)
        while waiting and loop.time() < ends_at:
            ready = await asyncio.gather(*(_is_ready(node) for node in waiting))
            waiting = [node for node, is_ready in zip(waiting, ready, strict=True) if not is_ready]
            if waiting:
                await asyncio.sleep(READY_POLL_S)
        return waiting

    def _record(self, node: NodeSpec, kind: ProcessEventKind, status: int = 0) -> None:
        now = asyncio.get_running_loop().time()
        self._history.process_events.append(ProcessEvent(now, node.name, kind, status))


async def _is_ready(node: NodeSpec) -> bool:
    data = encode_message("GET /ready HTTP/1.1", {"Host": node.host})
    try:
        return (await exchange(node.host, READY_PORT, data, READY_TIMEOUT_S)).status == STATUS_OK
    except NO_ANSWER_ERRORS:
        return False
