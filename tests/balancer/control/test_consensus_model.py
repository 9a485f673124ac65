"""The agreement on the core's state explored: losses, delays, restarts, wiped disks, growth, rivals, in any order.

A world of a few machines drives the same `Acceptor`, `Proposal`, `Contact` and rules of membership and orders as the
driver does; everything between them is the search's: what arrives, when, how often, and what a loss of power leaves.
What is chosen is computed from the disks, never taken from a proposer.  Each mutant of the rules has to be found.
"""

import random
import sys
import unittest
from bisect import bisect_left
from contextlib import ExitStack
from itertools import count
from unittest import mock

from hypothesis import HealthCheck, settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test
from hypothesis.strategies import booleans, integers, sampled_from, sets

from mapleline.balancer.control import commands, state
from mapleline.balancer.control.commands import (
    CommandStatus,
    RemoveReplica,
    ReplaceConfiguration,
    SetEvacuation,
    apply_all,
)
from mapleline.balancer.control.consensus import (
    NO_BALLOT,
    Acceptor,
    Ballot,
    NextStep,
    Proposal,
    Record,
    referenced_digests,
)
from mapleline.balancer.control.read_lease import NEVER, ReadLease
from mapleline.balancer.control.reconfiguration import FaultTolerance, ReplicaStatus, next_voters, tolerates_faults
from mapleline.balancer.control.state import (
    ConfigurationRef,
    Replica,
    ReplicaId,
    begin_reconfiguration,
    bootstrap,
    finish_reconfiguration,
    has_contents,
    initial_state,
)
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

PROBE_S, NEAR, LOST_S, ORDER_S = 1.0, 8, 5.0, 3.6
STEPS = 70
#: disks of the first start, seeds, readers without a disk, machines that may come later, losses to be borne
CORES = [
    ([1, 2, 3], [1, 2, 3], [9], [4, 5], 1),
    ([1, 2, 3, 4], [1, 2, 3, 4], [9], [5, 6], 1),
    ([1, 2, 3, 4, 5], [1, 2, 9], [9], [6], 2),
    ([1, 2, 3, 4, 5], [1, 2, 3], [9], [6], 2),
    ([1, 2, 3], [1, 8, 9], [8, 9], [4], 1),
    ([1], [1], [9], [2, 3, 4], 1),
]


def agreed(one, heard):
    """The test's own majorities: none of the rules' code."""
    for voters in (one.voters, one.former):
        if voters and 2 * sum(any(ip == r.ip and r.disk in (0, d) for ip, d in heard) for r in voters) <= len(voters):
            return False
    return True


class Disk:
    """What is lasting; saving follows `Snapshot.save`."""

    def __init__(self):
        self.record, self.contents, self.older = None, set(), []

    def save(self, record, contents):
        held = self.record
        if held is not None and held.disk == record.disk and held.version >= record.version:
            return
        wanted = referenced_digests(record)
        if wanted - self.contents - contents:
            raise KeyError(wanted)
        self.record, self.contents = record, wanted
        self.older.append((record, wanted))


class Machine:
    """An address: its disk outlasts a life."""

    def __init__(self, ip, disk, initial):
        self.ip, self.disk, self.initial = ip, Disk() if disk else None, initial
        self.life, self.lives = None, 0
        self.down_since, self.leaving, self.gone = 0.0, False, False


class Asked:
    """One order at one replica."""

    def __init__(self, order, end):
        self.order, self.end, self.status = order, end, None


