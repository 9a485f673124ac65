"""The processes of a fleet: ingresses and stand-ins, each under its name."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import IO

import orjson

from ..errors import ProcessNotStartedError

USER_TICKS_FIELD = 11  # of /proc/PID/stat, counted behind the command's name (proc(5): utime, then stime)
SYSTEM_TICKS_FIELD = 12
SERVERS_MODULE = "mapleline.faults.servers"
STANDINS_MODULE = "mapleline.lab.standins"


class ChildProcess:
    """One process, which may be started anew."""

    def __init__(self, name: str) -> None:
        """Begin without a process; `start` starts it."""
        self.name = name
        self.is_end_expected = False  #: the schedule or the rig has ended it
        self.is_end_reported = False  #: its end is in the log
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def is_started(self) -> bool:
        """Whether it was started, even if it has ended since."""
        return self._process is not None

    @property
    def has_ended(self) -> bool:
        """Whether it was started and has ended."""
        return self._process is not None and self._process.poll() is not None

    @property
    def pid(self) -> int:
        """Its process id."""
        return self._require_process().pid

    @property
    def exit_status(self) -> int | None:
        """Its status, or the negated signal that killed it; None while it runs."""
        return self._require_process().returncode

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, if it runs."""
        if self._process is not None and not self.has_ended:
            os.kill(self._process.pid, number)

    def kill(self) -> None:
        """Kill it and wait for its end."""
        self.signal(signal.SIGKILL)
        self._require_process().wait()

    def wait(self, timeout_s: float) -> None:
        """Wait for its end; it is killed if that takes too long."""
        process = self._require_process()
        try:
            process.wait(timeout=timeout_s)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()

    def cpu_s(self) -> float | None:
        """Seconds of processor time that it has used, user and system; None if it does not run."""
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
    """An ingress: the real program, with its configuration and its log in files."""

    def __init__(self, name: str, port: int, config_file: Path, settings_file: Path | None, log: IO[bytes]) -> None:
        """Begin without a process.

        Args:
            name: Its name.
            port: Where it listens.
            config_file: The platform's configuration of it.
            settings_file: Its own settings; None for the defaults.
            log: Where its standard error goes.
        """
        super().__init__(name)
        self.port = port
        self.config_file = config_file
        self._settings_file = settings_file
        self._log = log

    def start(self) -> None:
        """Start it, with the files as they are now."""
        arguments = [sys.executable, "-O", "-m", "mapleline"]
        if self._settings_file is not None:
            arguments += ["run", "--settings", str(self._settings_file)]
        environment = {**os.environ, "EDGE_CONFIG": str(self.config_file)}
        self._spawn(arguments, subprocess.DEVNULL, environment, self._log)


class StandInProcess(ChildProcess):
    """A stand-in for a party beside the ingresses: it prints its ports as one JSON line when it listens."""

    def __init__(self, name: str, module: str, settings: str) -> None:
        """Begin without a process.

        Args:
            name: Its name.
            module: The Python module to run.
            settings: The JSON that the module takes on its command line; a restart may change it.
        """
        super().__init__(name)
        self.settings = settings
        self.ports: list[int] = []  #: as it printed them
        self._module = module

    def start(self) -> None:
        """Start it; `read_ports` waits until it listens."""
        self._spawn([sys.executable, "-m", self._module, self.settings], subprocess.PIPE)

    def read_ports(self) -> list[int]:
        """Its ports, once it has printed them; none if it has ended.  Blocks: for a thread while the reactor runs."""
        output = self._require_process().stdout
        line = output.readline() if output is not None else b""
        ports: list[int] = orjson.loads(line) if line else []
        return ports
