"""The proposer of a process of the model."""

from __future__ import annotations

from mapleline.balancer.control.commands import ReplaceConfiguration, apply_all
from mapleline.balancer.control.consensus import Ballot, NextStep, Proposal
from mapleline.balancer.control.reconfiguration import ReplicaStatus, next_voters
from mapleline.balancer.control.state import (
    Replica,
    begin_reconfiguration,
    bootstrap,
    finish_reconfiguration,
    has_contents,
    initial_state,
)
from mapleline.balancer.transport.messages import Accept, Chosen, Prepare

QUERY_INTERVAL_S = 1.0
MAX_LAG = 8
LOST_AFTER_S = 5.0
COMMAND_TIMEOUT_S = 3.6


class SubmittedCommand:
    """A command at a replica; `deadline` is in seconds, and `status` is None until it is answered."""

    def __init__(self, command, deadline):
        self.command = command
        self.deadline = deadline
        self.status = None

    def is_pending(self, now):
        return self.status is None and self.deadline > now


class ModelProposer:
    """Proposes commands and changes of the voters, as `proposer.Proposer` and `replica_monitor.ReplicaMonitor` do."""

    def __init__(self, node):
        self.node = node
        self.world = node.world
        self.proposal = None
        self.commands = []
        self.proposed_commands = []  #: the commands in the ballot in progress
        self.results = []  #: the results of `proposed_commands`
        self.highest_round = 0
        self.is_coordinator = True
        self.requested_voters = None  #: a set of voters that the search has requested; None for none

    # -- what to propose --

    def submit(self, command):
        if not self.node.is_voter:
            return
        if isinstance(command, ReplaceConfiguration):
            self.node.contents.add(command.digest)
        self.commands.append(SubmittedCommand(command, self.world.now + COMMAND_TIMEOUT_S))

    def referenced_digests(self):
        """Return the digests of the contents that must not be dropped."""
        digests = {
            submitted.command.digest
            for submitted in self.commands
            if isinstance(submitted.command, ReplaceConfiguration)
        }
        proposed = self.proposal.proposed_state if self.proposal is not None else None
        if proposed is not None and proposed.config is not None:
            digests.add(proposed.config.digest)
        return digests

    def propose_if_due(self, is_coordinator):
        """Begin a ballot if there is something to propose and none is in progress."""
        node = self.node
        self.commands = [submitted for submitted in self.commands if submitted.is_pending(self.world.now)]
        if self.proposal is not None or node.acceptor is None or node.disk is None:
            return
        if node.state is None:
            if node.is_initial_start:
                self.begin(initial_state(self.world.seed_ips), self.first_state)
        elif node.is_voter:
            self.is_coordinator = is_coordinator
            if self.is_change_due():
                self.begin(node.state, self.next_state)

    def is_change_due(self):
        state = self.node.state
        accepted = self.node.acceptor.accepted_state
        is_accepted_undecided = accepted is not None and accepted.number > state.number
        return (
            self.commands
            or self.requested_voters
            or state.former
            and self.is_coordinator
            or is_accepted_undecided
            or self.due_voters(state)
        )

    def due_voters(self, base):
        if not self.is_coordinator or self.world.now - self.node.lease_valid_since() > 2 * QUERY_INTERVAL_S:
            return None
        known = {voter.ip: voter for voter in base.voters}
        with_disk = {ip for ip in self.world.reachable_ips(self.node.ip) if self.world.machines[ip].disk}
        statuses = [self.status_of(ip, known.get(ip), base) for ip in sorted(known.keys() | with_disk)]
        return next_voters(base, statuses, self.world.tolerance, LOST_AFTER_S)

    def status_of(self, ip, voter, base):
        now = self.world.now
        disk_id, durable_number, asked_at = self.node.report_of(ip)
        if ip == self.node.ip:
            disk_id, durable_number, asked_at = self.node.acceptor.disk_id, base.number, now
        is_recent = now - asked_at < 2 * QUERY_INTERVAL_S and bool(disk_id)
        replica = Replica(ip, disk_id, ip) if is_recent or voter is None else voter
        is_complete = is_recent and durable_number > 0 and durable_number + MAX_LAG >= base.number
        is_leaving = self.world.machines[ip].is_leaving
        return ReplicaStatus(replica, is_complete, is_leaving, self.world.unreachable_s(self.node.ip, ip))

    def first_state(self, base):
        """Return the system's first state, whose voters are all reachable machines that have reported a disk."""
        node = self.node
        voters = [
            Replica(ip, node.acceptor.disk_id if ip == node.ip else node.reports[ip].disk_id, ip)
            for ip in self.world.reachable_ips(node.ip)
            if ip == node.ip or ip in node.reports
        ]
        return bootstrap(base, next(self.world.system_ids), voters)

    def next_state(self, base):
        self.proposed_commands = [submitted for submitted in self.commands if submitted.status is None]
        is_chosen = base == self.node.state
        state = finish_reconfiguration(base) if is_chosen else base
        commands = [submitted.command for submitted in self.proposed_commands]
        state, self.results = apply_all(state, commands, self.world.tolerance)
        if self.requested_voters:
            state = begin_reconfiguration(state, self.requested_voters)
            self.requested_voters = None
        if not base.former and is_chosen:
            voters = self.due_voters(state) if not state.former else None
            if voters is not None:
                state = begin_reconfiguration(state, voters)
        return state

    # -- one ballot --

    def begin(self, known_state, change):
        self.start_ballot(self.node.ip, self.node.incarnation, known_state, change)

    def start_ballot(self, ip, disk_id, known_state, change):
        self.proposed_commands = []
        self.results = []
        self.highest_round = max(self.highest_round, self.node.acceptor.record.promised.round) + 1
        self.proposal = Proposal(Ballot(self.highest_round, ip, disk_id), known_state, change)
        self.send_prepare(self.proposal)

    def send_prepare(self, proposal):
        digest = self.node.config_digest
        for ip in proposal.take_prepare_targets():
            call = Prepare(proposal.ballot, proposal.known_state.number, digest)
            self.call(ip, call, self.on_prepare_reply, proposal)

    def send_accept(self, proposal):
        state = proposal.proposed_state
        if not has_contents(state, self.node.contents):
            return
        self.world.invariants.on_proposed(proposal, [submitted.command for submitted in self.proposed_commands])
        is_new_config = state.config is not None and state.config != proposal.base.config
        for ip in proposal.accept_targets():
            call = Accept(proposal.ballot, state, b"" if is_new_config else None)
            self.call(ip, call, self.on_accept_reply, proposal)

    def call(self, ip, call, on_reply, proposal):
        if ip == self.node.ip:
            self.node.on_call(call, lambda reply: on_reply(proposal, ip, reply))
        else:
            self.world.call(self.node, ip, call, lambda reply: on_reply(proposal, ip, reply))

    def on_prepare_reply(self, proposal, ip, reply):
        if proposal is not self.proposal:
            return
        if reply.accepted_state is not None:
            self.node.add_body(reply.accepted_state, reply.configuration_body)
        if reply.is_granted or reply.disk_id:
            self.advance(proposal, proposal.on_prepare_reply(ip, reply))

    def on_accept_reply(self, proposal, ip, reply):
        if proposal is not self.proposal:
            return
        if reply.needs_body:
            self.call(ip, Accept(proposal.ballot, proposal.proposed_state, b""), self.on_accept_reply, proposal)
        elif reply.is_granted or reply.disk_id:
            self.advance(proposal, proposal.on_accept_reply(ip, reply))

    def advance(self, proposal, step):
        match step:
            case NextStep.PREPARE:
                self.send_prepare(proposal)
            case NextStep.ACCEPT:
                self.send_accept(proposal)
            case NextStep.CHOSEN:
                self.on_chosen(proposal)
            case NextStep.PREEMPTED:
                self.highest_round = max(self.highest_round, proposal.highest_ballot.round)
                self.proposal = None

    def on_chosen(self, proposal):
        node = self.node
        state = proposal.proposed_state
        self.proposal = None
        for ip in proposal.accept_targets():
            if ip != node.ip:
                self.world.send(node.ip, ip, Chosen(proposal.ballot, state.number))
        if node.acceptor is not None:
            if not node.acceptor.mark_chosen(proposal.ballot, state.number):
                node.acceptor.learn(state)
            node.save()
        if state.number > node.number:
            node.commit(state)
        self.resolve_commands(state)

    def resolve_commands(self, state):
        for submitted, result in zip(self.proposed_commands, self.results, strict=True):
            if submitted.is_pending(self.world.now):
                submitted.status = result.status
                self.world.invariants.on_acknowledged(submitted.command, result.status, state)
