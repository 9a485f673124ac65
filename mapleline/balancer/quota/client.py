"""The client side of quotas: asks a tenant's counter replicas for its use, once for each request.

The nearest replica is asked first; the request is hedged at all replicas where it does not answer, and given up soon
after.  Units of a request that is not let in are reverted.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from msgspec.structs import replace

from ...policy.window import WindowUsage
from ..transport.messages import CounterIncrement, CounterSync, CounterValue
from .consultation_log import ConsultationLog, ConsultationOutcome
from .placement import Distance, ReplicaPlacement
from .replica import PERMILLE, CounterReplica
from .slots import KEPT_SLOTS, SlotClock

if TYPE_CHECKING:
    from ...policy.window import Ask, Tenancy
    from ..clock import Clock, DelayedCall
    from ..environment import Environment
    from ..membership.table import MembershipTable
    from ..settings import Settings
    from .replica import HomeRegions

#: Then the nearest replica is asked again, and the others as well: longer than a round trip between regions, 40 ms.
HEDGE_AFTER_S = 0.045

#: Then the request is rejected: a fifth of the shortest latency target seen.
CONSULTATION_TIMEOUT_S = 0.16

#: Nonces are 31 bits wide; the first one is made of 30 bits of the time of day, so that incarnations differ.
NONCE_MASK = 0x7FFFFFFF
FIRST_NONCE_MASK = 0x3FFFFFFF
MS_PER_S = 1000

#: A request is one unit of its tenant's quota.
UNITS_PER_REQUEST = 1.0


@dataclass(slots=True)
class PendingConsultation:
    """A consultation that has no answer yet.

    Attributes:
        ask: The request to be decided on, with its callback.
        increment: What replicas are sent.
        replicas: The tenant's replicas, the nearest first.
        asked: Those of them that were sent the increment.
        timers: For the hedge and the time-out.
    """

    ask: Ask
    increment: CounterIncrement
    replicas: list[int]
    asked: set[int] = field(default_factory=set)
    timers: list[DelayedCall] = field(default_factory=list)


class QuotaClient:
    """Consults replicas for this node's requests; `replica` is the node's own part of the counters.

    Attributes:
        pending: Consultations without an answer, by nonce.
        nonce: The nonce of the last consultation.
        log: What the consultations came to.
    """

    def __init__(
        self,
        clock: Clock,
        settings: Settings,
        environment: Environment,
        membership: MembershipTable,
        home_regions: HomeRegions,
    ) -> None:
        """`home_regions` returns those of a tenant in the configuration in force."""
        self.clock = clock
        self._send_datagram = environment.send
        self.own_ip = membership.local_member.ip
        self.slots = SlotClock(clock, environment.unix_time, settings.protocol_bounds.quota_window)
        self.placement = ReplicaPlacement(clock, settings, membership, KEPT_SLOTS * self.slots.slot_s)
        self.replica = CounterReplica(
            clock,
            membership,
            self.placement,
            self.slots,
            home_regions,
            self.send,
            is_first_start=settings.initial_start,
        )
        self.pending: dict[int, PendingConsultation] = {}
        self.nonce = int(self.slots.unix_time() * MS_PER_S) & FIRST_NONCE_MASK
        self.log = ConsultationLog()
        self.replica.start()

    def consult(self, ask: Ask) -> None:
        """Begin a consultation for one request; `ask.done` is called once, perhaps at once, with None on failure."""
        homes = tuple(sorted(ask.homes))
        replicas = self.placement.replicas_of(ask.tenancy.name, homes)
        replicas.sort(key=self.placement.distance)
        if not replicas:
            ask.done(None)
            return
        consultation = self._new_consultation(ask, homes, replicas)
        nonce = consultation.increment.nonce
        self.pending[nonce] = consultation
        self._send_increment(consultation, replicas[0])
        if nonce in self.pending:
            consultation.timers = [
                self.clock.callLater(HEDGE_AFTER_S, self._hedge, consultation),
                self.clock.callLater(CONSULTATION_TIMEOUT_S, self._time_out, consultation),
            ]

    def receive(self, ip: int, message: CounterIncrement | CounterValue | CounterSync) -> None:
        """Handle a datagram that concerns counters, of either side."""
        if isinstance(message, CounterValue):
            self._handle_value(ip, message)
        elif isinstance(message, CounterSync):
            self.replica.handle_sync(ip, message)
        elif message.is_addition:
            self.replica.increment(ip, message)
        else:
            self.replica.revert(ip, message)

    def send(self, ip: int, message: CounterIncrement | CounterValue | CounterSync) -> None:
        """Send a datagram to a node; what a replica on this node answers is handled at once."""
        if ip == self.own_ip and isinstance(message, CounterValue):
            self._handle_value(ip, message)
        else:
            self._send_datagram(ip, message)

    def _new_consultation(self, ask: Ask, homes: tuple[str, ...], replicas: list[int]) -> PendingConsultation:
        tenancy = ask.tenancy
        self.nonce = (self.nonce + 1) & NONCE_MASK
        increment = CounterIncrement(
            nonce=self.nonce,
            tenant=tenancy.name,
            sender_slot=self.slots.current(),
            units=UNITS_PER_REQUEST,
            home_regions=list(homes),
            window_limit=tenancy.limit,
            window_slots=tenancy.window_slots,
        )
        return PendingConsultation(ask, increment, replicas)

    def _send_increment(self, consultation: PendingConsultation, ip: int) -> None:
        consultation.asked.add(ip)
        if ip == self.own_ip:
            self.replica.increment(ip, consultation.increment)
        else:
            self.send(ip, consultation.increment)

    def _hedge(self, consultation: PendingConsultation) -> None:
        """Ask all replicas; an answer from another region may still be on its way, and is not missed yet."""
        nearest = consultation.replicas[0]
        if self.placement.distance(nearest) < Distance.OTHER_REGION:
            self.placement.suspects.record_miss(nearest)
        for ip in consultation.replicas:
            if consultation.increment.nonce in self.pending:
                self._send_increment(consultation, ip)

    def _time_out(self, consultation: PendingConsultation) -> None:
        for ip in consultation.asked:
            self.placement.suspects.record_miss(ip)
        self._complete(consultation, None)

    def _handle_value(self, ip: int, value: CounterValue) -> None:
        """Complete the consultation that a replica has answered, if it was asked and is the first to answer."""
        self.placement.suspects.record_answer(ip)
        consultation = self.pending.get(value.nonce)
        if consultation is not None and ip in consultation.asked:
            self._complete(consultation, self._usage(consultation.ask.tenancy, value), ip)

    def _usage(self, tenancy: Tenancy, value: CounterValue) -> WindowUsage:
        """Return a tenant's usage by a replica's answer."""
        if value.remaining_permille >= 0:
            share = value.remaining_permille / PERMILLE
            return WindowUsage(value.units_before, value.previous_window_units, share, value.quota_window_units)
        # a replica of an earlier version: its counts are those of single slots, so that these are limited
        scale = tenancy.limit / tenancy.limit_of(1)
        remaining_share = self.slots.remaining_share(1)
        return WindowUsage(value.units_before * scale, value.previous_window_units * scale, remaining_share)

    def _complete(self, consultation: PendingConsultation, usage: WindowUsage | None, answered_by: int = 0) -> None:
        """Report the outcome; the units stay counted at one replica at most, the others are sent a revert."""
        self.pending.pop(consultation.increment.nonce, None)
        for timer in consultation.timers:
            if timer.active():
                timer.cancel()
        is_let_in = consultation.ask.done(usage)
        self._log_outcome(consultation, usage, is_let_in)
        counting = {answered_by} if is_let_in else set()
        if consultation.asked <= counting:
            return
        revert = replace(consultation.increment, is_addition=False)
        for ip in consultation.asked - counting:
            if ip == self.own_ip:
                self.replica.revert(ip, revert)
            else:
                self.send(ip, revert)

    def _log_outcome(self, consultation: PendingConsultation, usage: WindowUsage | None, is_let_in: bool) -> None:
        outcome = ConsultationOutcome.ADMITTED if is_let_in else ConsultationOutcome.REJECTED
        if usage is None:
            outcome = ConsultationOutcome.UNANSWERED
        self.log.record(consultation.ask.tenancy, consultation.increment.sender_slot, consultation.asked, outcome)
