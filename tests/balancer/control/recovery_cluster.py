"""A simulated cluster of control replicas, with an operator who repeatedly replaces the configuration.

Complete nodes run on the clock of `mapleline.simulation`: times are simulated seconds, and bytes and calls are counted
on its network.
"""

import json
from dataclasses import dataclass

from twisted.internet.defer import maybeDeferred

from mapleline.balancer.control.commands import CommandStatus, ReplaceConfiguration
from mapleline.balancer.control.state import content_digest
from mapleline.balancer.membership.member import MemberFlags
from mapleline.balancer.transport.messages import Accepted, Prepare, Promised
from mapleline.simulation.scenario import ZONES
from mapleline.simulation.workload import configuration
from mapleline.simulation.world import Topology, World

CONFIGURATION_BYTES = 20_000
COMMAND_TIMEOUT_S = 4.5
RETRY_DELAY_S = 0.2
FORMATION_S = 6.0  # time from the first start in which a state is committed
MAX_RECOVERY_S = 30
THREE_MACHINES = {"a1": "a", "a2": "a", "a3": "a"}


def configuration_body(version: int) -> bytes:
    """Return a configuration of four tenants, padded to `CONFIGURATION_BYTES`."""
    keys = {f"t{number}": [f"k{number}"] for number in range(1, 5)}
    return json.dumps(configuration(version, keys)).encode().ljust(CONFIGURATION_BYTES)


def ring_position(machine):
    """Return a machine's position in the order in which replicas are asked to propose."""
    return machine.node.membership.local_member.ring_position


@dataclass(frozen=True)
class RecoveryCost:
    """The cost of one recovery: simulated seconds, bytes sent by all machines, and calls made by the machine."""

    seconds: float
    bytes: int
    calls: int


class RecoveryCluster:
    """A cluster of machines with a disk, on which the first configuration is in force."""

    def __init__(self, seed: int, zones: dict[str, str] = ZONES) -> None:
        self.world = World(seed, Topology(zones, stateless_per_zone=0))
        self.version = 0
        self.world.start()
        self.world.run(FORMATION_S)
        self.replace_configuration(1)

    @property
    def machines(self):
        return self.world.control_replicas

    def running(self):
        return [machine for machine in self.machines if machine.is_running]

    def replace_configuration(self, times: int, preferred_machine=None) -> None:
        """Replace the configuration `times` times, each after the previous acknowledgement.

        Commands go to `preferred_machine` while it runs, otherwise to the first running machine.
        """
        target_version = self.version + times
        self._submit_next(target_version, preferred_machine)
        deadline = self.world.now + 10 + times
        while self.version < target_version:
            assert self.world.now < deadline, f"{target_version - self.version} of {times} changes are not acknowledged"
            self.world.run(0.05)

    def _submit_next(self, target_version, preferred_machine) -> None:
        body = configuration_body(self.version + 1)
        machine = (
            preferred_machine if preferred_machine is not None and preferred_machine.is_running else self.running()[0]
        )
        command = ReplaceConfiguration(self.version + 1, content_digest(body))
        decided = machine.node.control_plane.submit_command(command, body, COMMAND_TIMEOUT_S)
        decided.addCallback(self._schedule_next, target_version, preferred_machine)

    def _schedule_next(self, result, target_version, preferred_machine) -> None:
        is_done = result.status == CommandStatus.DONE
        self.world.after(0.0 if is_done else RETRY_DELAY_S, self._continue, is_done, target_version, preferred_machine)

    def _continue(self, is_done, target_version, preferred_machine) -> None:
        self.version += is_done
        if self.version < target_version:
            self._submit_next(target_version, preferred_machine)

    def newest_number(self) -> int:
        states = [machine.node.control_plane.state for machine in self.running()]
        return max(state.number for state in states if state is not None)

    def is_recovered(self, machine) -> bool:
        """Return whether a machine is a voter and has the newest state committed anywhere on its disk."""
        if not machine.is_running or machine.node.control_plane.state is None:
            return False
        if not machine.node.member_flags() & MemberFlags.CAN_PROPOSE:
            return False
        if any(other.node.control_plane.state.former for other in self.running()):
            return False  # the voters are still being changed
        chosen = machine.disk.record.chosen_state
        if chosen is None:
            return False
        return chosen.number == self.newest_number() and chosen.config.version == self.version

    def recover(self, machine) -> RecoveryCost:
        """Start a machine, run until it has recovered, and return the cost."""
        network = self.world.network
        started_at = self.world.now
        bytes_before = sum(network.bytes_sent.values())
        calls_before = len(network.calls)
        machine.start()
        while not self.is_recovered(machine):
            assert self.world.now < started_at + MAX_RECOVERY_S, f"{machine.name} has not recovered in time"
            self.world.run(0.02)
        own_calls = [caller for _, caller, _, _ in network.calls[calls_before:] if caller == machine.name]
        bytes_sent = sum(network.bytes_sent.values()) - bytes_before
        return RecoveryCost(self.world.now - started_at, bytes_sent, len(own_calls))


class RolledBackReplica:
    """A machine whose disk is restored to its content of 100 changes ago.

    It records the votes and ballots under the restored identity.

    Attributes:
        old_disk_id: the identity of the restored disk.
        votes: votes under that identity, as (simulated seconds, reply).
        ballots: ballots under that identity, as (simulated seconds, call).
    """

    def __init__(self, cluster: RecoveryCluster, machine) -> None:
        self._world = cluster.world
        disk = machine.disk
        record, contents = disk.record, dict(disk.contents)
        self.old_disk_id = record.disk_id
        self.votes = []
        self.ballots = []
        cluster.replace_configuration(100)
        machine.kill()
        disk.record, disk.contents = record, contents
        self._listen, self._call = machine.listen, machine.call
        machine.listen, machine.call = self.listen, self.call
        machine.start()

    def listen(self, fence, on_datagram, on_call):
        """Listen as the machine does, and record votes among the replies to calls."""
        self._listen(fence, on_datagram, lambda call: maybeDeferred(on_call, call).addCallback(self._record_vote))

    def call(self, ip, message, timeout_s):
        """Call another machine, and record the ballots."""
        if isinstance(message, Prepare) and message.ballot.disk_id == self.old_disk_id:
            self.ballots.append((self._world.now, message))
        return self._call(ip, message, timeout_s)

    def _record_vote(self, reply):
        is_vote = isinstance(reply, Promised | Accepted) and reply.is_granted
        if is_vote and reply.disk_id == self.old_disk_id:
            self.votes.append((self._world.now, reply))
        return reply
