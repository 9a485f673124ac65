"""The world of the model: time, what is on its way, faults, and what operators want."""

from __future__ import annotations

from contextlib import suppress
from dataclasses import dataclass
from itertools import count

from mapleline.balancer.control.commands import ReplaceConfiguration
from mapleline.balancer.control.reconfiguration import FaultTolerance
from mapleline.balancer.control.state import Replica
from mapleline.balancer.transport.messages import Chosen, StateQuery, StateReport

from .disk_faults import DiskFaults
from .invariants import Invariants
from .machine import Machine
from .network import Network
from .node import Node
from .proposer import LOST_AFTER_S

START_S = 10.0
STEP_S = 0.001
MAX_BALLOT_STEPS = 50


@dataclass(frozen=True)
class Topology:
    """The machines of a world.

    Attributes:
        disks: machines with a disk at the first start.
        seeds: those that all processes know at the first start.
        readers: machines without a disk.
        spares: machines with a disk that may come later.
        machine_losses: losses to be tolerated at once.
    """

    disks: tuple[int, ...]
    seeds: tuple[int, ...]
    readers: tuple[int, ...]
    spares: tuple[int, ...]
    machine_losses: int


TOPOLOGIES = (
    Topology((1, 2, 3), (1, 2, 3), (9,), (4, 5), 1),
    Topology((1, 2, 3, 4), (1, 2, 3, 4), (9,), (5, 6), 1),
    Topology((1, 2, 3, 4, 5), (1, 2, 9), (9,), (6,), 2),
    Topology((1, 2, 3, 4, 5), (1, 2, 3), (9,), (6,), 2),
    Topology((1, 2, 3), (1, 8, 9), (8, 9), (4,), 1),
    Topology((1,), (1,), (9,), (2, 3, 4), 1),
)


