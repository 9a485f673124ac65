"""The parties of a fleet: their processes, the links between them, and the discovery agent of each ingress."""

from __future__ import annotations

import fnmatch
import time
from dataclasses import dataclass
from pathlib import Path

import orjson

from ..discovery import Agent
from ..logs import EventLogs
from ..proxy import Link
from ..reactor import Reactor
from ..schedule import Schedule
from ..zone_settings import ZoneSettings
from .ingress_files import IngressFiles
from .platform_settings import OVERLOAD_FACTOR, OVERLOAD_WINDOW_S
from .processes import SERVERS_MODULE, STANDINS_MODULE, ChildProcess, IngressProcess, StandInProcess

INGRESS_PREFIX = "ingress-"
ZONE_PREFIX = "zone-"
SERVER_SEPARATOR = "#"  # precedes the server number in the name of a link: `ingress-0>zone-a#1`
SERVER_DOWN_S = 3.0  # downtime after a server fell over
MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class FleetOptions:
    """Options of a fleet.

    Attributes:
        is_bare: Run a stand-in agenda server in place of each ingress.  It has no defences, so every fault shows.
        has_counter_each: Give every ingress a counter of its own.  The checker must report the resulting violations.
    """

    is_bare: bool = False
    has_counter_each: bool = False


class Parties:
    """All processes and links, with the operations on them that the schedule needs.

    Attributes:
        schedule: Schedule of the run.
        options: Options of the fleet.
        logs: Logs to which events are written.
        reactor: The event loop.
        files: Files of the ingresses.
        processes: Processes by name; some may not have been started yet.
        links: Links by name; each server of a zone has one.
        agents: Discovery agents, by ingress.
        ingress_ports: Port of the load's link to each ingress, by name.
        members: Ingresses that receive load, as if a load balancer in front had selected them.
    """

    def __init__(
        self, schedule: Schedule, options: FleetOptions, logs: EventLogs, directory: Path, reactor: Reactor
    ) -> None:
        """Initialise without parties; `startup` starts them."""
        self.schedule = schedule
        self.options = options
        self.logs = logs
        self.reactor = reactor
        self.files = IngressFiles(directory, schedule.program_settings)
        self.processes: dict[str, ChildProcess] = {}
        self.links: dict[str, Link] = {}
        self.agents: dict[str, Agent] = {}
        self.ingress_ports: dict[str, int] = {}
        self.members: set[str] = set()

    # -- processes -------------------------------------------------------------------------------------------

    def start_ingress(self, ingress: IngressProcess) -> None:
        """Start or restart an ingress."""
        ingress.start()
        self.logs.write("fleet", "process started", process=ingress.name, pid=ingress.pid)

    def start_stand_in(self, name: str, settings: dict[str, object]) -> list[int]:
        """Start a stand-in of `lab.standins` and return its ports."""
        return self._start_stand_in(StandInProcess(name, STANDINS_MODULE, orjson.dumps(settings).decode()))

    def start_zone(self, zone: str) -> list[int]:
        """Start the servers of a zone in the warm state and return their ports."""
        settings = self.zone_settings(zone, is_cold=False)
        return self._start_stand_in(StandInProcess(f"{ZONE_PREFIX}{zone}", SERVERS_MODULE, settings.to_json()))

    def zone_settings(self, zone: str, is_cold: bool) -> ZoneSettings:
        """Return the settings for the process of a zone's servers."""
        fleet = self.schedule.fleet
        return ZoneSettings(
            zone=zone,
            servers=fleet.servers,
            record=str(self.logs.path_of(f"{ZONE_PREFIX}{zone}")),
            work_s=fleet.work_ms / MS_PER_S,
            slots=fleet.slots,
            capacity_per_s=fleet.bears_per_s,
            cold_share=fleet.cold_from,
            warm_up_s=fleet.warm_s,
            overload_factor=OVERLOAD_FACTOR,
            overload_window_s=OVERLOAD_WINDOW_S,
            down_s=SERVER_DOWN_S,
            is_cold=is_cold,
        )

    def report_end(self, process: ChildProcess) -> None:
        """Log that a process has exited."""
        process.is_end_reported = True
        self.logs.write(
            "fleet",
            "process ended",
            process=process.name,
            status=process.exit_status,
            by_schedule=process.is_end_expected,
        )

    def report_start(self, ingress: IngressProcess, is_ready: bool) -> None:
        """Log whether an ingress became ready."""
        self.logs.write("fleet", "process ready" if is_ready else "process failed to start", process=ingress.name)

    def _start_stand_in(self, stand_in: StandInProcess) -> list[int]:
        self.processes[stand_in.name] = stand_in
        stand_in.start()
        stand_in.ports = stand_in.read_ports()
        self.logs.write("fleet", "process started", process=stand_in.name, pid=stand_in.pid, ports=stand_in.ports)
        return stand_in.ports

    # -- links -----------------------------------------------------------------------------------------------

    def add_link(self, name: str, target_port: int) -> int:
        """Open a link to a port and return the port at which it listens."""
        link = self.links[name] = Link(name, target_port, self.reactor)
        if f">{ZONE_PREFIX}" in name:
            link.on_unanswered_request = lambda: self._report_unanswered_request(name)
        return link.listen()

    def links_matching(self, pattern: str) -> list[Link]:
        """Return the links that match a name in a schedule; a name of a zone matches the links to all its servers."""
        return [link for name, link in self.links.items() if fnmatch.fnmatchcase(_schedule_name(name), pattern)]

    def _report_unanswered_request(self, link: str) -> None:
        self.logs.write("fleet", "sent in vain", link=_schedule_name(link))

    # -- changes ---------------------------------------------------------------------------------------------

    def move_stand_in(self, stand_in: StandInProcess, ports: list[int]) -> None:
        """Redirect the links of a restarted stand-in to its new ports and update the discovery agents."""
        new_ports = dict(zip(stand_in.ports, ports, strict=True))
        for link in self.links.values():
            link.target_port = new_ports.get(link.target_port, link.target_port)
        stand_in.ports = ports
        self.logs.write("fleet", "process started", process=stand_in.name, pid=stand_in.pid)
        if stand_in.name.startswith(ZONE_PREFIX):
            zone = stand_in.name.removeprefix(ZONE_PREFIX)
            uids = [server_uid(zone, number) for number in range(len(ports))]
            for agent in self.agents.values():
                agent.set_boot_time(uids, int(time.time() * MS_PER_S))
        if stand_in.name.startswith(INGRESS_PREFIX):
            self.members.add(stand_in.name)


def server_uid(zone: str, number: int) -> str:
    """Return the name of a zone's server in discovery."""
    return f"s-{zone}{number}"


def _schedule_name(link: str) -> str:
    """Return the link's name in schedules, which has no server number."""
    return link.partition(SERVER_SEPARATOR)[0]