class Life:
    """One process, as `driver.Archive` puts the parts together; time and chance are the world's."""

    def __init__(self, world, machine):
        self.world, self.machine, self.ip, self.disk = world, machine, machine.ip, machine.disk
        machine.lives += 1
        self.incarnation, self.initial = machine.lives, machine.initial
        machine.initial = machine.initial and self.disk is not None  # a first start is one that had seen nothing
        self.acceptor = self.state = self.proposal = None
        self.contents, self.syncs, self.orders = set(), [], []
        self.contact, self.high, self.seen, self.probes = ReadLease(), {}, {}, {}
        self.round, self.taken, self.outcomes, self.mine, self.wish = 0, [], [], True, None
        self.load()

    def load(self):
        if self.disk is None and not self.initial:
            return
        record = self.disk.record if self.disk is not None else None
        if record is None:
            return self.new_identity()
        self.acceptor, self.contents = Acceptor(record), set(self.disk.contents)
        self.world.durable(self, record)
        if self.acceptor.chosen_state is not None and has_contents(self.acceptor.chosen_state, self.contents):
            self.hold(self.acceptor.chosen_state)

    def new_identity(self):
        acceptor, self.acceptor = Acceptor(Record(self.ip, next(self.world.disks))), None

        def kept(ok):
            if not ok:
                return self.new_identity()
            if self.acceptor is None:
                self.acceptor = acceptor
                if self.state is not None and self.disk is not None:
                    acceptor.learn(self.state)
                    self.keep()

        if self.disk is None:
            self.acceptor = acceptor
        else:
            self.sync(acceptor, kept)

    # the disk

    def sync(self, acceptor, done):
        if self.disk is None:
            acceptor.on_record_saved(acceptor.record)
            self.world.durable(self, acceptor.record)
            return done(True)
        record = acceptor.record
        assert referenced_digests(record) <= self.contents, f"{self.ip} lacks what it accepts"
        self.syncs.append((acceptor, record, referenced_digests(record) & self.contents, done))

    def keep(self):
        if self.acceptor is not None:
            self.sync(self.acceptor, lambda ok: None)

    def written(self, nth, ok):
        """A save returns, or the disk refuses."""
        acceptor, record, contents, done = self.syncs.pop(nth)
        try:
            if ok:
                self.disk.save(record, contents)
        except KeyError:
            ok = False
        if ok:
            acceptor.on_record_saved(record)
            self.world.durable(self, record)
        done(ok)

    # contact

    @property
    def is_voter(self):
        return (
            self.disk is not None
            and self.acceptor is not None
            and self.state is not None
            and self.state.is_voter(self.ip, self.acceptor.disk)
        )

    def since(self):
        return self.contact.valid_since(self.state)

    def number(self):
        return self.state.number if self.state is not None else 0

    def ask(self, ip):
        now = self.world.now
        if ip == self.ip:
            if (
                self.is_voter
                and self.acceptor.accepted_state is not None
                and self.acceptor.accepted_state.number <= self.state.number
            ):
                self.contact.on_agreement(ReplicaId(self.ip, self.acceptor.disk), now)
            return
        nonce = next(self.world.nonces)
        self.probes[nonce] = ip, now
        disk = self.seen.get(ip, (0,))[0]
        self.world.send(self.ip, ip, StateQuery(nonce, disk, self.high.get((ip, disk), 0)))

    def probed(self, ip, probe):
        acceptor = self.acceptor
        if (
            acceptor is not None
            and self.disk is not None
            and probe.receiver_disk_id == acceptor.disk
            and probe.receiver_record_version > acceptor.durable_version
        ):
            assert (self.ip, acceptor.disk) in self.world.stale, f"{self.ip} gives its disk up without cause"
            self.initial = self.machine.initial = False  # what was here may have voted on the first core
            self.new_identity()
            acceptor = None
        age = self.world.now - self.since()
        age_ms = int(age * 1000) + 1 if age < 60 else -1
        number = self.number()
        if acceptor is None or self.disk is None:
            return self.world.send(self.ip, ip, (StateReport(probe.nonce, 0, 0, number, number, 0, age_ms), 0))
        held = StateReport(
            probe.nonce,
            acceptor.disk,
            acceptor.durable_version,
            acceptor.durable_accepted_number,
            number,
            acceptor.durable_chosen_number,
            age_ms,
        )
        self.world.send(self.ip, ip, (held, acceptor.durable_version))

    def held(self, ip, told):
        held, turn = told
        out = self.probes.pop(held.nonce, None)
        if out is None or out[0] != ip:
            return
        if held.disk_id:
            high = self.high[ip, held.disk_id] = max(turn, self.high.get((ip, held.disk_id), 0))
            self.seen[ip] = held.disk_id, held.durable_number if turn >= high else 0, out[1]
            if turn < high:
                return
        if held.committed_number > self.number():
            self.pull(ip, lambda: self.agree(ip, held, out[1]))
        else:
            self.agree(ip, held, out[1])

    def agree(self, ip, held, asked):
        if held.disk_id and held.accepted_number <= self.number():
            self.contact.on_agreement(ReplicaId(ip, held.disk_id), asked)
        if held.staleness_ms >= 0 and held.committed_number <= self.number():
            self.contact.on_relayed_lease(asked, held.staleness_ms / 1000)

    # news

    def pull(self, ip, then=lambda: None):
        def pulled(reply):
            if reply.state is not None:
                self.learn(reply.state, reply.configuration_body)
            then()

        content = self.state.config.digest if self.state is not None and self.state.config is not None else 0
        self.world.call(self, ip, FetchState(self.number(), content, self.disk is not None), pulled)

    def learn(self, told, body):
        if self.state is not None and (told.number <= self.state.number or told.system != self.state.system):
            return
        if self.disk is not None and told.config is not None and not told.past:
            return
        self.content(told, body)
        if not has_contents(told, self.contents):
            return
        if self.acceptor is not None and self.disk is not None:
            self.acceptor.learn(told)
            self.keep()
        self.hold(told)

    def content(self, told, body):
        if body is not None and told.config is not None:
            self.contents.add(told.config.digest)

    def hold(self, told):
        self.world.held(told)
        before, self.state = self.state, told
        if before is None or before.epoch != told.epoch:
            self.contact.retain_voters(told)
        proposed = self.proposal.proposed_state if self.proposal is not None else None
        wanted = {held.config.digest for held in (told, proposed) if held is not None and held.config is not None}
        wanted |= {one.order.digest for one in self.orders if isinstance(one.order, ReplaceConfiguration)}
        if self.acceptor is not None:
            wanted |= referenced_digests(self.acceptor.record)
        self.contents &= wanted

    # as a replica

    def called(self, call, answer):
        match call:
            case Prepare(), known:
                self.prepare(call[0], answer, known)
            case Accept():
                self.accept(call, answer)
            case FetchState():
                self.give(call, answer)

    def give(self, call, answer):
        held, told, body = self.state, None, None
        if held is not None and held.number > call.known_number:
            told = held if call.wants_full_state else held.without_past()
            body = b"" if held.config is not None and held.config.digest != call.known_content else None
        answer(FetchedState(told, body))

    def votes(self):
        founding = self.state is None or any(r.ip == self.ip for r in self.state.former)
        return self.acceptor is not None and (self.disk is not None or founding)

    def remembers(self):
        """A disk that was empty at a later start has no part in a founding: what was there may have voted."""
        return self.initial or self.state is not None or self.acceptor.accepted_state is not None

    def prepare(self, call, answer, known):
        acceptor = self.acceptor
        if not self.votes() or not self.remembers():
            return answer(Promised(False, 0))
        ok, record = acceptor.prepare(call.ballot, known), acceptor.record
        body = None
        if (
            record.accepted_state is not None
            and record.accepted_state.config is not None
            and record.accepted_state.config.digest != call.known_content
            and record.accepted_state.config.digest in self.contents
        ):
            body = b""
        reply = Promised(ok, record.disk, record.promised, record.accepted_ballot, record.accepted_state, body)
        if not ok:
            return answer(reply)
        self.world.vouch(self, record)
        self.sync(acceptor, lambda ok: answer(self.world.answered(self, reply) if ok else Promised(False, 0)))

    def accept(self, call, answer):
        acceptor = self.acceptor
        if not self.votes() or not self.remembers() and not call.state.is_voter(self.ip, acceptor.disk):
            return answer(Accepted(False, 0))
        self.content(call.state, call.configuration_body)
        if not has_contents(call.state, self.contents):
            return answer(Accepted(False, acceptor.disk, needs_body=True))
        ok, record = acceptor.accept(call.ballot, call.state), acceptor.record
        reply = Accepted(ok, record.disk, record.promised)
        if not ok:
            return answer(reply)
        self.world.vouch(self, record)
        self.sync(acceptor, lambda ok: answer(self.world.answered(self, reply, record) if ok else Accepted(False, 0)))

    def told_chosen(self, ip, told):
        if self.acceptor is not None and self.acceptor.mark_chosen(told.ballot, told.state_number):
            self.keep()
            decided = self.acceptor.chosen_state
            if decided.number > self.number():
                self.hold(decided)

    # as a proposer

    def order(self, order):
        if not self.is_voter:
            return
        if isinstance(order, ReplaceConfiguration):
            self.contents.add(order.digest)
        self.orders.append(Asked(order, self.world.now + ORDER_S))

    def turn(self, mine):
        self.orders = [one for one in self.orders if one.status is None and one.end > self.world.now]
        if self.proposal is not None or self.acceptor is None or self.disk is None:
            return
        if self.state is None:
            if self.initial:
                self.begin(initial_state(self.world.seeds), self.found)
            return
        if not self.is_voter:
            return
        limbo = self.acceptor.accepted_state is not None and self.acceptor.accepted_state.number > self.state.number
        self.mine = mine
        if self.orders or self.wish or self.state.former and mine or limbo or self.due(self.state):
            self.begin(self.state, self.next)

    def due(self, base):
        now = self.world.now
        if not self.mine or now - self.since() > 2 * PROBE_S:
            return None
        known, seen = {r.ip: r for r in base.voters}, []
        for ip in sorted(known.keys() | {ip for ip in self.world.alive(self.ip) if self.world.machines[ip].disk}):
            disk, kept, at = self.seen.get(ip, (0, 0, 0.0))
            if ip == self.ip:
                disk, kept, at = self.acceptor.disk, base.number, now
            fresh = now - at < 2 * PROBE_S and bool(disk)
            replica = Replica(ip, disk, ip) if fresh or ip not in known else known[ip]
            whole_ = fresh and kept > 0 and kept + NEAR >= base.number
            seen.append(ReplicaStatus(replica, whole_, self.world.machines[ip].leaving, self.world.silent(self.ip, ip)))
        return next_voters(base, seen, FaultTolerance(self.world.losses, 1), LOST_S)

    def found(self, base):
        core = [
            Replica(ip, self.acceptor.disk if ip == self.ip else self.seen[ip][0], ip)
            for ip in self.world.alive(self.ip)
            if ip == self.ip or ip in self.seen
        ]
        return bootstrap(base, next(self.world.systems), core)

    def next(self, base):
        self.taken = [one for one in self.orders if one.status is None]
        after = finish_reconfiguration(base) if base == self.state else base
        after, self.outcomes = apply_all(after, [one.order for one in self.taken], FaultTolerance(self.world.losses, 1))
        if self.wish:
            after, self.wish = begin_reconfiguration(after, self.wish), None
        if not base.former and base == self.state:
            voters = self.due(after) if not after.former else None
            if voters is not None:
                after = begin_reconfiguration(after, voters)
        return after

    def begin(self, known, change):
        self.taken, self.outcomes = [], []
        self.round = max(self.round, self.acceptor.record.promised.round) + 1
        proposal = self.proposal = Proposal(Ballot(self.round, self.ip, self.incarnation), known, change)
        self.prepare_at(proposal)

    def prepare_at(self, proposal):
        content = self.state.config.digest if self.state is not None and self.state.config is not None else 0
        for ip in proposal.take_prepare_targets():
            known = proposal.known_state.number
            self.call(ip, (Prepare(proposal.ballot, known, content), known), self.promised, proposal)

    def call(self, ip, call, then, proposal):
        if ip == self.ip:
            return self.called(call, lambda reply: then(proposal, ip, reply))
        self.world.call(self, ip, call, lambda reply: then(proposal, ip, reply))

    def promised(self, proposal, ip, reply):
        if proposal is not self.proposal:
            return
        if reply.accepted_state is not None:
            self.content(reply.accepted_state, reply.configuration_body)
        if reply.is_granted or reply.disk_id:
            step = proposal.on_prepare_reply(ip, reply)
            self.step(proposal, step)

    def step(self, proposal, step):
        match step:
            case NextStep.PREPARE:
                self.prepare_at(proposal)
            case NextStep.ACCEPT:
                self.accept_at(proposal)
            case NextStep.CHOSEN:
                self.won(proposal)
            case NextStep.PREEMPTED:
                self.round = max(self.round, proposal.highest_ballot.round)
                self.proposal = None

    def accept_at(self, proposal):
        if not has_contents(proposal.proposed_state, self.contents):
            return
        self.world.proposed(proposal, self.taken)
        fresh = proposal.proposed_state.config is not None and proposal.proposed_state.config != proposal.base.config
        for ip in proposal.accept_targets():
            call = Accept(proposal.ballot, proposal.proposed_state, b"" if fresh else None)
            self.call(ip, call, self.accepted, proposal)

    def accepted(self, proposal, ip, reply):
        if proposal is not self.proposal:
            return
        if reply.needs_body:
            return self.call(ip, Accept(proposal.ballot, proposal.proposed_state, b""), self.accepted, proposal)
        if reply.is_granted or reply.disk_id:
            self.step(proposal, proposal.on_accept_reply(ip, reply))

    def won(self, proposal):
        self.proposal, told = None, proposal.proposed_state
        for ip in proposal.accept_targets():
            if ip != self.ip:
                self.world.send(self.ip, ip, Chosen(proposal.ballot, told.number))
        if self.acceptor is not None:
            self.acceptor.mark_chosen(proposal.ballot, told.number) or self.acceptor.learn(told)
            self.keep()
        if told.number > self.number():
            self.hold(told)
        for one, outcome in zip(self.taken, self.outcomes, strict=True):
            if one.status is None and one.end > self.world.now:
                one.status = outcome.status
                self.world.acknowledged(one.order, outcome.status, told)

    def mend(self):
        if (
            self.disk is not None
            and self.acceptor is not None
            and self.state is not None
            and self.acceptor.durable_chosen_number < self.state.number
        ):
            self.acceptor.learn(self.state)
            self.keep()


