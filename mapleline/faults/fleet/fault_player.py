"""Executes the schedule: begins and ends each fault at its time."""

from __future__ import annotations

import signal
from dataclasses import replace

from twisted.internet.threads import deferToThread

from ..modes import LinkMode, ProcessMode
from ..proxy import LinkFault
from ..schedule import ScheduledFault
from .parties import INGRESS_PREFIX, MS_PER_S, ZONE_PREFIX, Parties
from .preconditions import Preconditions
from .processes import ChildProcess, IngressProcess, StandInProcess
from .readiness import poll_until_ready
from .record_damage import damage_newest_record

PRECONDITION_INTERVAL_S = 0.02
#: Consecutive checks that must succeed; between them this process reads answers that arrived while it was not running.
PRECONDITION_CHECKS = 2


class FaultPlayer:
    """Begins and ends faults without blocking the reactor, which serves every link."""

    def __init__(self, parties: Parties, preconditions: Preconditions) -> None:
        """Initialise without timers; `schedule` sets them."""
        self._parties = parties
        self._preconditions = preconditions
        self._waiting: list[ScheduledFault] = []  # faults with a precondition that have not begun
        self._begin_functions = {
            ProcessMode.JOIN: self._begin_join,
            ProcessMode.LEAVE: self._begin_leave,
            ProcessMode.CLOCK: self._begin_clock,
            ProcessMode.STALL: self._begin_stall,
            ProcessMode.KILL: self._begin_kill,
            ProcessMode.RESTART: self._begin_restart,
            ProcessMode.REPLACE: self._begin_replace,
        }

    def schedule(self, faults: tuple[ScheduledFault, ...]) -> None:
        """Set a timer for each fault; the load begins now."""
        reactor = self._parties.reactor
        for fault in faults:
            if fault.has_precondition:
                self._waiting.append(fault)
                reactor.callLater(0 if fault.after else fault.at, self._check_precondition, fault)
                continue
            reactor.callLater(fault.at, self._begin, fault)
            if fault.ends_at is not None:
                reactor.callLater(fault.ends_at, self._end, fault)

    def report_never_begun(self) -> None:
        """Log the faults whose precondition was never met."""
        for fault in self._waiting:
            self._parties.logs.write("fleet", "fault never begun", fault=fault.name, process=fault.process)

    def _check_precondition(self, fault: ScheduledFault, met_checks: int = 0) -> None:
        """Set the timers of a fault once its precondition is met; until then, schedule another check."""
        reactor = self._parties.reactor
        met_checks = met_checks + 1 if self._preconditions.is_met(fault) else 0
        if met_checks < PRECONDITION_CHECKS:
            reactor.callLater(PRECONDITION_INTERVAL_S, self._check_precondition, fault, met_checks)
            return
        begins_in_s = fault.at if fault.after else 0.0
        reactor.callLater(begins_in_s, self._begin, fault)
        if fault.lasts > 0:
            reactor.callLater(begins_in_s + fault.lasts, self._end, fault)

    def _begin(self, fault: ScheduledFault) -> None:
        self._log("fault begun", fault)
        if fault.has_precondition:
            self._waiting.remove(fault)
        if fault.is_of_link:
            self._begin_link_fault(fault)
        else:
            self._begin_functions[ProcessMode(fault.mode)](fault)

    def _end(self, fault: ScheduledFault) -> None:
        """End a fault; the fault of a kill ends when the restarted process is ready."""
        if fault.mode == ProcessMode.KILL:
            self._restart(replace(fault, mode=ProcessMode.RESTART.value))
            return
        if fault.is_of_link:
            for link in self._parties.links_matching(fault.link):
                link.end_fault()
        elif fault.mode == ProcessMode.STALL:
            self._process(fault).signal(signal.SIGCONT)
        self._log("fault ended", fault)

    def _log(self, event: str, fault: ScheduledFault) -> None:
        self._parties.logs.write(
            "fleet", event, fault=fault.name, mode=fault.mode, link=fault.link, process=fault.process
        )

    def _process(self, fault: ScheduledFault) -> ChildProcess:
        return self._parties.processes[fault.process]

    # -- the modes -------------------------------------------------------------------------------------------

    def _begin_link_fault(self, fault: ScheduledFault) -> None:
        link_fault = LinkFault(
            mode=LinkMode(fault.mode),
            seed=fault.seed,
            delay_ms=fault.ms,
            jitter_ms=fault.jitter_ms,
            loss_share=fault.share,
            bytes_per_s=fault.bytes_per_s,
        )
        for link in self._parties.links_matching(fault.link):
            link.begin_fault(link_fault)

    def _begin_join(self, fault: ScheduledFault) -> None:
        process = self._process(fault)
        if isinstance(process, IngressProcess):
            self._start_ingress(fault, process)

    def _begin_leave(self, fault: ScheduledFault) -> None:
        process = self._process(fault)
        process.is_end_expected = True
        # The ingress answers readiness probes with 503 at once, so the load must go elsewhere.
        self._parties.members.discard(process.name)
        process.signal(signal.SIGTERM)

    def _begin_clock(self, fault: ScheduledFault) -> None:
        self._parties.files.write_settings(fault.process, fault.offset_s)
        self._process(fault).signal(signal.SIGHUP)

    def _begin_stall(self, fault: ScheduledFault) -> None:
        self._process(fault).signal(signal.SIGSTOP)

    def _begin_kill(self, fault: ScheduledFault) -> None:
        process = self._process(fault)
        process.is_end_expected = True
        process.kill()
        damage_newest_record(self._parties.files.store, process.name, fault.record)
        self._parties.report_end(process)
        self._parties.members.discard(process.name)  # it refuses connections, so the load must go elsewhere

    def _begin_restart(self, fault: ScheduledFault) -> None:
        self._begin_kill(fault)
        self._restart(fault)

    def _begin_replace(self, fault: ScheduledFault) -> None:
        """Start a new, empty counter and move the ingresses to it one after another."""
        parties = self._parties
        port = parties.start_stand_in("counter-new", {"kind": "counter"})[0]
        ingresses = [name for name in parties.processes if name.startswith(INGRESS_PREFIX)]
        for position, name in enumerate(ingresses):
            parties.links[f"{name}>counter-old"] = parties.links[f"{name}>counter"]
            link_port = parties.add_link(f"{name}>counter", port)
            delay_s = position * fault.jitter_ms / MS_PER_S / len(ingresses)
            parties.reactor.callLater(delay_s, self._move_to_counter, name, link_port)

    def _move_to_counter(self, ingress: str, port: int) -> None:
        self._parties.files.set_counter(ingress, port)
        self._parties.processes[ingress].signal(signal.SIGHUP)

    # -- restarts --------------------------------------------------------------------------------------------

    def _restart(self, fault: ScheduledFault) -> None:
        """Restart a process under its name; the fault ends when it is ready.

        An ingress keeps its configuration and port.  A stand-in gets new ports, to which its links are redirected.
        """
        process = self._process(fault)
        if isinstance(process, IngressProcess):
            self._start_ingress(fault, process)
        elif isinstance(process, StandInProcess):
            self._restart_stand_in(fault, process)

    def _start_ingress(self, fault: ScheduledFault, ingress: IngressProcess) -> None:
        self._parties.start_ingress(ingress)

        def handle_started(is_ready: bool) -> None:
            self._parties.report_start(ingress, is_ready)
            if is_ready:
                self._parties.members.add(ingress.name)
            self._end(fault)

        poll_until_ready(ingress, handle_started)

    def _restart_stand_in(self, fault: ScheduledFault, stand_in: StandInProcess) -> None:
        if stand_in.name.startswith(ZONE_PREFIX):
            zone = stand_in.name.removeprefix(ZONE_PREFIX)
            stand_in.settings = self._parties.zone_settings(zone, is_cold=True).to_json()
        stand_in.start()

        def handle_listening(ports: list[int]) -> None:
            self._parties.move_stand_in(stand_in, ports)
            self._end(fault)

        deferToThread(stand_in.read_ports).addCallback(handle_listening)
