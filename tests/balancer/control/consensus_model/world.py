"""The world of the model: time, messages, faults and operators' commands."""

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

START_TIME_S = 10.0
STEP_S = 0.001
MAX_BALLOT_STEPS = 50


@dataclass(frozen=True)
class Topology:
    """The machines of a world, by address.

    Attributes:
        disk_ips: machines with a disk at the first start.
        seed_ips: seeds, which all processes know at the first start.
        diskless_ips: machines without a disk.
        spare_ips: machines with a disk that may be added later.
        machine_losses: number of simultaneous losses to tolerate.
    """

    disk_ips: tuple[int, ...]
    seed_ips: tuple[int, ...]
    diskless_ips: tuple[int, ...]
    spare_ips: tuple[int, ...]
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
    """Machines, their network and their faults; the search decides what happens next, and advances the time.

    Attributes:
        now: the time in seconds.
        version: the highest version of a configuration that an operator has sent.
    """

    def __init__(self, topology=0):
        self.topology = TOPOLOGIES[topology]
        self.seed_ips = self.topology.seed_ips
        self.machine_losses = self.topology.machine_losses
        self.tolerance = FaultTolerance(self.machine_losses, 1)
        self.now = START_TIME_S
        self.version = 0
        self.network = Network()
        self.nonces = count(1)
        self.disk_ids = count(1)
        self.system_ids = count(1)
        self.invariants = Invariants(self)
        self.disk_faults = DiskFaults(self)
        self._spare_ips = list(self.topology.spare_ips)
        self.machines = {ip: self._first_machine(ip) for ip in (*self.topology.disk_ips, *self.topology.diskless_ips)}
        for machine in self.machines.values():
            machine.node = Node(self, machine)

    def _first_machine(self, ip):
        has_disk = ip in self.topology.disk_ips
        return Machine(ip, has_disk, is_initial_start=has_disk or ip in self.seed_ips)

    @property
    def newest_chosen(self):
        return self.invariants.newest_chosen

    def node(self, ip):
        """Return the process at that address; None while it is down."""
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
        """Call another process; the reply is delivered only if the caller still runs."""
        source = caller.ip

        def receive_reply(reply):
            if self.node(source) is caller:
                on_reply(reply)

        def send_reply(reply):
            self.network.add(destination, source, lambda: receive_reply(reply))

        def receive_call():
            node = self.node(destination)
            if node is not None:
                node.on_call(message, send_reply)

        if destination in self.machines:
            self.network.add(source, destination, receive_call)

    def finish_save(self, index, is_written=True):
        """Finish the pending save at `index` modulo their number; `is_written` is False for a disk error."""
        saves = [(node, save_index) for node in self.running_nodes() for save_index in range(len(node.pending_saves))]
        if saves:
            node, save_index = saves[index % len(saves)]
            node.finish_save(save_index, is_written)

    def run(self, draw, steps):
        """Do up to `steps` deliveries and saves; `draw(n)` chooses each by an index below n."""
        for _ in range(steps):
            save_count = sum(len(node.pending_saves) for node in self.running_nodes())
            if not self.network.in_flight and not save_count:
                return
            index = draw(len(self.network.in_flight) + save_count)
            if index < len(self.network.in_flight):
                self.network.deliver(index)
            else:
                self.finish_save(index - len(self.network.in_flight))
            self.now += STEP_S

    def run_ballot(self, ip, is_coordinator, prepare_ips, accept_ips, draw, is_own_disk_slow=False):
        """Run one ballot in which Prepare and Accept reach only the given machines; other messages stay in flight.

        Args:
            ip: the proposer.
            is_coordinator: whether the proposer takes itself for the coordinator.
            prepare_ips: the machines that Prepare reaches.
            accept_ips: the machines that Accept reaches.
            draw: `draw(n)` chooses the next delivery by an index below n.
            is_own_disk_slow: whether the saves of the proposer's own replica stay pending.
        """
        node = self.node(ip)
        if node is None:
            return
        node.proposer.proposal = None
        in_flight = self.network.in_flight
        start = len(in_flight)
        node.proposer.propose_if_due(is_coordinator)
        proposal = node.proposer.proposal
        for _ in range(MAX_BALLOT_STEPS if proposal is not None else 0):
            reached = {ip, *(prepare_ips if proposal.proposed_state is None else accept_ips)}
            self._finish_first_saves(reached - {ip} if is_own_disk_slow else reached)
            deliverable = [index for index in range(start, len(in_flight)) if self._is_of_ballot(index, ip, reached)]
            if deliverable:
                in_flight.pop(deliverable[draw(len(deliverable))]).deliver()
            self.now += STEP_S

    def _finish_first_saves(self, ips):
        for ip in ips:
            node = self.node(ip)
            if node is not None and node.pending_saves:
                node.finish_save(0, True)

    def _is_of_ballot(self, index, ip, reached):
        link = self.network.in_flight[index].link
        return ip in link and reached.issuperset(link) and link not in self.network.cut_links

    def reachable_ips(self, ip):
        """Return the running machines, itself included, that the machine has intact links with."""
        return [
            other
            for other, machine in self.machines.items()
            if machine.node is not None and not self.network.is_cut(ip, other)
        ]

    def unreachable_s(self, ip, other):
        """Return for how many seconds the machine has not heard from the other; 0 while it is reachable."""
        if other in self.reachable_ips(ip):
            return 0.0
        machine = self.machines[other]
        return self.now - machine.down_since + 0.1 if machine.node is None else LOST_AFTER_S + 1

    # -- faults of machines --

    def crash(self, ip, saves_completed):
        """Cut the power of a machine.

        Of its n pending saves, the first `saves_completed` modulo n + 1 reach the disk, and the others are lost.
        """
        machine = self.machines[ip]
        node = machine.node
        if node is None or machine.disk is None and not self._can_lose_seed(ip):
            return
        completed_count = saves_completed % (len(node.pending_saves) + 1)
        for save in node.pending_saves[:completed_count]:
            with suppress(KeyError):
                machine.disk.save(save.record, save.contents)
        machine.node = None
        machine.down_since = self.now

    def _can_lose_seed(self, ip):
        """Return whether a seed without a disk may be lost.

        Its promises are lost with it, so only one such seed may be lost before the bootstrap is over.
        """
        is_bootstrapped = self.newest_chosen is not None and self.newest_chosen.epoch > 1
        lost = {seed for seed in self.seed_ips if self._is_seed_lost(self.machines[seed])}
        return is_bootstrapped or not lost - {ip}

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
        """Begin a graceful shutdown (SIGTERM) or, if it has begun, remove the machine once it may exit."""
        machine = self.machines[ip]
        node = machine.node
        if machine.disk is None or node is None:
            return
        if not machine.is_leaving:
            not_leaving = [m for m in self.machines.values() if m.disk and not m.is_removed and not m.is_leaving]
            machine.is_leaving = len(not_leaving) > 2 * self.machine_losses + 1
        elif self._is_released(node) and self.disk_faults.reserve_loss(ip):
            self.crash(ip, 0)
            machine.is_removed = True

    @staticmethod
    def _is_released(node):
        """Return whether a node knows that it is not a voter any more."""
        if node.is_voter or node.state is None:
            return False
        return node.ip not in {voter.ip for voter in node.state.all_voters()}

    # -- operators --

    def submit(self, ip, command):
        if self.node(ip) is not None:
            self.node(ip).proposer.submit(command)

    def replace_configuration(self, ip, versions_back, content):
        """Submit a new version (`versions_back` 0) or an earlier one, with the digest of a content number."""
        if versions_back == 0 or not self.version:
            self.version += 1
        version = max(1, self.version - versions_back)
        self.submit(ip, ReplaceConfiguration(version, self.digest_of(content)))

    def replace_by_rivals(self, ip, other):
        """Submit two different contents under the same new version, at two machines."""
        self.version += 1
        for rival, content in ((ip, 1), (other, 2)):
            self.submit(rival, ReplaceConfiguration(self.version, self.digest_of(content)))

    def digest_of(self, content):
        """Return a digest for a content number that no earlier version has."""
        return 100 * self.version + 1 + content

    def request_voters(self, ip, voter_ips):
        """Request any other set of voters: the rules must hold for each set, not only for those that are due."""
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
            node.proposer.requested_voters = tuple(
                Replica(voter_ip, disks[voter_ip], voter_ip) for voter_ip in voter_ips
            )
