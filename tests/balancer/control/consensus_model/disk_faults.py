"""Disks that are lost or put back to an older day, no more at once than the voters have to bear."""

from __future__ import annotations

from mapleline.balancer.transport.messages import StateQuery

from .proposer import QUERY_INTERVAL_S

#: for which a lost disk counts, as others may still take it for a new voter
LOSS_REMEMBERED_S = 3 * QUERY_INTERVAL_S


class DiskFaults:
    """Faults of the disks of a world.

    Attributes:
        rolled_back: disks that were put back to an older day, and the version of the record that others remember.
    """

    def __init__(self, world):
        self.world = world
        self.rolled_back = {}
        self._lost_at = {}

    def is_present(self, replica):
        """Whether that disk still is what it was."""
        machine = self.world.machines.get(replica.ip)
        if machine is None or machine.is_removed or machine.disk is None or machine.disk.record is None:
            return False
        return machine.disk.record.disk_id == replica.disk_id and (replica.ip, replica.disk_id) not in self.rolled_back

    def take_loss(self, ip):
        """Whether that machine's disk may be lost now; if so, it is noted as lost.

        No more than are to be tolerated at once, each until it is replaced in all that is chosen or may be, and until
        nobody takes its old disk for a new voter.
        """
        newest = self.world.newest_chosen
        if newest is None or newest.epoch < 2 or len(newest.voters) <= 2 * self.world.machine_losses:
            return False
        proposed = self.world.invariants.proposed.values()
        undecided = (link.state for link in proposed if link.state.number > newest.number)
        for state in (newest, *undecided):
            if not (self._can_bear(ip, state.voters) and self._can_bear(ip, state.former)):
                return False
        self._lost_at[ip] = self.world.now
        return True

    def _can_bear(self, ip, voters):
        lost = {other for other, when in self._lost_at.items() if self.world.now - when < LOSS_REMEMBERED_S}
        lost |= {ip} | {voter.ip for voter in voters if not self.is_present(voter)}
        lost_voters = lost & {voter.ip for voter in voters}
        has_majority = not voters or 2 * len(lost_voters) < len(voters)
        return len(lost) <= self.world.machine_losses and has_majority

    def wipe(self, ip):
        machine = self.world.machines[ip]
        if machine.disk is not None and self.take_loss(ip):
            self.world.crash(ip, 0)
            machine.disk.record = None
            machine.disk.contents = set()
            machine.is_initial_start = False

    def restore(self, ip, index):
        """A folder is put back from an older day, or from before it was lost; the first to ask remembers more."""
        machine = self.world.machines[ip]
        if machine.disk is None or machine.disk.record is None or not self.take_loss(ip):
            return
        history = machine.disk.history
        record, contents = history[index % len(history)]
        others = [node for node in self.world.running_nodes() if node.ip != ip]
        remembered = max((node.highest_versions.get((ip, record.disk_id), 0) for node in others), default=0)
        if record.version < remembered:
            self.world.crash(ip, 0)
            machine.disk.record = record
            machine.disk.contents = contents
            self.rolled_back[ip, record.disk_id] = remembered
            self.world.start(ip)

    def reveal_rollback(self, machine):
        """One that remembers more asks first: until then nobody could tell."""
        disk_id = machine.disk.record.disk_id if machine.disk is not None and machine.disk.record is not None else 0
        if (machine.ip, disk_id) in self.rolled_back:
            query = StateQuery(0, disk_id, self.rolled_back[machine.ip, disk_id])
            machine.node.on_query(next(iter(self.world.machines)), query)
