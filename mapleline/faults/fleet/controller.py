"""The controller of a fleet: starts it, generates load, runs the schedule and stops it."""

from __future__ import annotations

import random
import signal
from dataclasses import asdict
from pathlib import Path
from typing import cast

from twisted.internet.task import LoopingCall

from ..load import LoadGenerator
from ..logs import EventLogs
from ..reactor import Reactor
from ..schedule import Schedule
from .fault_player import FaultPlayer
from .parties import FleetOptions, Parties
from .preconditions import Preconditions, ServerRecords
from .processes import IngressProcess
from .readiness import START_TIMEOUT_S
from .startup import start_parties

END_CHECK_INTERVAL_S = 0.05  # period of the check for processes that have exited


class Controller:
    """One run of a schedule; `run` returns once all processes have exited.

    Attributes:
        reactor: Twisted's reactor, which can run only once per process.
    """

    def __init__(self, schedule: Schedule, directory: Path, options: FleetOptions | None = None) -> None:
        """Initialise without starting processes.

        Args:
            schedule: Schedule to run.
            directory: Directory for the logs and the ingresses' files.
            options: Options of the fleet; None for the defaults.
        """
        from twisted.internet import reactor

        self.reactor = cast(Reactor, reactor)
        self._schedule = schedule
        self._logs = EventLogs(directory)
        self._parties = Parties(schedule, options or FleetOptions(), self._logs, directory, self.reactor)
        self._records = ServerRecords(schedule.fleet.zones, self._logs)
        self._load: LoadGenerator | None = None
        self._player: FaultPlayer | None = None

    @property
    def ingress_ports(self) -> dict[str, int]:
        """Port at which clients reach each ingress, by name."""
        return self._parties.ingress_ports

    def start(self) -> None:
        """Start every party, without load or faults."""
        start_parties(self._parties)

    def run(self) -> None:
        """Start the fleet, run the schedule under its load, and stop."""
        self.start()
        fleet = self._schedule.fleet
        self._logs.write("fleet", "load begun", **asdict(fleet), own=asdict(self._schedule.program_settings))
        LoopingCall(self._report_ends).start(END_CHECK_INTERVAL_S, now=False)
        self._load = LoadGenerator(
            self.reactor,
            self._parties.ingress_ports,
            self._parties.members,
            fleet,
            self._logs,
            random.Random(fleet.seed),
            has_own_answers=self._parties.options.is_bare,
        )
        self._player = FaultPlayer(self._parties, Preconditions(self._logs, self._records, self._load))
        self._player.schedule(self._schedule.faults)
        self._load.start(fleet.seconds)
        self.reactor.callLater(fleet.seconds + fleet.grace, self.stop)
        self.reactor.run(installSignalHandlers=True)
        self.finish()

    def stop(self) -> None:
        """End the load, terminate every process, and stop the reactor."""
        if self._load is not None:
            self._load.finish()
        if self._player is not None:
            self._player.report_never_begun()
        self._logs.write("fleet", "load ended")
        for process in self._parties.processes.values():
            cpu_s = process.cpu_s() if isinstance(process, IngressProcess) else None
            if cpu_s is not None:
                self._logs.write("fleet", "process cpu", process=process.name, seconds=cpu_s)
            process.is_end_expected = True
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGTERM)
        self.reactor.callLater(0, self.reactor.stop)

    def finish(self) -> None:
        """Wait for the processes to exit and close files and links; the reactor must have stopped."""
        for process in self._parties.processes.values():
            if not process.is_started:
                continue
            process.wait(START_TIMEOUT_S)
            if not process.is_end_reported:
                self._parties.report_end(process)
        self._logs.close()
        self._records.close()
        for link in self._parties.links.values():
            link.close()

    def _report_ends(self) -> None:
        for process in self._parties.processes.values():
            if process.has_ended and not process.is_end_reported:
                self._parties.report_end(process)
