"""Mutants that each break one rule; the random search or a directed history must detect every one of them."""

from __future__ import annotations

from contextlib import ExitStack
from typing import NamedTuple
from unittest import mock

import msgspec

from mapleline.balancer.control import commands, state
from mapleline.balancer.control.consensus import NO_BALLOT, Acceptor, NextStep, Proposal, Record
from mapleline.balancer.control.read_lease import NEVER, ReadLease
from mapleline.balancer.control.reconfiguration import next_voters
from mapleline.balancer.control.state import (
    ConfigurationRef,
    Replacement,
    Replica,
    ReplicaId,
    State,
    begin_reconfiguration,
    finish_reconfiguration,
    replace_configuration,
)
from mapleline.balancer.transport.messages import Accepted, FetchedState, Promised, StateQuery

from . import node as node_module
from . import proposer as proposer_module
from .disk_faults import DiskFaults
from .node import BODY, Node
from .proposer import ModelProposer

REPLY_DELAY_S = 0.3


class Patch(NamedTuple):
    """A replacement of one member of a class or module."""

    owner: object
    name: str
    replacement: object


class Original:
    """The original functions, for mutants that call them."""

    prepare = Acceptor.prepare
    accept = Acceptor.accept
    mark_chosen = Acceptor.mark_chosen
    on_record_saved = Acceptor.on_record_saved
    on_prepare_reply = Proposal.on_prepare_reply
    on_accept_reply = Proposal.on_accept_reply
    on_relayed_lease = ReadLease.on_relayed_lease
    node_on_prepare = Node.on_prepare
    node_on_accept = Node.on_accept
    node_on_fetch = Node.on_fetch
    node_on_query = Node.on_query
    extend_lease = Node.extend_lease
    next_state = ModelProposer.next_state
    begin = ModelProposer.begin
    send_accept = ModelProposer.send_accept
    wipe = DiskFaults.wipe


# -- quorums and leases --


