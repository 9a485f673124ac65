"""The processes of a fleet: ingresses and stand-ins, each with a name."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import IO

import orjson

from ..errors import ProcessNotStartedError

USER_TICKS_FIELD = 11  # index in /proc/PID/stat after the command's name; utime, then stime in proc(5)
SYSTEM_TICKS_FIELD = 12
SERVERS_MODULE = "mapleline.faults.servers"
STANDINS_MODULE = "mapleline.lab.standins"


class ChildProcess:
    """A named child process, which can be restarted."""

    def __init__(self, name: str) -> None:
        """Initialise without starting a process."""
        self.name = name
        self.is_end_expected = False  #: whether the schedule or the rig has ended it
        self.is_end_reported = False  #: whether its end is in the log
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def is_started(self) -> bool:
        """Whether the process was started, even if it has exited since."""
        return self._process is not None

    @property
    def has_ended(self) -> bool:
        """Whether the process was started and has exited."""
        return self._process is not None and self._process.poll() is not None

    @property
    def pid(self) -> int:
        """Process id."""
        return self._require_process().pid

    @property
    def exit_status(self) -> int | None:
        """Exit status, or the negated signal that killed the process; None while it runs."""
        return self._require_process().returncode

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process runs."""
        if self._process is not None and not self.has_ended:
            os.kill(self._process.pid, number)

    def kill(self) -> None:
        """Kill the process and wait for its exit."""
        self.signal(signal.SIGKILL)
        self._require_process().wait()

    def wait(self, timeout_s: float) -> None:
        """Wait for the exit of the process; kill it after `timeout_s` seconds."""
        process = self._require_process()
        try:
            process.wait(timeout=timeout_s)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()

    def cpu_s(self) -> float | None:
        """Return the user and system CPU time in seconds; None if the process doesn't run."""
        if self._process is None:
            return None
        try:
            stat = Path(f"/proc/{self._process.pid}/stat").read_text()
        except OSError:
            return None
        fields = stat.rpartition(") ")[2].split()
        ticks = int(fields[USER_TICKS_FIELD]) + int(fields[SYSTEM_TICKS_FIELD])
        return ticks / os.sysconf("SC_CLK_TCK")

    def _spawn(
        self,
        arguments: list[str],
        stdout: int,
        environment: dict[str, str] | None = None,
        stderr: IO[bytes] | None = None,
    ) -> None:
        self.is_end_expected = False
        self.is_end_reported = False
        self._process = subprocess.Popen(
            arguments,
            env=environment,
            stdin=subprocess.PIPE,
            stdout=stdout,
            stderr=stderr or subprocess.DEVNULL,
        )

    def _require_process(self) -> subprocess.Popen[bytes]:
        if self._process is None:
            raise ProcessNotStartedError(f"{self.name} has not been started")
        return self._process


class IngressProcess(ChildProcess):
    """An ingress: a process of the real program, with its configuration and log in files."""

    def __init__(self, name: str, port: int, config_file: Path, settings_file: Path | None, log: IO[bytes]) -> None:
        """Initialise without starting a process.

        Args:
            name: Name of the process.
            port: Port at which it listens.
            config_file: File with the platform's configuration.
            settings_file: File with its own settings; None for the defaults.
            log: File that receives its standard error.
        """
        super().__init__(name)
        self.port = port
        self.config_file = config_file
        self._settings_file = settings_file
        self._log = log

    def start(self) -> None:
        """Start the process with the current contents of its files."""
        arguments = [sys.executable, "-O", "-m", "mapleline"]
        if self._settings_file is not None:
            arguments += ["run", "--settings", str(self._settings_file)]
        environment = {**os.environ, "EDGE_CONFIG": str(self.config_file)}
        self._spawn(arguments, subprocess.DEVNULL, environment, self._log)


class StandInProcess(ChildProcess):
    """A simulated party; it prints its ports as one JSON line when it listens."""

    def __init__(self, name: str, module: str, settings: str) -> None:
        """Initialise without starting a process.

        Args:
            name: Name of the process.
            module: The Python module to run.
            settings: JSON argument of the module; a restart may change it.
        """
        super().__init__(name)
        self.settings = settings
        self.ports: list[int] = []  #: ports that the process printed
        self._module = module

    def start(self) -> None:
        """Start the process; `read_ports` waits until it listens."""
        self._spawn([sys.executable, "-m", self._module, self.settings], subprocess.PIPE)

    def read_ports(self) -> list[int]:
        """Return the ports that the process prints; empty if it has exited.

        The call blocks, so it needs a thread of its own while the reactor runs.
        """
        output = self._require_process().stdout
        line = output.readline() if output is not None else b""
        ports: list[int] = orjson.loads(line) if line else []
        return ports
