"""What holds at all times in the model, whatever is lost; each check raises AssertionError where a rule is broken."""

from __future__ import annotations

from bisect import bisect_left

from mapleline.balancer.control import state as state_module
from mapleline.balancer.control.commands import CommandStatus, ReplaceConfiguration, SetEvacuation
from mapleline.balancer.control.consensus import NO_BALLOT, referenced_digests
from mapleline.balancer.control.read_lease import NEVER

NO_BALLOTS = (NO_BALLOT, NO_BALLOT)


def has_quorum(state, replica_ids):
    """The model's own majorities: none of the rules' code."""
    return all(_has_majority(voters, replica_ids) for voters in (state.voters, state.former) if voters)


def _has_majority(voters, replica_ids):
    present = sum(
        any(ip == voter.ip and voter.disk_id in (0, disk_id) for ip, disk_id in replica_ids) for voter in voters
    )
    return 2 * present > len(voters)


class ProposedState:
    """A state as it was sent out to be accepted.

    Attributes:
        parent: the proposal that its base is of.
        base: the state that it changes.
        state: the state.
        zones: those that commands in it evacuate, or let serve again.
        accepted_by: the replicas that have it on their disks.
        is_chosen: whether these are a quorum, of the base and of the state.
    """

    def __init__(self, parent, base, state, zones):
        self.parent = parent
        self.base = base
        self.state = state
        self.zones = zones
        self.accepted_by = set()
        self.is_chosen = False

    def ancestor_not_above(self, number):
        """The nearest proposal of the chain, this one included, whose number is at most that; None if not known."""
        link = self
        while link is not None and link.state.number > number:
            link = link.parent
        return link


