"""Watches who votes: what each machine with a disk has said of itself, and which change of the members is due."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..membership.member import Member, MemberFlags
from ..membership.table import MembershipTable
from ..settings import Settings
from ..transport.addresses import ip_from_int
from .committed_state import CommittedState
from .reconfiguration import FaultTolerance, ReplicaStatus, next_voters, tolerates_faults
from .replica import LocalReplica
from .state import Replica, ReplicaId, State

FRESH_S = 2.0  # what a machine said of itself longer ago does not count
LEARNER_S = 10.0  # for which one without a vote is asked often
NEAR = 8  # states that a learner may be behind: what it then accepts is whole
FOUND_LEAST_S, FOUND_QUIET_S, FOUND_MOST_S = 1.5, 1.0, 5.0


class ReplicaMonitor:
    """`since()`: everything chosen before that moment is held here."""

    def __init__(
        self,
        reactor: Any,
        settings: Settings,
        membership: MembershipTable,
        held: CommittedState,
        replica: LocalReplica,
        since: Callable[[], float],
    ) -> None:
        self.reactor, self.settings, self.membership, self.committed, self.replica = (
            reactor,
            settings,
            membership,
            held,
            replica,
        )
        self.current_as_of, self.me, self.started = since, membership.local_member.ip, reactor.seconds()
        self.tolerance = FaultTolerance(settings.fault_tolerance.machine_losses, settings.fault_tolerance.zones)
        self.lost_s = settings.protocol_bounds.contact_window + settings.protocol_bounds.catch_up
        self.high: dict[tuple[int, int], int] = {}  #: by address and disk: the highest turn that it told
        self.seen: dict[int, tuple[int, int, float]] = {}  #: by address: its disk, what it has kept, when it said so
        self._learners: dict[int, float] = {}  #: without a vote, and since when this one sees to them
        self._epoch = (0, 0.0)  #: that of the voters as they are held here, and since when
        self._disks = (0, self.started)  #: how many were heard of, and since when so many

    def record_report(self, ip: int, disk: int, turn: int, kept: int, asked: float) -> bool:
        """What a machine with a disk says of itself; False if it has less than it once had, under the same identity."""
        if not self.record_turn(ip, disk, turn):
            return False  # the next question will tell it so
        if asked >= self.seen.get(ip, (0, 0, 0.0))[2]:
            self.seen[ip] = disk, kept, asked
        return True

    def record_turn(self, ip: int, disk: int, turn: int) -> bool:
        """How far the record of a machine's disk has come, as it says; False if that is less than it once was."""
        high = self.high.get((ip, disk), 0)
        self.high[ip, disk] = max(high, turn)
        return turn >= high

    def known(self, ip: int) -> tuple[int, int]:
        """The disk that is known there, and the highest turn that it told; zeros for none."""
        disk = self.seen.get(ip, (0,))[0]
        return disk, self.high.get((ip, disk), 0)

    # -- who can_propose --------------------------------------------------------------------------------------

    @property
    def can_propose(self) -> bool:
        """Whether orders may well be passed on to this one: it has a vote, and its disk takes what it is given."""
        return self.replica.is_voter and self.replica.fault is None

    def proposers(self, now: float) -> list[Member]:
        """The voters that are there, in the order in which they are asked to propose."""
        voters = set(self.committed.voter_ips())
        able = [
            m
            for m in self.membership.alive(now, MemberFlags.HAS_DISK)
            if m.ip in voters and (self.can_propose if m.ip == self.me else m.can_propose)
        ]
        staying = [m for m in able if not m.is_leaving]
        return sorted(staying or able, key=lambda m: m.ring_position)

    def coordinator(self, now: float) -> int:
        """Who can_propose, so that ballots do not meet: the first of those.  Only a habit: others do no harm."""
        return next((m.ip for m in self.proposers(now)), 0)

    def is_coordinator(self, now: float) -> bool:
        """Whether this one is to see to the members."""
        return self.replica.is_voter and self.coordinator(now) == self.me

    def learners(self, now: float) -> bool:
        """Whether this one sees to the members, and a machine with a disk has had no vote for a little while."""
        if not self.is_coordinator(now):
            return False
        voters = {(r.ip, r.disk) for r in self.committed.state.voters}
        learners = {
            m.ip
            for m in self.membership.alive(now, MemberFlags.HAS_DISK)
            if m.ip != self.me and not m.is_leaving and (m.ip, self.seen.get(m.ip, (0,))[0]) not in voters
        }
        self._learners = {ip: self._learners.get(ip, now) for ip in learners}
        return any(now - since < LEARNER_S for since in self._learners.values())

    # -- changes -------------------------------------------------------------------------------------------

    def due(self, state: State, now: float) -> tuple[Replica, ...] | None:
        """Other voters, if this one is to see to that."""
        if state.epoch != self._epoch[0]:
            self._epoch = state.epoch, now
        if not self.is_coordinator(now) or now - self.current_as_of() > FRESH_S:
            return None
        known = {r.ip: r for r in state.voters}
        ips = known.keys() | {m.ip for m in self.membership.alive(now, MemberFlags.HAS_DISK)}
        return next_voters(
            state,
            [self._seen(ip, known.get(ip), state, now) for ip in sorted(ips)],
            self.tolerance,
            self.lost_s,
        )

    def _seen(self, ip: int, voter: Replica | None, state: State, now: float) -> ReplicaStatus:
        member = self.membership.members.get(ip)
        disk, kept, at = self.seen.get(ip, (0, 0, 0.0))
        if ip == self.me:
            disk, kept, at = self.replica.disk, state.number, now
        # who was let in since may be what was said before by the disk that it replaced
        fresh = bool(disk) and now - at < FRESH_S and (at >= self._epoch[1] or ip == self.me)
        zone = member.zone if member is not None else voter.zone
        silent = 0.0
        if member is None or now - member.last_heartbeat > self.membership.failure_timeout_s:
            silent = now - max(self.started, member.last_heartbeat if member is not None else 0.0)
        whole = fresh and kept > 0 and kept + NEAR >= state.number
        leaving = member is not None and member.is_leaving
        return ReplicaStatus(Replica(ip, disk, zone) if fresh or voter is None else voter, whole, leaving, silent)

    def may_found(self, now: float) -> bool:
        """The first core: every zone has shown a machine with a disk, and no other has come for a while.  The first of
        them founds it; the others too if that takes too long.
        """
        disks = self.membership.alive(now, MemberFlags.HAS_DISK)
        if len(disks) != self._disks[0]:
            self._disks = len(disks), now
        if not self.settings.initial_start or not self.settings.seed_nodes or not self.replica.disk or not disks:
            return False
        lived = now - self.started
        if min(disks, key=lambda m: m.ring_position).ip != self.me and lived < FOUND_MOST_S:
            return False
        every_zone = len({m.zone for m in disks}) == len(self.settings.zones)
        known = all(m.ip in self.seen for m in disks if m.ip != self.me)
        quiet = now - self._disks[1] > FOUND_QUIET_S
        return lived > FOUND_LEAST_S and quiet and known and (every_zone or lived > FOUND_MOST_S)

    def first(self, now: float) -> list[Replica]:
        """Who the first core is to be."""
        return [
            Replica(m.ip, self.replica.disk if m.ip == self.me else self.seen[m.ip][0], m.zone)
            for m in self.membership.alive(now, MemberFlags.HAS_DISK)
            if m.ip == self.me or m.ip in self.seen
        ]

    def is_released(self) -> bool:
        """Whether the core does without this one: it has no vote any more; or, where the others could then not bear a
        loss and it keeps its vote, a majority without it holds all that is decided.
        """
        if not self.replica.is_voter:
            return True
        state = self.committed.state
        if tolerates_faults([r for r in state.voters if r.ip != self.me], self.tolerance):
            return False
        return state.has_quorum(
            {ReplicaId(ip, disk) for ip, (disk, kept, _) in self.seen.items() if ip != self.me and kept >= state.number}
        )

    # -- for people ----------------------------------------------------------------------------------------

    def rows(self) -> list[dict[str, Any]]:
        """Who votes and who does not, as this one knows it."""
        now, state = self.reactor.seconds(), self.committed.state
        alive = {m.ip: m for m in self.membership.alive(now, MemberFlags.HAS_DISK)}
        voters = {r.ip: r for r in (state.all_voters() if state is not None else ())}
        rows = []
        for ip in sorted(voters.keys() | alive.keys()):
            disk, kept, _ = self.seen.get(ip, (0, 0, 0.0))
            if ip == self.me and self.replica.disk:
                disk, kept = self.replica.disk, self.replica.acceptor.durable_chosen_number
            part = "voter" if ip in voters and disk in (0, voters[ip].disk) else "learner"
            if ip in alive and alive[ip].is_leaving:
                part = "leaving"
            if ip not in alive and ip != self.me:
                part = "lost"
            rows.append({"address": ip_from_int(ip), "part": part, "kept": kept})
        return rows