class Link:
    """A proposal as it was sent out: what it stands on, and who has accepted it for good."""

    def __init__(self, parent, base, told, zones):
        self.parent, self.base, self.state, self.zones, self.by, self.chosen = parent, base, told, zones, set(), False


class World:
    """Time moves by steps alone; what is on its way lies in `wire` until the search takes it."""

    def __init__(self, core=0):
        first, self.seeds, readers, later, self.losses = CORES[core]
        self.now, self.version, self.wire, self.cut = 10.0, 0, [], set()
        self.nonces, self.disks, self.systems = count(1), count(1), count(1)
        self.links, self.top, self.times, self.numbers = {}, None, [], []
        self.confirmed, self.refused, self.said = {}, set(), {}
        self.spans = {}  #: by address: its life, and the number and epoch it knew
        self.machines = {ip: Machine(ip, ip in first, ip in first or ip in self.seeds) for ip in (*first, *readers)}
        self.later, self.lost = later, {}
        self.stale = {}  #: disks that were put back from an older day, and the turn that is remembered
        for machine in self.machines.values():
            machine.life = Life(self, machine)

    # what the search has in hand

    def send(self, source, to, message):
        self.wire.append((source, to, lambda: self.told(source, to, message)))

    def told(self, source, to, message):
        life = self.machines[to].life
        if life is not None:
            {StateQuery: life.probed, tuple: life.held, Chosen: life.told_chosen}[type(message)](source, message)

    def call(self, caller, to, message, then):
        source = caller.ip

        def back(reply):
            if self.machines[source].life is caller:
                then(reply)

        def there():
            life = self.machines[to].life
            if life is not None:
                life.called(message, lambda reply: self.wire.append((to, source, lambda: back(reply))))

        if to in self.machines:
            self.wire.append((source, to, there))

    def deliver(self, nth, keep=False):
        if self.wire:
            source, to, run = self.wire[nth % len(self.wire)]
            if (source, to) in self.cut:
                return
            if not keep:
                del self.wire[nth % len(self.wire)]
            run()

    def ballot(self, ip, mine, first, then, lot, lazy=False):
        """One ballot whose questions reach some, and what they make of it others; the rest is on its way.  `lazy`: the
        proposer's own disk takes its time.
        """
        life = self.machines[ip].life
        if life is None:
            return
        life.proposal = None
        start = len(self.wire)
        life.turn(mine)
        proposal = life.proposal
        for _ in range(50 if proposal is not None else 0):
            reach = {ip, *(first if proposal.proposed_state is None else then)}
            for to in reach - {ip} if lazy else reach:
                if self.machines[to].life is not None and self.machines[to].life.syncs:
                    self.machines[to].life.written(0, True)
            able = [
                n
                for n in range(start, len(self.wire))
                if ip in self.wire[n][:2] and reach.issuperset(self.wire[n][:2]) and self.wire[n][:2] not in self.cut
            ]
            if able:
                self.wire.pop(able[lot(len(able))])[2]()
            self.now += 0.001

    def lose(self, nth):
        if self.wire:
            del self.wire[nth % len(self.wire)]

    def write(self, nth, ok=True):
        """A save somewhere is done."""
        all_ = [(life, n) for life in self.lives() for n in range(len(life.syncs))]
        if all_:
            life, n = all_[nth % len(all_)]
            life.written(n, ok)

    def lives(self):
        return [m.life for m in self.machines.values() if m.life is not None]

    def run(self, lot, steps):
        """So many arrivals and saves, in the order that `lot(n)` draws."""
        for _ in range(steps):
            saves = sum(len(life.syncs) for life in self.lives())
            if not self.wire and not saves:
                return
            nth = lot(len(self.wire) + saves)
            if nth < len(self.wire):
                self.deliver(nth)
            else:
                self.write(nth - len(self.wire))
            self.now += 0.001

    def crash(self, ip, left):
        """The power is gone.  Of the saves under way the newest that made it is as `left` says, or none did."""
        machine = self.machines[ip]
        life = machine.life
        if life is None or machine.disk is None and not self.bears_seed(ip):
            return
        if life.syncs and left % (len(life.syncs) + 1):
            for _, record, contents, _ in life.syncs[: left % (len(life.syncs) + 1)]:
                try:
                    self.machines[ip].disk.save(record, contents)
                except KeyError:
                    pass
        machine.life, machine.down_since = None, self.now

    def bears_seed(self, ip):
        """Whether a seed without a disk may be lost: with its promises, so until the founding is over one of them."""
        over = self.top is not None and self.top.epoch > 1
        lost = {
            to
            for to in self.seeds
            if self.machines[to].disk is None and (self.machines[to].lives > 1 or self.machines[to].life is None)
        }
        return over or not lost - {ip}

    def start(self, ip):
        machine = self.machines[ip]
        if machine.life is None and not machine.gone:
            machine.life = Life(self, machine)
            self.found_out(machine)

    def found_out(self, machine):
        """One that remembers more asks first: until then nobody could tell."""
        disk = machine.disk.record.disk if machine.disk is not None and machine.disk.record is not None else 0
        if (machine.ip, disk) in self.stale:
            machine.life.probed(next(iter(self.machines)), StateQuery(0, disk, self.stale[machine.ip, disk]))

    def alive(self, ip):
        """Whom that one hears of."""
        return [to for to, m in self.machines.items() if m.life is not None and not {(to, ip), (ip, to)} & self.cut]

    def silent(self, ip, to):
        machine = self.machines[to]
        if to in self.alive(ip):
            return 0.0
        return self.now - machine.down_since + 0.1 if machine.life is None else LOST_S + 1

    def cut_off(self, ip, to, both):
        if ip != to:
            self.cut |= {(ip, to), (to, ip)} if both else {(ip, to)}

    def there(self, replica):
        """Whether that disk still is what it was."""
        machine = self.machines.get(replica.ip)
        return (
            machine is not None
            and not machine.gone
            and machine.disk is not None
            and machine.disk.record is not None
            and machine.disk.record.disk == replica.disk
            and (replica.ip, replica.disk) not in self.stale
        )

    def bearable(self, ip):
        """Whether that machine's disk may be lost now: no more than are to be borne at once, each until it is replaced
        in all that is chosen or may be, and until nobody takes its old disk for a new voter.
        """
        if self.top is None or self.top.epoch < 2 or len(self.top.voters) <= 2 * self.losses:
            return False
        lately = {to for to, when in self.lost.items() if self.now - when < 3 * PROBE_S}
        for one in (self.top, *(link.state for link in self.links.values() if link.state.number > self.top.number)):
            for voters in (one.voters, one.former):
                lost = lately | {ip} | {r.ip for r in voters if not self.there(r)}
                if len(lost) > self.losses or voters and 2 * len(lost & {r.ip for r in voters}) >= len(voters):
                    return False
        self.lost[ip] = self.now
        return True

    def wipe(self, ip):
        machine = self.machines[ip]
        if machine.disk is not None and self.bearable(ip):
            self.crash(ip, 0)
            machine.disk.record, machine.disk.contents, machine.initial = None, set(), False

    def restore(self, ip, nth):
        """A folder is put back from an older day, or from before it was lost; the first to ask remembers more."""
        machine = self.machines[ip]
        if machine.disk is None or machine.disk.record is None or not self.bearable(ip):
            return
        older = machine.disk.older
        record, contents = older[nth % len(older)]
        high = max((one.high.get((ip, record.disk), 0) for one in self.lives() if one.ip != ip), default=0)
        if record.version < high:
            self.crash(ip, 0)
            machine.disk.record, machine.disk.contents = record, contents
            self.stale[ip, record.disk] = high
            self.start(ip)

    def grow(self):
        if self.later:
            ip, self.later = self.later[0], self.later[1:]
            self.machines[ip] = Machine(ip, True, False)
            self.start(ip)

    def leave(self, ip):
        """SIGTERM: it goes once the core does without it."""
        machine = self.machines[ip]
        if machine.disk is None or machine.life is None:
            return
        life = machine.life
        if not machine.leaving:
            staying = [m for m in self.machines.values() if m.disk and not m.gone and not m.leaving]
            machine.leaving = len(staying) > 2 * self.losses + 1
        elif not life.is_voter and ip not in [r.ip for r in life.state.all_voters()] if life.state else False:
            if self.bearable(ip):
                self.crash(ip, 0)
                machine.gone = True

    # orders

    def replace(self, at, back, content):
        """A new number, or one again; contents differ by who asks."""
        if back == 0 or not self.version:
            self.version += 1
        if self.machines[at].life is not None:
            self.machines[at].life.order(
                ReplaceConfiguration(max(1, self.version - back), 100 * self.version + 1 + content)
            )

    def rivals(self, one, other):
        self.version += 1
        for at, content in ((one, 1), (other, 2)):
            if self.machines[at].life is not None:
                self.machines[at].life.order(ReplaceConfiguration(self.version, 100 * self.version + 1 + content))

    def reshape(self, at, ips):
        """Any other set: the rules hold for each, not only for those that membership asks for."""
        life = self.machines[at].life
        if life is None or not life.is_voter or len(ips) <= 2 * self.losses:
            return
        seen = {ip: one[0] for ip, one in life.seen.items() if one[0] and one[1] and self.there(Replica(ip, one[0]))}
        seen[at] = life.acceptor.disk
        if all(ip in seen for ip in ips):
            life.wish = tuple(Replica(ip, seen[ip], ip) for ip in ips)

    def order(self, at, order):
        if self.machines[at].life is not None:
            self.machines[at].life.order(order)

    def acknowledged(self, order, status, told):
        """The operator is told."""
        link = [one for one in self.links.values() if one.chosen and one.state == told]
        assert link, f"answered of {told.number} before it is chosen"
        if not isinstance(order, ReplaceConfiguration):
            return
        pair = order.version, order.digest
        if len(told.past) >= state.MAX_PAST_VERSIONS and order.version < min(told.past)[0]:
            return  # overtaken by so many that nobody remembers it
        if status == CommandStatus.DONE:
            held = self.confirmed.setdefault(order.version, order.digest)
            assert held == order.digest, f"{order.version} confirmed with two contents"
            assert pair not in self.refused, f"{pair} confirmed after it was refused"
            assert pair in told.past, f"{pair} confirmed and not in the state"
        elif status == CommandStatus.CONFLICT:
            self.refused.add(pair)
            assert self.confirmed.get(order.version) != order.digest, f"{pair} refused after it was confirmed"
            assert pair not in told.past

    # what holds at all times

    def proposed(self, proposal, taken):
        """A state goes out to be accepted."""
        if proposal.ballot in self.links:
            assert self.links[proposal.ballot].state == proposal.proposed_state, "two states under one ballot"
            return
        base = proposal.base
        parent = self.links.get(proposal.highest_accepted_ballot) if proposal.highest_accepted_state is base else None
        if parent is None:
            parent = next((one for one in self.links.values() if one.state == base), None)
        zones = {one.order.zone for one in taken if isinstance(one.order, SetEvacuation)}
        self.links[proposal.ballot] = Link(parent, base, proposal.proposed_state, zones)

    def durable(self, life, record):
        """That record is lasting, and its replica knows."""
        if life.disk is not None:
            assert referenced_digests(record) <= life.disk.contents or life.disk.record.version > record.version, (
                "not whole"
            )
        link = self.links.get(record.accepted_ballot)
        if link is not None and (record.ip, record.disk) not in link.by:
            link.by.add((record.ip, record.disk))
            if not link.chosen and agreed(link.base, link.by) and agreed(link.state, link.by):
                self.is_chosen(link)

    def is_chosen(self, link):
        link.chosen, told, top = True, link.state, self.top
        if top is not None:
            lower, upper = (link, top) if told.number > top.number else (None, told)
            if lower is not None:
                while lower is not None and lower.state.number > top.number:
                    lower = lower.parent
                assert lower is not None and lower.state == top, f"{told.number} does not stand on {top.number}"
            else:
                same = [one for one in self.links.values() if one.chosen and one.state.number == told.number]
                assert all(one.state == told for one in same), f"two contents under {told.number}"
                chain = self.top_link
                while chain is not None and chain.state.number > told.number:
                    chain = chain.parent
                assert chain is None or chain.state == told, f"{told.number} is beside the chain"
        assert set(link.base.evacuated) ^ set(told.evacuated) <= link.zones, "evacuated by nobody"
        if top is None or told.number > top.number:
            assert top is None or told.epoch >= top.epoch and told.system == top.system
            past = dict(told.past)
            floor = min(past) if len(past) >= state.MAX_PAST_VERSIONS else 0
            for version, content in self.confirmed.items():
                assert version < floor or past.get(version) == content, f"{version} was confirmed and is lost"
            if self.confirmed:
                assert told.config.version >= max(self.confirmed)
            assert told.config not in self.refused, "what was refused is in force"
            self.top, self.top_link = told, link
            self.times.append(self.now)
            self.numbers.append(told.number)

    def held(self, told):
        """Somebody takes that for chosen."""
        assert any(
            one.chosen and one.state.number == told.number and one.state.without_past() == told.without_past()
            for one in self.links.values()
        ), f"{told.number} is not chosen"

    def vouch(self, life, record):
        """An answer is made: not of less than was answered before."""
        promised, ballot = self.said.get((record.ip, record.disk), (NO_BALLOT, NO_BALLOT))
        assert record.promised >= promised and record.accepted_ballot >= ballot, f"{life.ip} has forgotten a promise"

    def answered(self, life, reply, record=None):
        key = life.ip, reply.disk_id
        promised, ballot = self.said.get(key, (NO_BALLOT, NO_BALLOT))
        self.said[key] = (
            max(promised, reply.promised_ballot),
            max(ballot, record.accepted_ballot if record else reply.accepted_ballot),
        )
        return reply

    def check(self):
        for life in self.lives():
            since, number = life.since(), life.number()
            known = (number, life.state.epoch if life.state is not None else 0)
            before = self.spans.get(life.ip, (None, (0, 0)))
            assert before[0] is not life or known >= before[1] and known[1] >= before[1][1]
            self.spans[life.ip] = life, known
            if since > NEVER:
                at = bisect_left(self.times, since)
                newest = self.numbers[at - 1] if at else 0
                assert newest <= number, f"{life.ip} is sure, and without {newest}"
            if life.disk is not None and life.acceptor is not None and life.disk.record is not None:
                record = life.disk.record
                if record.disk == life.acceptor.disk:
                    promised, ballot = self.said.get((life.ip, record.disk), (NO_BALLOT, NO_BALLOT))
                    assert record.promised >= promised and record.accepted_ballot >= ballot, (
                        "answered, and not on the disk"
                    )

    def check_quorums(self):
        """No two sets without a replica in common can both decide, by what is on their disks."""
        records, known = [], set()
        founder = any(life.initial and life.state is None for life in self.lives())
        for m in self.machines.values():
            if m.gone:
                continue
            if m.disk is not None and m.disk.record is not None:
                records.append(m.disk.record)
            elif m.life is not None and m.life.acceptor is not None and m.life.votes():
                records.append(m.life.acceptor.record)
            if m.life is not None:
                known.add(m.life.state)
        known = [one for one in known if one is not None] + [initial_state(self.seeds)] * founder
        able = []
        for bits in range(1, 1 << len(records)):
            found = [r for n, r in enumerate(records) if bits >> n & 1]
            if any(not bits & other ^ other for other in able):
                continue  # a part of it can
            newest = max(found, key=lambda r: r.accepted_ballot)
            heard = {(r.ip, r.disk) for r in found}
            free = not any(Acceptor(r).chosen_state for r in found)  # who knows a core takes no part in a founding
            for one in known:
                base = (
                    newest.accepted_state
                    if newest.accepted_state is not None and newest.accepted_state.number >= one.number
                    else one
                )
                if (
                    (base is not one or newest.accepted_state is None and not one.number)
                    and agreed(base, heard)
                    and (one.number or free and all(self.votes_yet(r) for r in found))
                ):
                    able.append(bits)
                    break
        for n, bits in enumerate(able):
            assert all(bits & other for other in able[:n]), "two sets can decide"

    def votes_yet(self, record):
        life = self.machines[record.ip].life
        return life is not None and life.acceptor is not None and life.votes() and life.remembers()

    # the end: all heals, and everything has to go on

    def quiet(self):
        """All arrives, and is written, until nothing is on its way."""
        for _ in range(1000):
            for life in self.lives():
                while life.syncs:
                    life.written(0, True)
            wire = [one for one in self.wire if one[:2] not in self.cut]
            if not wire:
                return
            self.wire = [one for one in self.wire if one[:2] in self.cut]
            for _, _, run in wire:
                run()
        raise AssertionError("it never comes to rest")

    def round_of(self, lot):
        """One round of questions and turns, everything arrives."""
        self.now += 0.3
        for life in self.lives():
            for to in list(self.machines):
                if self.machines[to].disk is not None or to != life.ip:
                    life.ask(to)
            life.mend()
        self.quiet()
        voters = sorted({r.ip for r in self.top.voters}) if self.top is not None else []
        able = [ip for ip in voters if self.machines[ip].life is not None and self.machines[ip].life.is_voter]
        able.sort(key=lambda ip: self.machines[ip].leaving)  # one that leaves where there is no other
        for life in self.lives():
            life.proposal = None
            life.turn(bool(able) and life.ip == able[0])
            self.quiet()

    def ends_well(self, lot):
        self.cut = set()
        for ip in list(self.machines):
            self.start(ip)
        for life in self.lives():
            life.orders = []
        for n in range(14 + 3 * len(self.machines)):
            self.round_of(lot)
            try:
                self.check_rest()
                break
            except AssertionError:
                if n == 13 + 3 * len(self.machines):
                    raise
        self.goes_on(lot)

    def check_rest(self):
        """All that are there vote, and are sure."""
        self.check()
        assert self.top is not None, "no core was founded"
        for life in self.lives():
            assert self.now - life.since() < 1.0, f"{life.ip} is not sure"
        voters = set(self.top.voters)
        for m in self.machines.values():
            if m.life is not None and m.disk is not None and not m.leaving:
                mine = Replica(m.ip, m.disk.record.disk, m.ip)
                larger = voters | {mine}
                held = m.ip in {r.ip for r in voters}
                assert (
                    mine in voters
                    or not held
                    and tolerates_faults(voters, FaultTolerance(self.losses, 1))
                    and not tolerates_faults(larger, FaultTolerance(self.losses, 1))
                ), f"{m.ip} has no vote"
        assert not self.top.former, "a change of members is under way for ever"

    def goes_on(self, lot):
        self.version += 1
        at = next(life for life in self.lives() if life.is_voter)
        at.order(ReplaceConfiguration(self.version, 100 * self.version + 9))
        asked = at.orders[-1]
        for _ in range(5):
            self.round_of(lot)
        assert asked.status == CommandStatus.DONE, "a new order is not chosen"
        assert self.top.config == (self.version, 100 * self.version + 9)
        for life in self.lives():
            assert life.state.config == self.top.config and self.now - life.since() < 1.0, f"{life.ip} is behind"
        self.check()


