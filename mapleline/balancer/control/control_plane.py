"""One ingress's part in the agreement: joins what it holds, its replica, its contact, the members and the proposer."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred, succeed

from ..environment import Environment
from ..logs import say
from ..membership.member import MemberFlags
from ..membership.table import MembershipTable
from ..settings import Settings
from ..transport.messages import Accept, Call, FetchedState, FetchState, Prepare, Propose, StateQuery
from ..transport.messages import StateReport as StateReport
from .commands import Command, CommandResult, CommandStatus, RemoveReplica
from .committed_state import CommittedState
from .proposer import CALL_S, Proposer
from .read_lease import ReadLease
from .replica import LocalReplica
from .replica_monitor import ReplicaMonitor
from .state import ReplicaId, State

PROBE_S, PROBE_HASTE_S, RELAYS = 1.0, 0.15, 2
WANTING_S = 0.6  # a beat, and the way from the core
MEND_S = 5.0


class ControlPlane:
    """`in_force(before)` is called when a newer state is held, `teach()` tells who learns of it here; lists of servers
    travel along (`give_list`, `take_list`).
    """

    def __init__(
        self,
        reactor: Any,
        settings: Settings,
        environment: Environment,
        membership: MembershipTable,
        rng: random.Random,
        in_force: Callable[[State | None], None],
        teach: Callable[[], None],
        give_list: Callable[[], tuple[bytes, int]],
        take_list: Callable[[float, bytes], None],
    ) -> None:
        self.reactor, self.settings, self.environment, self.membership, self.rng = (
            reactor,
            settings,
            environment,
            membership,
            rng,
        )
        self.in_force, self.teach, self.give_list, self.take_list = in_force, teach, give_list, take_list
        self.me, self.audit_log = membership.local_member.ip, environment.audit_log()
        self.committed, self.read_lease = CommittedState(), ReadLease()
        self.replica = LocalReplica(
            reactor, environment, self.me, settings.initial_start, rng, self.committed, self._hold
        )
        self.monitor = ReplicaMonitor(reactor, settings, membership, self.committed, self.replica, self.current_as_of)
        self.proposer = Proposer(
            reactor, settings, environment, rng, self.committed, self.replica, self.monitor, self._won
        )
        self.probes: dict[int, tuple[int, float]] = {}  #: questions out: whom and when
        self.waiting: list[tuple[float, Deferred]] = []
        self.pulling = self.list_pulling = False
        self.wanting: float | None = None  #: since when there is something newer
        self.nonce = rng.getrandbits(30)

    def load(self) -> None:
        """What an earlier life left on the disk."""
        state = self.replica.load()
        if state is not None:
            self._hold(state)

    def start(self) -> None:
        self.probe()
        if self.replica.store is not None:
            self.proposer.turn()
            self.reactor.callLater(MEND_S, self.mend)

    # -- contact -------------------------------------------------------------------------------------------

    @property
    def state(self) -> State | None:
        """The newest that is known to be chosen."""
        return self.committed.state

    def current_as_of(self) -> float:
        """Everything chosen before that moment is held here."""
        return self.read_lease.valid_since(self.committed.state)

    def probe(self) -> None:
        """Often while contact is wanting, and at leisure while it is fresh."""
        now = self.reactor.seconds()
        wanting = now - self.current_as_of() > 2 * PROBE_S or self.monitor.learners(now)
        every = PROBE_S * self.rng.uniform(0.9, 1.1) if not wanting else PROBE_HASTE_S
        self.reactor.callLater(every, self.probe)
        self.ask_core()

    def ask_core(self) -> None:
        """Ask each replica what it holds; and some others, where these are out of reach."""
        now = self.reactor.seconds()
        asked = set(self.committed.voter_ips())
        if self.replica.store is not None or not asked:
            asked |= {m.ip for m in self.membership.alive(now, MemberFlags.HAS_DISK)}
        if now - self.current_as_of() > 2 * PROBE_S:
            others = [m.ip for m in self.membership.alive(now) if not m.has_disk and m.ip != self.me]
            asked |= set(self.rng.sample(others, min(RELAYS, len(others))))
        self.probes = {n: out for n, out in self.probes.items() if now - out[1] < 5}
        for ip in sorted(asked):
            if ip == self.me:
                self._ask_self(now)
                continue
            self.nonce = (self.nonce + 1) & 0x7FFFFFFF
            self.probes[self.nonce] = ip, now
            self.environment.send(ip, StateQuery(self.nonce, *self.monitor.known(ip)))

    def _ask_self(self, now: float) -> None:
        if self.replica.is_voter:
            accepted = self.replica.acceptor.accepted_state
            if accepted is None or accepted.number <= self.committed.number:
                self.read_lease.on_agreement(ReplicaId(self.me, self.replica.disk), now)
        self._confirmed()

    def handle_state_query(self, ip: int, probe: StateQuery) -> None:
        """Another one asks what is held here."""
        replica, number = self.replica, self.committed.number
        replica.check_rollback(ip, probe.receiver_disk_id, probe.receiver_record_version)
        age = self.reactor.seconds() - self.current_as_of()
        age_ms = int(age * 1000) + 1 if age < 60 else -1
        known = self.monitor.known(ip)
        if replica.disk:
            acceptor = replica.acceptor
            self.environment.send(
                ip,
                StateReport(
                    probe.nonce,
                    acceptor.disk,
                    acceptor.durable_version,
                    acceptor.durable_accepted_number,
                    number,
                    acceptor.durable_chosen_number,
                    age_ms,
                    *known,
                    replica.is_verified,
                ),
            )
        else:
            self.environment.send(ip, StateReport(probe.nonce, 0, 0, number, number, 0, age_ms, *known))

    def handle_state_report(self, ip: int, said: StateReport) -> None:
        """What another one holds; fetched first where that is newer."""
        out = self.probes.pop(said.nonce, None)
        if out is None or out[0] != ip:
            return
        self.replica.check_rollback(ip, said.receiver_disk_id, said.receiver_record_version)
        if said.disk_id and not (
            said.is_verified
            and self.monitor.record_report(ip, said.disk_id, said.record_version, said.durable_number, out[1])
        ):
            return
        if said.committed_number > self.committed.number:
            self.fetch(ip, then=lambda: self._agree(ip, said, out[1]))
        else:
            self._agree(ip, said, out[1])

    def _agree(self, ip: int, said: StateReport, asked: float) -> None:
        number = self.committed.number
        if said.disk_id and said.accepted_number <= number:
            self.read_lease.on_agreement(ReplicaId(ip, said.disk_id), asked)
        if said.staleness_ms >= 0 and said.committed_number <= number:
            self.read_lease.on_relayed_lease(asked, said.staleness_ms / 1000)
        self._confirmed()

    def _confirmed(self) -> None:
        since = self.current_as_of()
        sure = [done for at, done in self.waiting if since >= at]
        self.waiting = [(at, done) for at, done in self.waiting if since < at]
        for done in sure:
            done.callback(True)

    def acquire_read_lease(self, timeout_s: float = 1.5) -> Deferred:
        """Fires with whether all that was chosen before this call is held here now."""
        done: Deferred = Deferred()
        pair = (self.reactor.seconds(), done)
        self.waiting.append(pair)

        def again() -> None:
            if pair in self.waiting:
                self.ask_core()

        def late() -> None:
            if pair in self.waiting:
                self.waiting.remove(pair)
                done.callback(False)

        for part in (0.15, 0.4, 0.7):
            self.reactor.callLater(timeout_s * part, again)
        self.reactor.callLater(timeout_s, late)
        self.ask_core()
        return done

    # -- news ----------------------------------------------------------------------------------------------

    def handle_advertised_number(self, ip: int, number: int, now: float) -> None:
        """Another one holds that.  What is newer is fetched from the core; from others only after a while, or where no
        machine of the core is heard of: a thin link must not carry a large configuration to all.
        """
        if number <= self.committed.number:
            return
        if self.wanting is None:
            self.wanting = now
        member = self.membership.members.get(ip)
        known = [m for m in self.membership.alive(now, MemberFlags.HAS_DISK) if m.ip != self.me]
        if member is not None and member.has_disk or not known or now - self.wanting > WANTING_S:
            self.fetch(ip)

    def fetch(self, ip: int, servers: bool = False, state: bool = True, then: Callable[[], None] | None = None) -> None:
        """Fetch what is newer from who has it."""
        state = state and (not self.pulling or then is not None)
        servers = servers and not self.list_pulling
        if not state and not servers:
            return
        self.pulling, self.list_pulling = self.pulling or state, self.list_pulling or servers
        asked = self.reactor.seconds()

        def pulled(reply: Any) -> None:
            self.pulling, self.list_pulling = self.pulling and not state, self.list_pulling and not servers
            if not isinstance(reply, FetchedState):
                return
            if reply.state is not None:
                self.learn(reply.state, reply.configuration_body)
            if reply.endpoints_body:
                self.take_list(asked - reply.endpoints_age_ms / 1000, reply.endpoints_body)
            if then is not None:
                then()

        call = FetchState(self.committed.number, self.committed.digest, self.replica.store is not None, state, servers)
        self.environment.call(ip, call, CALL_S).addBoth(pulled)

    def learn(self, state: State, body: bytes | None) -> None:
        """A chosen state, from who holds it.  One as it goes to machines without a disk is nothing for a replica."""
        brief = state.config is not None and not state.past
        if (
            self.committed.is_newer(state)
            and not (brief and self.replica.store is not None)
            and self.committed.add_body(state, body)
        ):
            self.replica.learn(state)
            self._hold(state)

    def _won(self, state: State) -> None:
        """A ballot from here has seen it chosen."""
        self.replica.learn(state)
        self._hold(state)

    def _hold(self, state: State) -> None:
        """That is chosen: it is in force here if it is newer than what was held."""
        before = self.committed.state
        if not self.committed.is_newer(state):
            return
        self.committed.state, self.wanting = state, None
        if before is None or before.epoch != state.epoch:
            self.read_lease.retain_voters(state)
            self.membership.retained_ips = set(self.committed.voter_ips())
            for one in state.all_voters():
                self.membership.add_member(one.ip, one.zone, MemberFlags.HAS_DISK)
            say("archive", "members", epoch=state.epoch, voters=len(state.voters), former=len(state.former))
        self.committed.prune_contents(self.replica.names() | self.proposer.names())
        self.in_force(before)
        if self.replica.store is not None:
            self.teach()
        if self.audit_log is not None:
            for change in self._changes(before, state):
                self.recall(self.audit_log.record_change, self.environment.unix_time(), *change)

    def _changes(self, before: State | None, state: State) -> list[tuple[str, int, str, bytes]]:
        found = []
        if state.config is not None and (before is None or before.config != state.config):
            version, content = state.config
            found.append(("config", version, f"{content:016x}", self.committed.contents[content]))
        for zone in sorted(set(state.evacuated) ^ set(before.evacuated if before is not None else ())):
            said = b"begin" if zone in state.evacuated else b"finish"
            found.append((f"evacuation/{zone}", state.number, "", said))
        return found

    def recall(self, work: Callable[..., Any], *with_: Any) -> Deferred:
        """Something of the history, which may be refused without harm."""

        def refused(reason: Any) -> None:
            reason.trap(OSError)
            say("archive", "history refused", error=reason.getErrorMessage())

        return self.environment.run_in_thread(work, *with_).addErrback(refused)

    def handle_call(self, call: Call) -> Any:
        """A call of another ingress: a reply or a Deferred of one."""
        match call:
            case Prepare():
                return self.replica.prepare(call)
            case Accept():
                return self.replica.accept(call)
            case Propose():
                return self.proposer.passed_on(call)
            case FetchState():
                return self._give(call)

    def _give(self, call: FetchState) -> FetchedState:
        held, state, body = self.committed, None, None
        if call.wants_state and held.number > call.known_number:
            state = held.state if call.wants_full_state else held.state.without_past()
            body = held.body if held.digest != call.known_content else None
        return FetchedState(state, body, *self.give_list()) if call.wants_endpoints else FetchedState(state, body)

    # -- orders, leaving, repair ---------------------------------------------------------------------------

    def submit_command(self, order: Command, body: bytes | None, timeout_s: float) -> Deferred:
        """Fires with the outcome of an operator's order."""
        return self.proposer.submit(order, body, timeout_s)

    def remove_replica(self, ip: int, timeout_s: float) -> Deferred:
        """Let a machine of the core go that is gone for good; refused while it is there."""
        if ip in self.committed.voter_ips() and ip in {m.ip for m in self.membership.alive(self.reactor.seconds())}:
            return succeed(CommandResult(CommandStatus.CONFLICT, "it is there: stop it first"))
        return self.submit_command(RemoveReplica(ip), None, timeout_s)

    def mend(self) -> None:
        """Once in a while the disk is compared with what is held."""
        self.reactor.callLater(MEND_S * self.rng.uniform(0.9, 1.1), self.mend)
        self.replica.mend()

    def status(self) -> dict[str, Any]:
        """What is held here, for people."""
        state, replica, since = self.committed.state, self.replica, self.current_as_of()
        known = state is not None
        return {
            "system": state.system if known else None,
            "epoch": state.epoch if known else None,
            "number": self.committed.number,
            "config_version": state.config.version if known and state.config is not None else None,
            "evacuated": list(state.evacuated) if known else [],
            "members": self.monitor.rows(),
            "ballot": list(replica.acceptor.record.promised) if replica.disk else None,
            "contact_age_s": round(self.reactor.seconds() - since, 3) if since > -1e9 else None,
            "disk": replica.fault or ("well" if replica.store is not None else "none"),
        }