def _half_is_enough(voters, replica_ids):
    present = sum(any(voter.matches(replica_id) for replica_id in replica_ids) for voter in voters)
    return present >= max(1, len(voters) // 2)


def _new_voters_alone(self, replica_ids):
    return state.has_majority(self.voters, replica_ids)


def _matches_any_disk(self, replica_id):
    return self.ip == replica_id[0]


def _lease_of_one_less(self, voters):
    times = sorted(
        (
            max(
                (asked_at for replica_id, asked_at in self._asked_at.items() if voter.matches(replica_id)),
                default=NEVER,
            )
            for voter in voters
        ),
        reverse=True,
    )
    return times[max(0, len(voters) // 2 - 1)]


def _lease_from_reply(self, ip, report, asked_at):
    Original.extend_lease(self, ip, report, self.world.now)


def _relayed_lease_from_reply(self, asked_at, age_s):
    Original.on_relayed_lease(self, asked_at + REPLY_DELAY_S, age_s)


# -- acceptors --


def _promise_before_save(self, call, send_reply):
    Original.node_on_prepare(self, call, lambda reply: None)
    if self.acceptor is None or not self.may_vote():
        return
    record = self.acceptor.record
    is_granted = call.ballot == record.promised
    reply = Promised(is_granted, record.disk_id, record.promised, record.accepted_ballot, record.accepted_state, BODY)
    if is_granted:
        self.world.invariants.on_reply_sent(self, reply, record.accepted_ballot)
    send_reply(reply)


def _accept_before_save(self, call, send_reply):
    Original.node_on_accept(self, call, lambda reply: None)
    if self.acceptor is None or self.acceptor.record.accepted_ballot != call.ballot:
        return
    record = self.acceptor.record
    reply = Accepted(True, record.disk_id, record.promised)
    self.world.invariants.on_reply_sent(self, reply, record.accepted_ballot)
    send_reply(reply)


def _accept_despite_promise(self, ballot, accepted_state):
    self.record = msgspec.structs.replace(self.record, promised=NO_BALLOT)
    return Original.accept(self, ballot, accepted_state)


def _prepare_of_any_bootstrap(self, ballot, known_number):
    return Original.prepare(self, ballot)


def _mark_chosen_of_any_ballot(self, ballot, number):
    return Original.mark_chosen(self, self.record.accepted_ballot, number)


def _highest_accepted(acceptor, record):
    """Return the highest number of any state that was accepted on this disk, as far as this process knows."""
    Original.on_record_saved(acceptor, record)
    number = record.accepted_state.number if record.accepted_state is not None else 0
    acceptor.highest_accepted = max(getattr(acceptor, "highest_accepted", 0), number)
    return acceptor.highest_accepted


def _version_by_number(self, record):
    self.durable_version = _highest_accepted(self, record)


def _accepted_number_climbs(self, record):
    self.durable_accepted_number = _highest_accepted(self, record)


# -- proposals --


def _first_accepted(self, ip, reply):
    if self.highest_accepted_state is not None:
        reply = msgspec.structs.replace(reply, accepted_ballot=NO_BALLOT)
    return Original.on_prepare_reply(self, ip, reply)


def _ask_known_voters_alone(self, ip, reply):
    """Prepare with a quorum of the known state only, even if promises show other voters."""
    if self.is_finished or self.proposed_state is not None or not reply.is_granted:
        return Original.on_prepare_reply(self, ip, reply)
    self._promised_by.add(ReplicaId(ip, reply.disk_id))
    if reply.accepted_state is not None and reply.accepted_ballot > self.highest_accepted_ballot:
        self.highest_accepted_state = reply.accepted_state
        self.highest_accepted_ballot = reply.accepted_ballot
    shows_known = self.base is self.highest_accepted_state or not self.known_state.number
    if not self.known_state.has_quorum(self._promised_by) or not shows_known:
        return NextStep.WAIT
    self.proposed_state = self._change(self.base)
    return NextStep.ACCEPT


def _old_voters_accept_alone(self, ip, reply):
    """Accept with a quorum of the base only, without the new voters."""
    step = Original.on_accept_reply(self, ip, reply)
    is_undecided = self.proposed_state is not None and not self.is_finished
    if step is NextStep.WAIT and reply.is_granted and is_undecided and self.base.has_quorum(self._accepted_by):
        self.is_finished = True
        return NextStep.CHOSEN
    return step


def _ballot_of_anyone(self, known_state, change):
    self.start_ballot(0, 0, known_state, change)


def _ballot_of_earlier_process(self, known_state, change):
    self.node.incarnation = 1
    Original.begin(self, known_state, change)


def _answer_before_chosen(self, proposal):
    Original.send_accept(self, proposal)
    if self.proposal is proposal and proposal.proposed_state is not None:
        self.on_chosen(proposal)


# -- changes of the state --


def _finish_any_reconfiguration(self, base):
    successor = Original.next_state(self, base)
    if base.former and successor.former == base.former:
        return finish_reconfiguration(successor)
    return successor


def _reconfigure_at_once(base, voters):
    successor = begin_reconfiguration(base, voters)
    return successor if successor is base else msgspec.structs.replace(successor, former=())


def _reconfigure_again(base, voters):
    if base.number:
        base = msgspec.structs.replace(base, former=())
    return begin_reconfiguration(base, voters)


def _next_voters_again(base, *rest):
    return next_voters(msgspec.structs.replace(base, former=()), *rest)


def _highest_content_wins(base, version, digest):
    past = dict(base.past)
    if version not in past:
        return replace_configuration(base, version, digest)
    if digest <= past[version]:
        return Replacement(base, True)
    past[version] = digest
    successor = msgspec.structs.replace(
        base,
        number=base.number + 1,
        config=ConfigurationRef(version, digest),
        past=tuple(ConfigurationRef(*item) for item in sorted(past.items())),
    )
    return Replacement(successor, True)


# -- disks and the fetching of states --


def _wipe_keeps_identity(self, ip):
    disk = self.world.machines[ip].disk
    record = disk.record if disk is not None else None
    Original.wipe(self, ip)
    if record is not None and disk.record is None:
        disk.record = Record(ip, record.disk_id)


def _believe_older_folder(self, ip, query):
    Original.node_on_query(self, ip, StateQuery(query.nonce))


def _send_accepted_as_chosen(self, call, send_reply):
    accepted = self.acceptor.accepted_state if self.acceptor is not None else None
    if accepted is None or accepted.number <= max(call.known_number, self.number):
        Original.node_on_fetch(self, call, send_reply)
        return
    sent = accepted if call.wants_full_state else accepted.without_past()
    send_reply(FetchedState(sent, BODY))


def _any_contents(known_state, contents):
    return known_state is not None


def _always_bootstraps(self):
    return True


MUTANTS = {
    "one voter less than a majority is a quorum": [Patch(state, "has_majority", _half_is_enough)],
    "one voter less than a majority gives a read lease": [Patch(ReadLease, "_majority_asked_at", _lease_of_one_less)],
    "a promise is sent before it is saved": [Patch(Node, "on_prepare", _promise_before_save)],
    "an acceptance is sent before it is saved": [Patch(Node, "on_accept", _accept_before_save)],
    "a state is accepted despite a promise to a higher ballot": [Patch(Acceptor, "accept", _accept_despite_promise)],
    "the first accepted state is adopted, not that of the highest ballot": [
        Patch(Proposal, "on_prepare_reply", _first_accepted)
    ],
    "the proposer ignores accepted states that promises report": [
        Patch(Proposal, "base", property(lambda self: self.known_state))
    ],
    "the proposer ignores other voters that promises report": [
        Patch(Proposal, "on_prepare_reply", _ask_known_voters_alone)
    ],
    "a state is chosen by the old voters without the new voters": [
        Patch(Proposal, "on_accept_reply", _old_voters_accept_alone)
    ],
    "the voters are replaced without a joint quorum": [
        Patch(owner, "begin_reconfiguration", _reconfigure_at_once) for owner in (commands, state, proposer_module)
    ],
    "a reconfiguration is finished before it is chosen": [
        Patch(ModelProposer, "next_state", _finish_any_reconfiguration)
    ],
    "the new voters alone are a quorum during a reconfiguration": [Patch(State, "has_quorum", _new_voters_alone)],
    "a reconfiguration begins before the last one is finished": [
        Patch(commands, "begin_reconfiguration", _reconfigure_again),
        Patch(proposer_module, "begin_reconfiguration", _reconfigure_again),
        Patch(proposer_module, "next_voters", _next_voters_again),
    ],
    "a wiped disk keeps its disk id": [Patch(DiskFaults, "wipe", _wipe_keeps_identity)],
    "any disk at a voter's address has its vote": [Patch(Replica, "matches", _matches_any_disk)],
    "a disk that was rolled back is not detected": [Patch(Node, "on_query", _believe_older_folder)],
    "the highest digest of a version wins, not the first": [
        Patch(commands, "replace_configuration", _highest_content_wins)
    ],
    "a ballot is not unique to its proposer": [Patch(ModelProposer, "begin", _ballot_of_anyone)],
    "a ballot of an earlier process is used again": [Patch(ModelProposer, "begin", _ballot_of_earlier_process)],
    "a read lease starts at the reply, not at the query": [Patch(Node, "extend_lease", _lease_from_reply)],
    "a relayed read lease starts at the reply, not at the query": [
        Patch(ReadLease, "on_relayed_lease", _relayed_lease_from_reply)
    ],
    "the accepted state is marked as chosen under any ballot": [
        Patch(Acceptor, "mark_chosen", _mark_chosen_of_any_ballot)
    ],
    "an accepted state is sent as a chosen one": [Patch(Node, "on_fetch", _send_accepted_as_chosen)],
    "a command is acknowledged before its state is chosen": [
        Patch(ModelProposer, "send_accept", _answer_before_chosen)
    ],
    "a state is accepted without its configuration body": [
        Patch(owner, "has_contents", _any_contents) for owner in (node_module, proposer_module)
    ],
    "the record version is the highest accepted number": [Patch(Acceptor, "on_record_saved", _version_by_number)],
    "the durable accepted number never decreases": [Patch(Acceptor, "on_record_saved", _accepted_number_climbs)],
    "a replica whose disk was emptied takes part in a bootstrap": [Patch(Node, "may_bootstrap", _always_bootstraps)],
    "a replica with a chosen state takes part in another bootstrap": [
        Patch(Acceptor, "prepare", _prepare_of_any_bootstrap)
    ],
}


def mutant(name):
    """Return a context in which one rule is broken."""
    stack = ExitStack()
    for patch in MUTANTS[name]:
        stack.enter_context(mock.patch.object(patch.owner, patch.name, patch.replacement))
    return stack