def walk(seed, core=None, steps=STEPS, end=True):
    """One history; raises AssertionError with the seed where a rule is broken."""
    lot = random.Random(seed)
    world = World(lot.randrange(len(CORES)) if core is None else core)
    try:
        _walk(world, lot, steps, end)
    except AssertionError as err:
        raise AssertionError(f"history {seed}: {err}") from err


def _walk(world, lot, steps, end):
    def machine():
        return lot.choice(list(world.machines))

    def disk():
        return lot.choice([ip for ip, m in world.machines.items() if m.disk is not None])

    def ask_all():
        life = world.machines[machine()].life
        for to in list(world.machines) if life is not None else ():
            life.ask(to)

    def turn():
        life = world.machines[disk()].life
        if life is not None:
            life.turn(lot.random() < 0.7)

    def give_up():
        life = world.machines[disk()].life
        if life is not None:
            life.proposal = None

    def reach(ip):
        """An order, and its ballot at once."""
        life = world.machines[ip].life
        if life is not None:
            life.turn(lot.random() < 0.7)

    def replace(at=None):
        at = at or disk()
        world.replace(at, lot.choice([0, 0, 0, 1, 2]), lot.randrange(3))
        reach(at)

    def rivals():
        one, other = disk(), disk()
        world.rivals(one, other)
        reach(one)
        reach(other)

    def evacuate():
        at = disk()
        world.order(at, SetEvacuation(lot.choice("ab"), lot.random() < 0.5))
        reach(at)

    def shape(at):
        life = world.machines[at].life
        ips = sorted({at, *life.seen}) if life is not None else [at]
        least = min(len(ips), 2 * world.losses + 1)
        world.reshape(at, lot.sample(ips, lot.choice([least, lot.randrange(least, len(ips) + 1)])))

    def reshape():
        at = disk()
        shape(at)
        ballot(at)

    def forget():
        at, gone = disk(), disk()
        if gone not in world.alive(at):
            world.order(at, RemoveReplica(gone))
            reach(at)

    def cut():
        one = machine()
        if lot.random() < 0.4:  # one alone, or a part
            for to in lot.sample(list(world.machines), lot.randrange(1, len(world.machines))):
                world.cut_off(one, to, True)
        else:
            world.cut_off(one, machine(), lot.random() < 0.5)

    def heal():
        world.cut = set()

    def start():
        for ip in list(world.machines):
            if lot.random() < 0.5:
                world.start(ip)

    def power():
        """All at once."""
        for ip in list(world.machines):
            world.crash(ip, lot.randrange(4))

    def passes():
        world.now += lot.choice([0.05, 0.6, 3.0])

    def go():
        world.run(lot.randrange, lot.choice([1, 3, 10, 30, 100]))

    def ballot(at=None, most=None, lazy=False):
        """Most are asked, and any accept; one that lost tries again."""
        ips, at = list(world.machines), at or disk()
        for _ in range(lot.choice([1, 1, 2])):
            world.ballot(
                at,
                lot.random() < 0.7,
                lot.sample(ips, lot.randrange(len(ips) // 2, len(ips) + 1)),
                lot.sample(ips, lot.randrange(most or len(ips))),
                lot.randrange,
                lazy,
            )

    def insist():
        """One proposes again and again what few accept; then another who has not heard."""
        at = disk()
        for _ in range(lot.choice([2, 3, 4])):
            if lot.random() < 0.6:
                shape(at)
            ballot(at, 3)
        ballot()

    def again():
        """Who has a ballot out begins a new life at once."""
        at = disk()
        replace(at)
        ballot(at, lazy=True)
        world.crash(at, lot.randrange(2))
        world.start(at)
        replace(at)
        ballot(at)

    steps_ = [
        (30, go),
        (10, turn),
        (10, ballot),
        (1, again),
        (8, ask_all),
        (8, replace),
        (4, rivals),
        (2, evacuate),
        (1, forget),
        (3, reshape),
        (3, insist),
        (3, give_up),
        (4, lambda: world.crash(machine(), lot.randrange(4))),
        (6, start),
        (3, cut),
        (3, heal),
        (3, passes),
        (2, lambda: world.wipe(disk())),
        (2, lambda: world.restore(disk(), lot.randrange(99))),
        (2, world.grow),
        (1, lambda: world.leave(disk())),
        (1, power),
        (3, lambda: world.lose(lot.randrange(1 << 20))),
        (2, lambda: world.deliver(lot.randrange(1 << 20), keep=True)),
        (1, lambda: world.write(lot.randrange(99), False)),
        (1, lambda: [life.mend() for life in world.lives()]),
    ]
    acts = [act for _, act in steps_]
    weights = [w * lot.choice([0, 1, 1, 3]) for w, _ in steps_]  # histories that differ in kind find more
    weights[0] = max(weights[0], 15)
    if lot.random() < 0.3:  # ballots alone, by machines that have heard more and less of each other
        weights = [w if act in (insist, reshape, ballot, ask_all, cut, heal) else w / 20 for w, act in steps_]
    if lot.random() < 0.8:  # most histories begin with a core
        if lot.random() < 0.4:  # and one that has heard nothing of it
            one = disk()
            for to in world.machines:
                world.cut_off(one, to, True)
        for _ in range(4):
            world.round_of(lot)
    for n in range(steps):
        lot.choices(acts, weights)[0]()
        world.now += 0.001
        world.check()
        if n % 8 == 0:
            world.check_quorums()
    world.check_quorums()
    if end:
        world.ends_well(lot)


def search(histories, **how):
    for seed in range(histories):
        walk(seed, **how)


# What the search has to find: each rule broken in one way.


def _first_not_highest(self, ip, reply):
    if self.highest_accepted_state is not None:
        reply = state.msgspec.structs.replace(reply, accepted_ballot=NO_BALLOT)
    return PROMISED(self, ip, reply)


def _asks_known_only(self, ip, reply):
    """Those of what it knows are enough, whatever their promises show."""
    if self.is_finished or self.proposed_state is not None or not reply.is_granted:
        return PROMISED(self, ip, reply)
    self._promised_by.add(ReplicaId(ip, reply.disk_id))
    if reply.accepted_state is not None and reply.accepted_ballot > self.highest_accepted_ballot:
        self.highest_accepted_state = reply.accepted_state
        self.highest_accepted_ballot = reply.accepted_ballot
    shows_known = self.base is self.highest_accepted_state or not self.known_state.number
    if not self.known_state.has_quorum(self._promised_by) or not shows_known:
        return NextStep.WAIT
    self.proposed_state = self._change(self.base)
    return NextStep.ACCEPT


def _known_accepts(self, ip, reply):
    """A majority of what it knows is enough for what is new."""
    step = ACCEPTED(self, ip, reply)
    is_open = self.proposed_state is not None and not self.is_finished
    if step is NextStep.WAIT and reply.is_granted and is_open and self.base.has_quorum(self._accepted_by):
        self.is_finished = True
        return NextStep.CHOSEN
    return step


def _prepares_at_once(self, call, answer, known):
    PREPARE(self, call, lambda reply: None, known)
    if self.acceptor is not None and self.votes():
        record = self.acceptor.record
        ok = call.ballot == record.promised
        reply = Promised(ok, record.disk, record.promised, record.accepted_ballot, record.accepted_state, b"")
        answer(self.world.answered(self, reply) if ok else reply)


def _accepts_at_once(self, call, answer):
    ACCEPT(self, call, lambda reply: None)
    if self.acceptor is not None and self.acceptor.record.accepted_ballot == call.ballot:
        record = self.acceptor.record
        answer(self.world.answered(self, Accepted(True, record.disk, record.promised), record))


def _settles_any(self, base):
    after = NEXT(self, base)
    return finish_reconfiguration(after) if base.former and after.former == base.former else after


def _same_identity(self, ip):
    disk = self.machines[ip].disk
    held = disk.record if disk is not None else None
    WIPE(self, ip)
    if held is not None and disk.record is None:
        disk.record = Record(ip, held.disk)


def _highest_content(one, version, content):
    past = dict(one.past)
    if version in past:
        if content > past[version]:
            past[version] = content
            return state.msgspec.structs.replace(
                one,
                number=one.number + 1,
                config=ConfigurationRef(version, content),
                past=tuple(ConfigurationRef(*item) for item in sorted(past.items())),
            ), True
        return one, True
    return REPLACED(one, version, content)


def _reforms_at_once(one, voters):
    after = REFORMED(one, voters)
    return after if after is one else state.msgspec.structs.replace(after, former=())


def _reforms_again(one, voters):
    return REFORMED(state.msgspec.structs.replace(one, former=()), voters) if one.number else REFORMED(one, voters)


def _due_again(one, *rest):
    return DUE(state.msgspec.structs.replace(one, former=()), *rest)


def _begins_as_anyone(self, known, change):
    self.taken, self.outcomes = [], []
    self.round = max(self.round, self.acceptor.record.promised.round) + 1
    self.proposal = Proposal(Ballot(self.round, 0, 0), known, change)
    self.prepare_at(self.proposal)


def _begins_as_before(self, known, change):
    self.incarnation = 1
    BEGIN(self, known, change)


def _agrees_from_now(self, ip, held, asked):
    AGREE(self, ip, held, self.world.now)


def _relays_from_now(self, asked_at, age_s):
    RELAY(self, asked_at + 0.3, age_s)


def _any_ballot(self, ballot, number):
    return CHOSEN(self, self.record.accepted_ballot, number)


def _breaks_promise(self, ballot, told):
    self.record = state.msgspec.structs.replace(self.record, promised=NO_BALLOT)
    return TAKE(self, ballot, told)


def _believes_older(self, ip, probe):
    PROBED(self, ip, StateQuery(probe.nonce))


def _gives_accepted(self, call, answer):
    held = self.acceptor.accepted_state if self.acceptor is not None else None
    if held is None or held.number <= max(call.known_number, self.number()):
        return GIVE(self, call, answer)
    answer(FetchedState(held if call.wants_full_state else held.without_past(), b""))


def _answers_early(self, proposal):
    ACCEPT_AT(self, proposal)
    if self.proposal is proposal and proposal.proposed_state is not None:
        self.won(proposal)


def _learns_torn(told, contents):
    return told is not None


def _highest(self, record):
    """The highest number that this disk ever had accepted, as far as this life knows."""
    SYNCED(self, record)
    self.highest = max(
        getattr(self, "highest", 0), record.accepted_state.number if record.accepted_state is not None else 0
    )
    return self.highest


def _turn_by_number(self, record):
    self.durable_version = _highest(self, record)


def _accepted_climbs(self, record):
    self.durable_accepted_number = _highest(self, record)


SYNCED, PROMISE = Acceptor.on_record_saved, Acceptor.prepare
PROMISED, ACCEPTED, CHOSEN, TAKE = (
    Proposal.on_prepare_reply,
    Proposal.on_accept_reply,
    Acceptor.mark_chosen,
    Acceptor.accept,
)
PREPARE, ACCEPT, NEXT, BEGIN, AGREE, GIVE = Life.prepare, Life.accept, Life.next, Life.begin, Life.agree, Life.give
ACCEPT_AT, PROBED, RELAY, WIPE, REPLACED = (
    Life.accept_at,
    Life.probed,
    ReadLease.on_relayed_lease,
    World.wipe,
    state.replace_configuration,
)
REFORMED, DUE = state.begin_reconfiguration, next_voters
HERE = sys.modules[__name__]
MUTANTS = {
    "a quorum less one": [
        (
            state,
            "has_majority",
            lambda voters, heard: sum(any(r.matches(one) for one in heard) for r in voters) >= max(1, len(voters) // 2),
        )
    ],
    "contact with one less": [
        (
            ReadLease,
            "_majority_asked_at",
            lambda self, voters: sorted(
                (max((at for one, at in self._asked_at.items() if r.matches(one)), default=NEVER) for r in voters),
                reverse=True,
            )[max(0, len(voters) // 2 - 1)],
        )
    ],
    "a promise that is not on the disk": [(Life, "prepare", _prepares_at_once)],
    "an acceptance that is not on the disk": [(Life, "accept", _accepts_at_once)],
    "an acceptance after a higher promise": [(Acceptor, "accept", _breaks_promise)],
    "the first accepted state, not the highest": [(Proposal, "on_prepare_reply", _first_not_highest)],
    "its own change without what was accepted": [(Proposal, "base", property(lambda self: self.known_state))],
    "asks those it knows, not those that promises show": [(Proposal, "on_prepare_reply", _asks_known_only)],
    "the new voters are not asked to accept": [(Proposal, "on_accept_reply", _known_accepts)],
    "voters change at once": [(where, "begin_reconfiguration", _reforms_at_once) for where in (commands, state, HERE)],
    "settled before it is chosen": [(Life, "next", _settles_any)],
    "the new set alone": [(state.State, "has_quorum", lambda self, heard: state.has_majority(self.voters, heard))],
    "a second change of members": [
        (commands, "begin_reconfiguration", _reforms_again),
        (HERE, "begin_reconfiguration", _reforms_again),
        (HERE, "next_voters", _due_again),
    ],
    "a wiped disk keeps its identity": [(World, "wipe", _same_identity)],
    "another disk counts at once": [(Replica, "matches", lambda self, replica_id: self.ip == replica_id[0])],
    "an older folder is believed": [(Life, "probed", _believes_older)],
    "the highest content wins": [(commands, "replace_configuration", _highest_content)],
    "a ballot that others use": [(Life, "begin", _begins_as_anyone)],
    "a ballot that an earlier life used": [(Life, "begin", _begins_as_before)],
    "contact from when the answer came": [(Life, "agree", _agrees_from_now)],
    "an age at second hand from the answer": [(ReadLease, "on_relayed_lease", _relays_from_now)],
    "chosen under another ballot": [(Acceptor, "mark_chosen", _any_ballot)],
    "what was accepted is told as chosen": [(Life, "give", _gives_accepted)],
    "answered before it is chosen": [(Life, "accept_at", _answers_early)],
    "accepted without its body": [(HERE, "has_contents", _learns_torn)],
    "a disk is known by the number it accepted": [(Acceptor, "on_record_saved", _turn_by_number)],
    "the highest number it ever accepted": [(Acceptor, "on_record_saved", _accepted_climbs)],
    "an empty disk founds again": [(Life, "remembers", lambda self: True)],
    "who knows a core founds another": [
        (Acceptor, "prepare", lambda self, ballot, known_number: PROMISE(self, ballot))
    ],
}


# Short histories of faults that chance finds late; each holds under the rules as they are.


def _first(n):
    return 0


def _core(seed=0):
    world = World(seed)
    for _ in range(4):
        world.round_of(None)
    return world


def one_has_not_heard_of_new_voters():
    """1 is cut off, 4 and 5 come in, 1 and 2 go; then 1, which knows 1, 2, 3 alone, has an order."""
    world = _core()
    for to in (2, 3, 9):
        world.cut_off(1, to, True)
    for ip in (4, 5):
        world.grow()
        world.cut_off(1, ip, True)
        for _ in range(6):
            world.round_of(None)
    world.reshape(3, [3, 4, 5])
    world.ballot(3, True, [2, 3, 4, 5], [2, 3, 4, 5], _first)
    world.ballot(3, True, [2, 3, 4, 5], [2, 3, 4, 5], _first)
    assert [r.ip for r in world.top.voters] == [3, 4, 5] and not world.top.former
    world.wire = []
    world.replace(3, 0, 0)
    world.ballot(3, False, [4, 5], [4, 5], _first)
    world.cut = set()
    world.replace(1, 0, 0)
    for _ in range(3):
        world.ballot(1, False, [2], [3, 4, 5], _first)
    return world


def an_older_acceptance_answers_first():
    """A low ballot was accepted by 1 alone, a higher one by 2 and 3; then 3 asks, and hears 1 first."""
    world = _core()
    world.rivals(1, 2)
    world.ballot(1, True, [2], [], _first)
    world.ballot(2, True, [3], [3], _first)
    world.ballot(2, True, [3], [3], _first)
    assert world.top.config == (1, 103)
    world.wire = [one for one in world.wire if one[:2] == (2, 1)][-1:]  # word that the other's is chosen
    world.deliver(0)
    world.replace(3, 0, 0)
    for _ in range(2):
        world.ballot(3, True, [1, 2], [1, 2], _first, lazy=True)
    return world


def a_lower_number_under_a_higher_ballot():
    """1 alone accepts two changes at once, and later the one that was chosen in their place; then it starts anew."""
    world = _core()
    world.replace(1, 0, 0)
    world.order(1, SetEvacuation("a", True))
    world.ballot(1, True, [2], [], _first)
    world.wire = []
    world.machines[2].life.ask(1)
    world.run(_first, 9)
    world.replace(2, 0, 1)
    for _ in range(3):
        world.ballot(2, True, [3], [1, 3], _first)
    assert world.machines[1].disk.record.accepted_state == world.top and world.top.number == 3
    world.wire = []
    world.crash(3, 0)
    for ip in (1, 2):
        world.machines[2].life.ask(ip)
    world.run(_first, 9)
    assert world.now - world.machines[2].life.since() < 0.1, "2 is not sure"
    world.crash(1, 0)
    world.start(1)
    world.machines[2].life.ask(1)
    world.run(_first, 9)
    return world


def _founded_apart():
    """3 has founded a core of its own with the votes of 2, and 1 knows nothing of it; then 2 loses its disk."""
    world = World(0)
    for to in (2, 3, 9):
        world.cut_off(1, to, True)
    world.quiet()
    for _ in range(2):
        world.machines[3].life.turn(True)
        world.quiet()
    assert [r.ip for r in world.top.voters] == [3] and world.top.epoch == 2
    world.crash(2, 0)
    world.machines[2].disk.__init__()
    world.machines[2].initial = False
    world.start(2)
    world.quiet()
    return world


def _founds_again(world):
    world.cut = {(1, 3), (3, 1), (2, 3), (3, 2)}
    for _ in range(2):
        world.machines[1].life.turn(True)
        world.quiet()
        world.check_quorums()
    return world


def an_empty_disk_is_asked_for_a_founding():
    return _founds_again(_founded_apart())


def who_has_learnt_of_a_core_is_asked_for_a_founding():
    world = _founded_apart()
    world.machines[2].life.ask(3)
    world.quiet()
    assert world.machines[2].life.number() == 2
    return _founds_again(world)


SHORT = {
    "asks those it knows, not those that promises show": one_has_not_heard_of_new_voters,
    "the first accepted state, not the highest": an_older_acceptance_answers_first,
    "chosen under another ballot": an_older_acceptance_answers_first,
    "a disk is known by the number it accepted": a_lower_number_under_a_higher_ballot,
    "the highest number it ever accepted": a_lower_number_under_a_higher_ballot,
    "an empty disk founds again": an_empty_disk_is_asked_for_a_founding,
    "who knows a core founds another": who_has_learnt_of_a_core_is_asked_for_a_founding,
}


class Histories(RuleBasedStateMachine):
    """The same world, driven by hypothesis: what it finds it makes as short as it can."""

    def __init__(self):
        super().__init__()
        self.world = _core()

    machine, disk, some = sampled_from([1, 2, 3, 9]), sampled_from([1, 2, 3]), sets(sampled_from([1, 2, 3, 4, 5]))
    nth = integers(0, 99)

    @rule(at=disk, first=some, then=some, lazy=booleans(), mine=booleans())
    def ballot(self, at, first, then, lazy, mine):
        there = set(self.world.machines)
        self.world.ballot(at, mine, first & there, then & there, _first, lazy)

    @rule(at=disk, other=disk, back=integers(0, 2), content=integers(0, 2))
    def replace(self, at, other, back, content):
        self.world.replace(at, back, content) if at == other else self.world.rivals(at, other)

    @rule(at=disk, begin=booleans())
    def evacuate(self, at, begin):
        self.world.order(at, SetEvacuation("a", begin))

    @rule(at=disk, ips=some)
    def reshape(self, at, ips):
        self.world.reshape(at, sorted(ips & set(self.world.machines)))

    @rule(at=machine, grow=booleans())
    def ask(self, at, grow):
        if grow:
            self.world.grow()
        for to in list(self.world.machines) if self.world.machines[at].life is not None else ():
            self.world.machines[at].life.ask(to)

    @rule(seed=nth, steps=integers(1, 40))
    def run(self, seed, steps):
        self.world.run(random.Random(seed).randrange, steps)

    @rule(nth=nth, lost=booleans())
    def deliver(self, nth, lost):
        self.world.lose(nth) if lost else self.world.deliver(nth, keep=True)

    @rule(at=machine, left=integers(0, 3), back=booleans())
    def crash(self, at, left, back):
        self.world.crash(at, left)
        if back:
            self.world.start(at)

    @rule(at=disk, nth=nth, wiped=booleans())
    def lose_disk(self, at, nth, wiped):
        self.world.wipe(at) if wiped else self.world.restore(at, nth)
        self.world.start(at)

    @rule(one=machine, other=machine, both=booleans())
    def cut(self, one, other, both):
        self.world.cut_off(one, other, both) if one != other else self.world.cut.clear()

    @rule(passed=sampled_from([0.05, 0.6, 3.0]))
    def time_passes(self, passed):
        self.world.now += passed

    @invariant()
    def holds(self):
        self.world.now += 0.001
        self.world.check()

    def teardown(self):
        self.world.check_quorums()
        self.world.ends_well(None)


class TestModel(unittest.TestCase):
    def mutant(self, name):
        stack = ExitStack()
        for where, what, instead in MUTANTS[name]:
            stack.enter_context(mock.patch.object(where, what, instead))
        return stack

    def test_no_history_breaks_a_rule(self):
        search(600)

    def test_hundreds_of_changes_in_a_row(self):
        with mock.patch.object(state, "MAX_PAST_VERSIONS", 6):
            search(2, steps=1500)

    def test_hypothesis_finds_no_history_and_finds_a_mutant(self):
        how = settings(
            max_examples=25,
            stateful_step_count=30,
            derandomize=True,
            deadline=None,
            database=None,
            suppress_health_check=list(HealthCheck),
        )
        run_state_machine_as_test(Histories, settings=how)
        with self.mutant("a quorum less one"), self.assertRaises(AssertionError):
            run_state_machine_as_test(Histories, settings=how)

    def test_the_search_finds_each_mutant(self):
        for name in MUTANTS.keys() - SHORT.keys():
            with self.subTest(name), self.mutant(name), self.assertRaises(AssertionError):
                search(400, steps=120, end=False)

    def test_short_histories_hold_and_break_their_mutants(self):
        for name, history in SHORT.items():
            with self.subTest(name):
                world = history()
                world.check()
                world.check_quorums()
                world.ends_well(None)
                with self.mutant(name), self.assertRaises(AssertionError):
                    history()
