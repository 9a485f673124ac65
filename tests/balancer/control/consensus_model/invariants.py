"""The invariants of the model, which hold under any faults; each check raises AssertionError on a violation."""

from __future__ import annotations

from bisect import bisect_left

from mapleline.balancer.control import state as state_module
from mapleline.balancer.control.commands import CommandStatus, ReplaceConfiguration, SetEvacuation
from mapleline.balancer.control.consensus import NO_BALLOT, referenced_digests
from mapleline.balancer.control.read_lease import NEVER

NO_BALLOTS = (NO_BALLOT, NO_BALLOT)


def has_quorum(state, replica_ids):
    """Return whether the replicas have all majorities; independent of the code under test."""
    return all(_has_majority(voters, replica_ids) for voters in (state.voters, state.former) if voters)


def _has_majority(voters, replica_ids):
    present = sum(
        any(ip == voter.ip and voter.disk_id in (0, disk_id) for ip, disk_id in replica_ids) for voter in voters
    )
    return 2 * present > len(voters)


class ProposedState:
    """A state that was sent in Accept messages; each refers to the proposal of its base.

    Attributes:
        parent: the proposal of the base; None if not known.
        base: the state that it changes.
        state: the proposed state.
        zones: the zones whose evacuation its commands begin or end.
        accepted_by: the replicas that have it on their disks, as (address, disk).
        is_chosen: whether these are a quorum of both the base and the state.
    """

    def __init__(self, parent, base, state, zones):
        self.parent = parent
        self.base = base
        self.state = state
        self.zones = zones
        self.accepted_by = set()
        self.is_chosen = False

    def ancestor_not_above(self, number):
        """Return the nearest proposal of the chain, or this one, with at most that number; None if not known."""
        proposed = self
        while proposed is not None and proposed.state.number > number:
            proposed = proposed.parent
        return proposed