class Invariants:
    """Follows what is proposed, saved, chosen, committed and acknowledged.

    Attributes:
        proposed: what was sent out to be accepted, by ballot.
        newest_chosen: the chosen state of the highest number.
    """

    def __init__(self, world):
        self.world = world
        self.proposed = {}
        self.newest_chosen = None
        self._newest_link = None
        self._chosen_at = []  #: when each next number was chosen
        self._chosen_numbers = []
        self._confirmed = {}  #: version to digest, as operators were told
        self._refused = set()  #: (version, digest)
        self._replied = {}  #: by address and disk: the highest ballots promised and accepted that left in a reply
        self._last_seen = {}  #: by address: its node, and the number and epoch it knew

    # -- proposals and what is chosen --

    def on_proposed(self, proposal, commands):
        """A state goes out to be accepted."""
        if proposal.ballot in self.proposed:
            assert self.proposed[proposal.ballot].state == proposal.proposed_state, "two states under one ballot"
            return
        zones = {command.zone for command in commands if isinstance(command, SetEvacuation)}
        parent = self._parent_of(proposal)
        self.proposed[proposal.ballot] = ProposedState(parent, proposal.base, proposal.proposed_state, zones)

    def _parent_of(self, proposal):
        parent = None
        if proposal.highest_accepted_state is proposal.base:
            parent = self.proposed.get(proposal.highest_accepted_ballot)
        if parent is None:
            parent = next((link for link in self.proposed.values() if link.state == proposal.base), None)
        return parent

    def on_record_saved(self, node, record):
        """A record is on a disk, and its replica knows."""
        if node.disk is not None:
            is_complete = referenced_digests(record) <= node.disk.contents
            assert is_complete or node.disk.record.version > record.version, "not whole"
        link = self.proposed.get(record.accepted_ballot)
        replica_id = record.ip, record.disk_id
        if link is None or replica_id in link.accepted_by:
            return
        link.accepted_by.add(replica_id)
        is_quorum = has_quorum(link.base, link.accepted_by) and has_quorum(link.state, link.accepted_by)
        if not link.is_chosen and is_quorum:
            link.is_chosen = True
            self._on_chosen(link)

    def _on_chosen(self, link):
        self._check_chain(link)
        state = link.state
        assert set(link.base.evacuated) ^ set(state.evacuated) <= link.zones, "evacuated by nobody"
        newest = self.newest_chosen
        if newest is not None and state.number <= newest.number:
            return
        if newest is not None:
            assert state.epoch >= newest.epoch, f"the epoch of {state.number} goes back"
            assert state.system == newest.system, f"{state.number} is of another system"
        self._check_confirmed(state)
        self.newest_chosen = state
        self._newest_link = link
        self._chosen_at.append(self.world.now)
        self._chosen_numbers.append(state.number)

    def _check_chain(self, link):
        """A chosen state descends from all chosen ones below it, and all above descend from it."""
        state, newest = link.state, self.newest_chosen
        if newest is None:
            return
        if state.number > newest.number:
            ancestor = link.ancestor_not_above(newest.number)
            base = ancestor.state if ancestor is not None else None
            assert base == newest, f"{state.number} does not stand on {newest.number}"
            return
        same = [one for one in self.proposed.values() if one.is_chosen and one.state.number == state.number]
        assert all(one.state == state for one in same), f"two contents under {state.number}"
        ancestor = self._newest_link.ancestor_not_above(state.number)
        assert ancestor is None or ancestor.state == state, f"{state.number} is beside the chain"

    def _check_confirmed(self, state):
        """What operators were told still stands in a new chosen state."""
        past = dict(state.past)
        oldest = min(past) if len(past) >= state_module.MAX_PAST_VERSIONS else 0
        for version, digest in self._confirmed.items():
            assert version < oldest or past.get(version) == digest, f"{version} was confirmed and is lost"
        if self._confirmed:
            assert state.config.version >= max(self._confirmed)
        assert state.config not in self._refused, "what was refused is in force"

    def on_committed(self, state):
        """Some node takes a state for chosen."""
        assert any(
            link.is_chosen and link.state.number == state.number and link.state.without_past() == state.without_past()
            for link in self.proposed.values()
        ), f"{state.number} is not chosen"

    def on_acknowledged(self, command, status, state):
        """The operator is told the result of a command, with the state in which that was decided."""
        links = [link for link in self.proposed.values() if link.is_chosen and link.state == state]
        assert links, f"answered of {state.number} before it is chosen"
        if not isinstance(command, ReplaceConfiguration):
            return
        if len(state.past) >= state_module.MAX_PAST_VERSIONS and command.version < min(state.past)[0]:
            return  # overtaken by so many that nobody remembers it
        pair = command.version, command.digest
        if status == CommandStatus.DONE:
            confirmed = self._confirmed.setdefault(command.version, command.digest)
            assert confirmed == command.digest, f"{command.version} confirmed with two contents"
            assert pair not in self._refused, f"{pair} confirmed after it was refused"
            assert pair in state.past, f"{pair} confirmed and not in the state"
        elif status == CommandStatus.CONFLICT:
            self._refused.add(pair)
            assert self._confirmed.get(command.version) != command.digest, f"{pair} refused after it was confirmed"
            assert pair not in state.past

    # -- replies of acceptors --

    def on_reply_made(self, node, record):
        """A reply is made: not of less than an earlier one."""
        promised, accepted = self._replied.get((record.ip, record.disk_id), NO_BALLOTS)
        assert record.promised >= promised, f"{node.ip} has forgotten a promise"
        assert record.accepted_ballot >= accepted, f"{node.ip} has forgotten what it accepted"

    def on_reply_sent(self, node, reply, accepted_ballot):
        """A reply leaves, so that what it says has to be on the disk from now on."""
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
        """What a process knows never goes back."""
        known = node.number, node.state.epoch if node.state is not None else 0
        earlier_node, earlier = self._last_seen.get(node.ip, (None, (0, 0)))
        if earlier_node is node:
            assert known >= earlier, f"{node.ip} knows an older state than before"
            assert known[1] >= earlier[1], f"{node.ip} knows an older epoch than before"
        self._last_seen[node.ip] = node, known

    def _check_lease(self, node):
        """Whoever has a lease holds all that was chosen before it."""
        since = node.lease_valid_since()
        if since > NEVER:
            index = bisect_left(self._chosen_at, since)
            newest = self._chosen_numbers[index - 1] if index else 0
            assert newest <= node.number, f"{node.ip} is sure, and without {newest}"

    def _check_disk(self, node):
        """What was replied is on the disk."""
        if node.disk is None or node.acceptor is None or node.disk.record is None:
            return
        record = node.disk.record
        if record.disk_id == node.acceptor.disk_id:
            promised, accepted = self._replied.get((node.ip, record.disk_id), NO_BALLOTS)
            assert record.promised >= promised, "answered, and not on the disk"
            assert record.accepted_ballot >= accepted, "answered, and not on the disk"
