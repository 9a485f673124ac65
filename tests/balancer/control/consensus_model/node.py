"""One process of the model: its replica, its read lease and the fetching of newer states."""

from __future__ import annotations

from typing import NamedTuple

from mapleline.balancer.control.consensus import Acceptor, Record, referenced_digests
from mapleline.balancer.control.read_lease import ReadLease
from mapleline.balancer.control.state import ReplicaId, has_contents
from mapleline.balancer.transport.messages import (
    Accept,
    Accepted,
    Chosen,
    FetchedState,
    FetchState,
    Prepare,
    Promised,
    StateQuery,
    StateReport,
)

from .proposer import ModelProposer

MAX_REPORTED_AGE_S = 60
BODY = b""  #: the body of every configuration: the model distinguishes configurations by digest only


class ReplicaReport(NamedTuple):
    """The newest report of a machine with a disk (`replica_reports.ReplicaReport`)."""

    disk_id: int
    durable_number: int
    asked_at: float


NO_REPORT = ReplicaReport(0, 0, 0.0)


class PendingSave(NamedTuple):
    """A save in progress."""

    acceptor: Acceptor
    record: Record
    contents: set[int]
    on_done: object  #: called with whether the record is on the disk


class Node:
    """One process, with its parts connected as in `control_plane.ControlPlane`; time and order come from the world."""

    def __init__(self, world, machine):
        self.world = world
        self.machine = machine
        self.ip = machine.ip
        self.disk = machine.disk
        machine.start_count += 1
        self.incarnation = machine.start_count
        self.is_initial_start = machine.is_initial_start
        # without a disk, only the first start is an initial one, as a later process has no record of its votes
        machine.is_initial_start = machine.is_initial_start and self.disk is not None
        self.acceptor = None
        self.state = None  #: the newest state known to be chosen
        self.contents = set()
        self.pending_saves = []
        self.read_lease = ReadLease()
        self.highest_versions = {}  #: the highest record version seen, by address and disk
        self.reports = {}  #: the newest report, by address
        self.queries = {}  #: queries in flight, as (address, time) by nonce
        self.proposer = ModelProposer(self)
        self.load()

    def load(self):
        if self.disk is None and not self.is_initial_start:
            return
        record = self.disk.record if self.disk is not None else None
        if record is None:
            self.draw_identity()
            return
        self.acceptor = Acceptor(record)
        self.contents = set(self.disk.contents)
        self.world.invariants.on_record_saved(self, record)
        chosen = self.acceptor.chosen_state
        if chosen is not None and has_contents(chosen, self.contents):
            self.commit(chosen)

    def draw_identity(self):
        """Take a new identity once its first record is saved."""
        acceptor = Acceptor(Record(self.ip, next(self.world.disk_ids)))
        self.acceptor = None

        def on_saved(is_saved):
            if not is_saved:
                self.draw_identity()
            elif self.acceptor is None:
                self.acceptor = acceptor
                if self.state is not None and self.disk is not None:
                    acceptor.learn(self.state)
                    self.save()

        if self.disk is None:
            self.acceptor = acceptor
        else:
            self.save_record(acceptor, on_saved)

    # -- the disk --

    def save_record(self, acceptor, on_done):
        """Begin to save the acceptor's present record; a seed without a disk keeps it only in memory."""
        record = acceptor.record
        if self.disk is None:
            acceptor.on_record_saved(record)
            self.world.invariants.on_record_saved(self, record)
            on_done(True)
            return
        referenced = referenced_digests(record)
        assert referenced <= self.contents, f"{self.ip} lacks a content that its record references"
        self.pending_saves.append(PendingSave(acceptor, record, referenced & self.contents, on_done))

    def save(self):
        if self.acceptor is not None:
            self.save_record(self.acceptor, lambda is_saved: None)

    def finish_save(self, index, is_written):
        """Finish a save; `is_written` is False for a disk error."""
        save = self.pending_saves.pop(index)
        try:
            if is_written:
                self.disk.save(save.record, save.contents)
        except KeyError:
            is_written = False
        if is_written:
            save.acceptor.on_record_saved(save.record)
            self.world.invariants.on_record_saved(self, save.record)
        save.on_done(is_written)

    def repair(self):
        """Save the newest state if an earlier save of it failed."""
        if self.disk is None or self.acceptor is None or self.state is None:
            return
        if self.acceptor.durable_chosen_number < self.state.number:
            self.acceptor.learn(self.state)
            self.save()

    # -- the read lease --

    @property
    def is_voter(self):
        if self.disk is None or self.acceptor is None or self.state is None:
            return False
        return self.state.is_voter(self.ip, self.acceptor.disk_id)

    @property
    def number(self):
        return self.state.number if self.state is not None else 0

    @property
    def config_digest(self):
        return self.state.config.digest if self.state is not None and self.state.config is not None else 0

    def lease_valid_since(self):
        return self.read_lease.valid_since(self.state)

    def report_of(self, ip):
        return self.reports.get(ip, NO_REPORT)

    def query(self, ip):
        """Query another process, or the own replica, for its state."""
        now = self.world.now
        if ip == self.ip:
            self.query_own_replica(now)
            return
        nonce = next(self.world.nonces)
        self.queries[nonce] = ip, now
        disk_id = self.report_of(ip).disk_id
        version = self.highest_versions.get((ip, disk_id), 0)
        self.world.send(self.ip, ip, StateQuery(nonce, disk_id, version))

    def query_own_replica(self, now):
        accepted = self.acceptor.accepted_state if self.is_voter else None
        if accepted is not None and accepted.number <= self.state.number:
            self.read_lease.on_agreement(ReplicaId(self.ip, self.acceptor.disk_id), now)

    def on_query(self, ip, query):
        if self.is_rolled_back(query):
            assert (self.ip, self.acceptor.disk_id) in self.world.disk_faults.rolled_back, (
                f"{self.ip} abandons its disk identity without a rollback"
            )
            # the abandoned identity may have voted on the first voters
            self.is_initial_start = self.machine.is_initial_start = False
            self.draw_identity()
            self.send_report(ip, query, None)
        else:
            self.send_report(ip, query, self.acceptor)

    def is_rolled_back(self, query):
        """Return whether the sender has seen a newer record of this disk than the one on it."""
        if self.acceptor is None or self.disk is None:
            return False
        is_of_this_disk = query.receiver_disk_id == self.acceptor.disk_id
        return is_of_this_disk and query.receiver_record_version > self.acceptor.durable_version

    def send_report(self, ip, query, acceptor):
        age_s = self.world.now - self.lease_valid_since()
        age_ms = int(age_s * 1000) + 1 if age_s < MAX_REPORTED_AGE_S else -1
        number = self.number
        if acceptor is None or self.disk is None:
            report = StateReport(query.nonce, 0, 0, number, number, 0, age_ms)
        else:
            report = StateReport(
                query.nonce,
                acceptor.disk_id,
                acceptor.durable_version,
                acceptor.durable_accepted_number,
                number,
                acceptor.durable_chosen_number,
                age_ms,
            )
        self.world.send(self.ip, ip, report)

    def on_report(self, ip, report):
        queried_ip, asked_at = self.queries.pop(report.nonce, (None, None))
        if queried_ip != ip:
            return
        if report.disk_id:
            key = ip, report.disk_id
            highest = self.highest_versions[key] = max(report.record_version, self.highest_versions.get(key, 0))
            is_newest = report.record_version >= highest
            self.reports[ip] = ReplicaReport(report.disk_id, report.durable_number if is_newest else 0, asked_at)
            if not is_newest:
                return
        if report.committed_number > self.number:
            self.fetch(ip, lambda: self.extend_lease(ip, report, asked_at))
        else:
            self.extend_lease(ip, report, asked_at)

    def extend_lease(self, ip, report, asked_at):
        if report.disk_id and report.accepted_number <= self.number:
            self.read_lease.on_agreement(ReplicaId(ip, report.disk_id), asked_at)
        if report.staleness_ms >= 0 and report.committed_number <= self.number:
            self.read_lease.on_relayed_lease(asked_at, report.staleness_ms / 1000)

    # -- newer states --

    def fetch(self, ip, on_finished=lambda: None):
        def on_fetched(reply):
            if reply.state is not None:
                self.learn(reply.state, reply.configuration_body)
            on_finished()

        self.world.call(self, ip, FetchState(self.number, self.config_digest, self.disk is not None), on_fetched)

    def learn(self, state, body):
        """Apply a chosen state from another process."""
        if self.state is not None and (state.number <= self.state.number or state.system != self.state.system):
            return
        is_without_past = state.config is not None and not state.past
        if self.disk is not None and is_without_past:
            return
        self.add_body(state, body)
        if not has_contents(state, self.contents):
            return
        if self.acceptor is not None and self.disk is not None:
            self.acceptor.learn(state)
            self.save()
        self.commit(state)

    def add_body(self, state, body):
        if body is not None and state.config is not None:
            self.contents.add(state.config.digest)

    def commit(self, state):
        """Put a state in force that is known to be chosen."""
        self.world.invariants.on_committed(state)
        previous = self.state
        self.state = state
        if previous is None or previous.epoch != state.epoch:
            self.read_lease.retain_voters(state)
        referenced = self.proposer.referenced_digests()
        if state.config is not None:
            referenced.add(state.config.digest)
        if self.acceptor is not None:
            referenced |= referenced_digests(self.acceptor.record)
        self.contents &= referenced

    # -- the replica --

    def on_call(self, call, send_reply):
        match call:
            case Prepare():
                self.on_prepare(call, send_reply)
            case Accept():
                self.on_accept(call, send_reply)
            case FetchState():
                self.on_fetch(call, send_reply)

    def on_fetch(self, call, send_reply):
        state = self.state
        if state is None or state.number <= call.known_number:
            send_reply(FetchedState(None, None))
            return
        is_body_unknown = state.config is not None and state.config.digest != call.known_content
        sent = state if call.wants_full_state else state.without_past()
        send_reply(FetchedState(sent, BODY if is_body_unknown else None))

    def may_vote(self):
        """Return whether its votes count: with a disk, or as a seed until the bootstrap is over."""
        if self.acceptor is None:
            return False
        return self.disk is not None or self.state is None or any(voter.ip == self.ip for voter in self.state.former)

    def may_bootstrap(self):
        """Return whether it may take part in a bootstrap.

        With a disk that was empty at a later start it may not, since the replica on the earlier disk may have voted.
        """
        return self.is_initial_start or self.state is not None or self.acceptor.accepted_state is not None

    def on_prepare(self, call, send_reply):
        acceptor = self.acceptor
        if not self.may_vote() or not self.may_bootstrap():
            send_reply(Promised(False, 0))
            return
        is_granted = acceptor.prepare(call.ballot, call.known_number)
        record = acceptor.record
        accepted = record.accepted_state
        has_new_body = (
            accepted is not None
            and accepted.config is not None
            and accepted.config.digest != call.known_content
            and accepted.config.digest in self.contents
        )
        body = BODY if has_new_body else None
        reply = Promised(is_granted, record.disk_id, record.promised, record.accepted_ballot, accepted, body)
        self.reply_when_saved(acceptor, reply, record.accepted_ballot, Promised(False, 0), send_reply)

    def on_accept(self, call, send_reply):
        acceptor = self.acceptor
        if not self.may_vote() or not self.may_bootstrap() and not call.state.is_voter(self.ip, acceptor.disk_id):
            send_reply(Accepted(False, 0))
            return
        self.add_body(call.state, call.configuration_body)
        if not has_contents(call.state, self.contents):
            send_reply(Accepted(False, acceptor.disk_id, needs_body=True))
            return
        is_granted = acceptor.accept(call.ballot, call.state)
        record = acceptor.record
        reply = Accepted(is_granted, record.disk_id, record.promised)
        self.reply_when_saved(acceptor, reply, record.accepted_ballot, Accepted(False, 0), send_reply)

    def reply_when_saved(self, acceptor, reply, accepted_ballot, rejection, send_reply):
        """Send a rejection at once, and a vote once the record is on the disk, or `rejection` if that fails."""
        if not reply.is_granted:
            send_reply(reply)
            return
        invariants = self.world.invariants
        invariants.on_reply_made(self, acceptor.record)

        def on_saved(is_saved):
            if is_saved:
                invariants.on_reply_sent(self, reply, accepted_ballot)
            send_reply(reply if is_saved else rejection)

        self.save_record(acceptor, on_saved)

    def on_chosen(self, ip, message: Chosen):
        if self.acceptor is not None and self.acceptor.mark_chosen(message.ballot, message.state_number):
            self.save()
            chosen = self.acceptor.chosen_state
            if chosen.number > self.number:
                self.commit(chosen)
