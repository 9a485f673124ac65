"""The trial cluster: node processes, stand-ins for servers and platform, and HTTP requests to one node."""

from __future__ import annotations

import http.client
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from .layout import (
    CONTROL_PORT,
    FIRST_SERVER_PORT,
    FRONT_PORT,
    INITIAL_NODES,
    NODE_ADDRESSES,
    PLATFORM_ADDRESS,
    SERVERS_PER_ZONE,
    settings_text,
)
from .sample_configuration import API_KEY, HOST_NAME, SERVICE
from .stand_ins import PlatformInstance, PlatformStandIn, ServerStandIn

NO_ANSWER = 0
"""Stands for an HTTP status if a request got no answer."""
WAIT_TIMEOUT_S = 15.0
"""Maximum time to wait for a condition, a command or the end of a process."""
KILL_AFTER_S = 5.0
CLIENT_TIMEOUT_S = 3.0
COMMAND_TIMEOUT_S = 6.0
POLL_INTERVAL_S = 0.1


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """One HTTP request."""

    method: str
    path: str
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """Status and body of an answer; if there is none, `NO_ANSWER` and the reason."""

    status: int
    text: str


def wait_until(description: str, condition: Callable[[], bool]) -> str | None:
    """Poll a condition; return a fault if it does not hold within `WAIT_TIMEOUT_S`."""
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while not condition():
        if time.monotonic() > deadline:
            return f"not seen in {WAIT_TIMEOUT_S:g} s: {description}"
        time.sleep(POLL_INTERVAL_S)
    return None


class TrialCluster:
    """One node with a disk in each zone, another node that can join, and two stand-in servers in each zone."""

    def __init__(self, folder: Path) -> None:
        """Start the stand-ins; settings, logs and data of the nodes are stored in the folder."""
        self.folder = folder
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self.servers: dict[str, ServerStandIn] = {}
        instances = []
        for zone in INITIAL_NODES:
            for number in range(SERVERS_PER_ZONE):
                instances.append(self._start_server(zone, number))
        self._platform = PlatformStandIn(PLATFORM_ADDRESS, instances)

    def _start_server(self, zone: str, number: int) -> PlatformInstance:
        host, port = NODE_ADDRESSES[zone], FIRST_SERVER_PORT + number
        instance_id = f"i-{zone}-{number}"
        self.servers[instance_id] = ServerStandIn((host, port), instance_id)
        return PlatformInstance(instance_id, SERVICE, f"{host}:{port}", zone)

    # -- processes -----------------------------------------------------------------------------------------

    def start(self, name: str, is_initial: bool) -> None:
        """Start a node unless it is running."""
        if name in self._processes:
            return
        data_folder = self.folder / name
        data_folder.mkdir(exist_ok=True)
        settings = self.folder / f"{name}.conf"
        settings.write_text(settings_text(name, data_folder, is_initial))
        with self.log_path(name).open("ab") as log:
            self._processes[name] = subprocess.Popen(
                [sys.executable, "-m", "mapleline", "balancer"],
                env={**os.environ, "MAPLELINE_CONFIG": str(settings)},
                stdout=log,
                stderr=log,
            )

    def log_path(self, name: str) -> Path:
        """Return the path of a node's log."""
        return self.folder / f"{name}.log"

    def kill(self, name: str) -> None:
        """Kill a node if it is running."""
        process = self._processes.pop(name, None)
        if process is not None:
            process.kill()
            process.wait()

    def terminate(self, name: str) -> int:
        """Shut a node down gracefully; return its exit status."""
        process = self._processes.pop(name)
        process.terminate()
        return process.wait(WAIT_TIMEOUT_S)

    def suspend(self, name: str) -> None:
        """Suspend a node's process with SIGSTOP."""
        self._processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a suspended process."""
        self._processes[name].send_signal(signal.SIGCONT)

    def stop(self) -> None:
        """End all nodes and stand-ins."""
        for process in self._processes.values():
            process.send_signal(signal.SIGCONT)
            process.terminate()
        for process in self._processes.values():
            try:
                process.wait(KILL_AFTER_S)
            except subprocess.TimeoutExpired:
                process.kill()
        for server in (*self.servers.values(), self._platform):
            server.shutdown()

    # -- requests ------------------------------------------------------------------------------------------

    def call(self, name: str, port: int, request: HttpRequest, timeout_s: float = CLIENT_TIMEOUT_S) -> HttpAnswer:
        """Send a request to one node; redirects are not followed."""
        connection = http.client.HTTPConnection(NODE_ADDRESSES[name], port, timeout=timeout_s)
        try:
            connection.request(request.method, request.path, request.body, headers=request.headers)
            response = connection.getresponse()
            return HttpAnswer(response.status, response.read().decode())
        except (OSError, http.client.HTTPException) as error:
            return HttpAnswer(NO_ANSWER, str(error))
        finally:
            connection.close()

    def get(self, name: str, port: int, path: str, timeout_s: float = CLIENT_TIMEOUT_S) -> HttpAnswer:
        """GET a path from one node."""
        return self.call(name, port, HttpRequest("GET", path), timeout_s)

    def send_client_request(
        self,
        name: str,
        path: str,
        request_id: str,
        method: str = "GET",
        body: bytes = b"",
        timeout_s: float = CLIENT_TIMEOUT_S,
    ) -> HttpAnswer:
        """Send a client's request to a node's front port."""
        headers = {
            "Host": HOST_NAME,
            "Request-Id": request_id,
            "Deadline-Ms": "3000",
            "Authorization": f"Bearer {API_KEY}",
        }
        return self.call(name, FRONT_PORT, HttpRequest(method, path, body, headers), timeout_s)

    def replace_configuration(self, name: str, body: bytes) -> int:
        """Send a configuration until it is accepted, rejected or `WAIT_TIMEOUT_S` is over; return the last status."""
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        while True:
            request = HttpRequest("POST", "/config/replace", body)
            status = self.call(name, CONTROL_PORT, request, COMMAND_TIMEOUT_S).status
            if status not in (NO_ANSWER, 503) or time.monotonic() > deadline:
                return status
            time.sleep(POLL_INTERVAL_S)
