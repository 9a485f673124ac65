"""Faults of disks: loss, and restore from an older copy; never more at once than the voters must tolerate."""

from __future__ import annotations

from mapleline.balancer.transport.messages import StateQuery

from .proposer import QUERY_INTERVAL_S

#: Time for which a lost disk counts against the tolerance, as other nodes may still add it as a voter.
LOSS_COUNTED_S = 3 * QUERY_INTERVAL_S


class DiskFaults:
    """Faults of the disks of a world.

    Attributes:
        rolled_back: the record version that other nodes know, by address and disk of each rolled-back disk.
    """

    def __init__(self, world):
        self.world = world
        self.rolled_back = {}
        self._lost_at = {}

    def is_present(self, replica):
        """Return whether the replica's disk is still in place and was not rolled back."""
        machine = self.world.machines.get(replica.ip)
        if machine is None or machine.is_removed or machine.disk is None or machine.disk.record is None:
            return False
        return machine.disk.record.disk_id == replica.disk_id and (replica.ip, replica.disk_id) not in self.rolled_back

    def reserve_loss(self, ip):
        """Return whether the machine's disk may be lost now; if so, record it as lost.

        The number of lost disks stays within the tolerance.  A disk counts as lost until it is replaced in every state
        that is or may be chosen, and until no node can add the old disk as a voter any more.
        """
        newest = self.world.newest_chosen
        if newest is None or newest.epoch < 2 or len(newest.voters) <= 2 * self.world.machine_losses:
            return False
        proposed = self.world.invariants.proposed.values()
        undecided = (entry.state for entry in proposed if entry.state.number > newest.number)
        for state in (newest, *undecided):
            if not (self._tolerates_loss(ip, state.voters) and self._tolerates_loss(ip, state.former)):
                return False
        self._lost_at[ip] = self.world.now
        return True

    def _tolerates_loss(self, ip, voters):
        lost = {other for other, lost_at in self._lost_at.items() if self.world.now - lost_at < LOSS_COUNTED_S}
        lost |= {ip} | {voter.ip for voter in voters if not self.is_present(voter)}
        lost_voters = lost & {voter.ip for voter in voters}
        has_majority = not voters or 2 * len(lost_voters) < len(voters)
        return len(lost) <= self.world.machine_losses and has_majority

    def wipe(self, ip):
        machine = self.world.machines[ip]
        if machine.disk is not None and self.reserve_loss(ip):
            self.world.crash(ip, 0)
            machine.disk.record = None
            machine.disk.contents = set()
            machine.is_initial_start = False

    def restore(self, ip, index):
        """Restore a machine's disk to an older record, if another node knows a newer one, and restart the machine."""
        machine = self.world.machines[ip]
        if machine.disk is None or machine.disk.record is None or not self.reserve_loss(ip):
            return
        history = machine.disk.history
        record, contents = history[index % len(history)]
        others = [node for node in self.world.running_nodes() if node.ip != ip]
        known_version = max((node.highest_versions.get((ip, record.disk_id), 0) for node in others), default=0)
        if record.version < known_version:
            self.world.crash(ip, 0)
            machine.disk.record = record
            machine.disk.contents = contents
            self.rolled_back[ip, record.disk_id] = known_version
            self.world.start(ip)

    def reveal_rollback(self, machine):
        """Let a node that knows a newer record query a rolled-back machine first, so that the rollback is noticed."""
        disk_id = machine.disk.record.disk_id if machine.disk is not None and machine.disk.record is not None else 0
        if (machine.ip, disk_id) in self.rolled_back:
            query = StateQuery(0, disk_id, self.rolled_back[machine.ip, disk_id])
            machine.node.on_query(next(iter(self.world.machines)), query)