class World:
    """Time moves by steps alone; what happens, and in which order, is the search's.

    Attributes:
        now: seconds.
        version: the highest version of a configuration that an operator has sent.
    """

    def __init__(self, topology=0):
        self.topology = TOPOLOGIES[topology]
        self.seed_ips = self.topology.seeds
        self.machine_losses = self.topology.machine_losses
        self.tolerance = FaultTolerance(self.machine_losses, 1)
        self.now = START_S
        self.version = 0
        self.network = Network()
        self.nonces = count(1)
        self.disk_ids = count(1)
        self.system_ids = count(1)
        self.invariants = Invariants(self)
        self.disk_faults = DiskFaults(self)
        self._spare_ips = list(self.topology.spares)
        self.machines = {ip: self._first_machine(ip) for ip in (*self.topology.disks, *self.topology.readers)}
        for machine in self.machines.values():
            machine.node = Node(self, machine)

    def _first_machine(self, ip):
        has_disk = ip in self.topology.disks
        return Machine(ip, has_disk, is_initial_start=has_disk or ip in self.seed_ips)

    @property
    def newest_chosen(self):
        return self.invariants.newest_chosen

    def node(self, ip):
        """The process of that address; None while it is down."""
        return self.machines[ip].node

    def running_nodes(self):
        return [machine.node for machine in self.machines.values() if machine.node is not None]

    # -- messages --

    def send(self, source, destination, message):
        self.network.add(source, destination, lambda: self._receive(source, destination, message))

    def _receive(self, source, destination, message):
        node = self.node(destination)
        if node is None:
            return
        match message:
            case StateQuery():
                node.on_query(source, message)
            case StateReport():
                node.on_report(source, message)
            case Chosen():
                node.on_chosen(source, message)

    def call(self, caller, destination, message, on_reply):
        """Call another process; the reply reaches the caller only while it still runs."""
        source = caller.ip

        def receive_reply(reply):
            if self.node(source) is caller:
                on_reply(reply)

        def answer(reply):
            self.network.add(destination, source, lambda: receive_reply(reply))

        def receive_call():
            node = self.node(destination)
            if node is not None:
                node.on_call(message, answer)

        if destination in self.machines:
            self.network.add(source, destination, receive_call)

    def finish_save(self, index, is_written=True):
        """Return from one of the saves under way."""
        saves = [(node, nth) for node in self.running_nodes() for nth in range(len(node.pending_saves))]
        if saves:
            node, nth = saves[index % len(saves)]
            node.finish_save(nth, is_written)

    def run(self, draw, steps):
        """So many deliveries and saves, in the order that `draw(n)` gives as indices below n."""
        for _ in range(steps):
            saves = sum(len(node.pending_saves) for node in self.running_nodes())
            if not self.network.wire and not saves:
                return
            index = draw(len(self.network.wire) + saves)
            if index < len(self.network.wire):
                self.network.deliver(index)
            else:
                self.finish_save(index - len(self.network.wire))
            self.now += STEP_S

    def run_ballot(self, ip, is_coordinator, prepare_ips, accept_ips, draw, is_own_disk_slow=False):
        """One ballot whose Prepare reaches some, and its Accept others; the rest stays on its way."""
        node = self.node(ip)
        if node is None:
            return
        node.proposer.proposal = None
        wire = self.network.wire
        start = len(wire)
        node.proposer.propose_if_due(is_coordinator)
        proposal = node.proposer.proposal
        for _ in range(MAX_BALLOT_STEPS if proposal is not None else 0):
            reached = {ip, *(prepare_ips if proposal.proposed_state is None else accept_ips)}
            self._finish_first_saves(reached - {ip} if is_own_disk_slow else reached)
            able = [index for index in range(start, len(wire)) if self._is_of_ballot(index, ip, reached)]
            if able:
                wire.pop(able[draw(len(able))]).deliver()
            self.now += STEP_S

    def _finish_first_saves(self, ips):
        for ip in ips:
            node = self.node(ip)
            if node is not None and node.pending_saves:
                node.finish_save(0, True)

    def _is_of_ballot(self, index, ip, reached):
        link = self.network.wire[index].link
        return ip in link and reached.issuperset(link) and link not in self.network.cut_links

    def reachable_ips(self, ip):
        """Whom that machine hears of."""
        return [
            other
            for other, machine in self.machines.items()
            if machine.node is not None and not self.network.is_cut(ip, other)
        ]

    def unreachable_s(self, ip, other):
        """For how long that machine has heard nothing of the other."""
        if other in self.reachable_ips(ip):
            return 0.0
        machine = self.machines[other]
        return self.now - machine.down_since + 0.1 if machine.node is None else LOST_AFTER_S + 1

    # -- faults of machines --

    def crash(self, ip, saves_made):
        """The power is gone.  Of the saves under way the newest that made it is as `saves_made` says, or none did."""
        machine = self.machines[ip]
        node = machine.node
        if node is None or machine.disk is None and not self._can_lose_seed(ip):
            return
        made = saves_made % (len(node.pending_saves) + 1)
        for save in node.pending_saves[:made]:
            with suppress(KeyError):
                machine.disk.save(save.record, save.contents)
        machine.node = None
        machine.down_since = self.now

    def _can_lose_seed(self, ip):
        """Whether a seed without a disk may be lost: with its promises, so until the founding is over one of them."""
        is_founded = self.newest_chosen is not None and self.newest_chosen.epoch > 1
        lost = {seed for seed in self.seed_ips if self._is_seed_lost(self.machines[seed])}
        return is_founded or not lost - {ip}

    @staticmethod
    def _is_seed_lost(machine):
        return machine.disk is None and (machine.start_count > 1 or machine.node is None)

    def start(self, ip):
        machine = self.machines[ip]
        if machine.node is None and not machine.is_removed:
            machine.node = Node(self, machine)
            self.disk_faults.reveal_rollback(machine)

    def add_machine(self):
        if self._spare_ips:
            ip = self._spare_ips.pop(0)
            self.machines[ip] = Machine(ip, has_disk=True, is_initial_start=False)
            self.start(ip)

    def leave(self, ip):
        """SIGTERM: it goes once the others do without it."""
        machine = self.machines[ip]
        node = machine.node
        if machine.disk is None or node is None:
            return
        if not machine.is_leaving:
            staying = [m for m in self.machines.values() if m.disk and not m.is_removed and not m.is_leaving]
            machine.is_leaving = len(staying) > 2 * self.machine_losses + 1
        elif self._is_released(node) and self.disk_faults.take_loss(ip):
            self.crash(ip, 0)
            machine.is_removed = True

    @staticmethod
    def _is_released(node):
        """Whether a node knows that the others do without it."""
        if node.is_voter or node.state is None:
            return False
        return node.ip not in {voter.ip for voter in node.state.all_voters()}

    # -- operators --

    def submit(self, ip, command):
        if self.node(ip) is not None:
            self.node(ip).proposer.submit(command)

    def replace_configuration(self, ip, versions_back, content):
        """A new version, or one again; contents differ by who asks."""
        if versions_back == 0 or not self.version:
            self.version += 1
        version = max(1, self.version - versions_back)
        self.submit(ip, ReplaceConfiguration(version, self.digest_of(content)))

    def replace_by_rivals(self, ip, other):
        """Two contents under one new version."""
        self.version += 1
        for rival, content in ((ip, 1), (other, 2)):
            self.submit(rival, ReplaceConfiguration(self.version, self.digest_of(content)))

    def digest_of(self, content):
        """A digest that no earlier version has."""
        return 100 * self.version + 1 + content

    def want_voters(self, ip, voter_ips):
        """Any other set: the rules hold for each, not only for those that reconfiguration asks for."""
        node = self.node(ip)
        if node is None or not node.is_voter or len(voter_ips) <= 2 * self.machine_losses:
            return
        disks = {
            other: report.disk_id
            for other, report in node.reports.items()
            if report.disk_id and report.durable_number and self.disk_faults.is_present(Replica(other, report.disk_id))
        }
        disks[ip] = node.acceptor.disk_id
        if all(voter_ip in disks for voter_ip in voter_ips):
            node.proposer.wanted_voters = tuple(Replica(voter_ip, disks[voter_ip], voter_ip) for voter_ip in voter_ips)