class Invariants:
    """Tracks the states that are proposed, saved, chosen and committed, and the commands that are acknowledged.

    Attributes:
        proposed: the proposed states, by ballot.
        newest_chosen: the chosen state of the highest number.
    """

    def __init__(self, world):
        self.world = world
        self.proposed = {}
        self.newest_chosen = None
        self._newest_proposed = None  #: the proposal of `newest_chosen`
        self._chosen_at = []  #: the times at which `_chosen_numbers` were chosen
        self._chosen_numbers = []  #: numbers of successive values of `newest_chosen`
        self._confirmed = {}  #: digest by version, as acknowledged to operators
        self._refused = set()  #: configurations refused to operators, as (version, digest)
        self._replied = {}  #: the highest promised and accepted ballots in sent replies, by address and disk
        self._last_seen = {}  #: the node, and its known number and epoch, at the last check, by address

    # -- proposed and chosen states --

    def on_proposed(self, proposal, commands):
        """Record that a state is sent in Accept messages."""
        if proposal.ballot in self.proposed:
            assert self.proposed[proposal.ballot].state == proposal.proposed_state, (
                "two states were proposed under one ballot"
            )
            return
        zones = {command.zone for command in commands if isinstance(command, SetEvacuation)}
        parent = self._parent_of(proposal)
        self.proposed[proposal.ballot] = ProposedState(parent, proposal.base, proposal.proposed_state, zones)

    def _parent_of(self, proposal):
        parent = None
        if proposal.highest_accepted_state is proposal.base:
            parent = self.proposed.get(proposal.highest_accepted_ballot)
        if parent is None:
            parent = next((proposed for proposed in self.proposed.values() if proposed.state == proposal.base), None)
        return parent

    def on_record_saved(self, node, record):
        """Record that a replica was notified of a completed save."""
        if node.disk is not None:
            is_complete = referenced_digests(record) <= node.disk.contents
            assert is_complete or node.disk.record.version > record.version, "a saved record lacks a referenced content"
        proposed = self.proposed.get(record.accepted_ballot)
        replica_id = record.ip, record.disk_id
        if proposed is None or replica_id in proposed.accepted_by:
            return
        proposed.accepted_by.add(replica_id)
        is_quorum = has_quorum(proposed.base, proposed.accepted_by) and has_quorum(proposed.state, proposed.accepted_by)
        if not proposed.is_chosen and is_quorum:
            proposed.is_chosen = True
            self._on_chosen(proposed)

    def _on_chosen(self, proposed):
        self._check_chain(proposed)
        state = proposed.state
        assert set(proposed.base.evacuated) ^ set(state.evacuated) <= proposed.zones, "a zone changed without a command"
        newest = self.newest_chosen
        if newest is not None and state.number <= newest.number:
            return
        if newest is not None:
            assert state.epoch >= newest.epoch, f"the epoch of {state.number} decreased"
            assert state.system == newest.system, f"{state.number} belongs to another system"
        self._check_confirmed(state)
        self.newest_chosen = state
        self._newest_proposed = proposed
        self._chosen_at.append(self.world.now)
        self._chosen_numbers.append(state.number)

    def _check_chain(self, proposed):
        """Check that a chosen state descends from all lower chosen ones, and all higher ones descend from it."""
        state, newest = proposed.state, self.newest_chosen
        if newest is None:
            return
        if state.number > newest.number:
            ancestor = proposed.ancestor_not_above(newest.number)
            base = ancestor.state if ancestor is not None else None
            assert base == newest, f"{state.number} does not descend from {newest.number}"
            return
        same_number = [
            other for other in self.proposed.values() if other.is_chosen and other.state.number == state.number
        ]
        assert all(other.state == state for other in same_number), f"two chosen states with number {state.number}"
        ancestor = self._newest_proposed.ancestor_not_above(state.number)
        assert ancestor is None or ancestor.state == state, f"{state.number} is not part of the chain"

    def _check_confirmed(self, state):
        """Check that a new chosen state agrees with all results that operators received."""
        past = dict(state.past)
        oldest = min(past) if len(past) >= state_module.MAX_PAST_VERSIONS else 0
        for version, digest in self._confirmed.items():
            assert version < oldest or past.get(version) == digest, f"{version} was confirmed and is lost"
        if self._confirmed:
            assert state.config.version >= max(self._confirmed)
        assert state.config not in self._refused, "a refused configuration is in force"

    def on_committed(self, state):
        """Check a state that a node takes for chosen."""
        assert any(
            proposed.is_chosen
            and proposed.state.number == state.number
            and proposed.state.without_past() == state.without_past()
            for proposed in self.proposed.values()
        ), f"{state.number} is committed and not chosen"

    def on_acknowledged(self, command, status, state):
        """Check the result of a command that is sent to the operator, with the state in which it was decided."""
        chosen = [proposed for proposed in self.proposed.values() if proposed.is_chosen and proposed.state == state]
        assert chosen, f"a result was sent before {state.number} was chosen"
        if not isinstance(command, ReplaceConfiguration):
            return
        if len(state.past) >= state_module.MAX_PAST_VERSIONS and command.version < min(state.past)[0]:
            return  # older than all remembered versions
        configuration = command.version, command.digest
        if status == CommandStatus.DONE:
            confirmed = self._confirmed.setdefault(command.version, command.digest)
            assert confirmed == command.digest, f"{command.version} was confirmed with two contents"
            assert configuration not in self._refused, f"{configuration} was confirmed after a refusal"
            assert configuration in state.past, f"{configuration} was confirmed but is not in the state"
        elif status == CommandStatus.CONFLICT:
            self._refused.add(configuration)
            assert self._confirmed.get(command.version) != command.digest, (
                f"{configuration} was refused after a confirmation"
            )
            assert configuration not in state.past

    # -- replies of acceptors --

    def on_reply_made(self, node, record):
        """Check that a new reply has no lower ballots than an earlier reply of the same replica."""
        promised, accepted = self._replied.get((record.ip, record.disk_id), NO_BALLOTS)
        assert record.promised >= promised, f"{node.ip} lost a promise"
        assert record.accepted_ballot >= accepted, f"{node.ip} lost an accepted state"

    def on_reply_sent(self, node, reply, accepted_ballot):
        """Record a sent reply, whose ballots must be on the disk from now on."""
        key = node.ip, reply.disk_id
        promised, accepted = self._replied.get(key, NO_BALLOTS)
        self._replied[key] = max(promised, reply.promised_ballot), max(accepted, accepted_ballot)

    # -- all nodes, at any moment --

    def check_nodes(self):
        for node in self.world.running_nodes():
            self._check_progress(node)
            self._check_lease(node)
            self._check_disk(node)

    def _check_progress(self, node):
        """Check that the state known to a process never becomes older."""
        known = node.number, node.state.epoch if node.state is not None else 0
        earlier_node, earlier = self._last_seen.get(node.ip, (None, (0, 0)))
        if earlier_node is node:
            assert known >= earlier, f"{node.ip} has an older state than before"
            assert known[1] >= earlier[1], f"{node.ip} has an older epoch than before"
        self._last_seen[node.ip] = node, known

    def _check_lease(self, node):
        """Check that a node with a lease knows all states that were chosen before the start of the lease."""
        since = node.lease_valid_since()
        if since > NEVER:
            index = bisect_left(self._chosen_at, since)
            newest = self._chosen_numbers[index - 1] if index else 0
            assert newest <= node.number, f"{node.ip} has a read lease but lacks state {newest}"

    def _check_disk(self, node):
        """Check that the promises and acceptances in sent replies are on the disk."""
        if node.disk is None or node.acceptor is None or node.disk.record is None:
            return
        record = node.disk.record
        if record.disk_id == node.acceptor.disk_id:
            promised, accepted = self._replied.get((node.ip, record.disk_id), NO_BALLOTS)
            assert record.promised >= promised, "a sent promise is not on the disk"
            assert record.accepted_ballot >= accepted, "a sent acceptance is not on the disk"
