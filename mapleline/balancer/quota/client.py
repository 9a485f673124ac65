"""The client side of quotas: asks a tenant's counter replicas for its usage, once for each request.

The nearest replica is asked first.  If it does not answer, the request is hedged to all replicas, and soon after it
times out.  The units of a request that is not admitted are reverted.
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
    from ...policy.window import QuotaConsultation, TenantLimit
    from ..clock import Clock, DelayedCall
    from ..environment import Environment
    from ..membership.table import MembershipTable
    from ..settings import Settings
    from .replica import HomeRegionsLookup

#: Time after which the nearest replica is asked again, together with the others; it is longer than a round trip between
#: regions, 40 ms.
HEDGE_AFTER_S = 0.045

#: Time after which the request is rejected: a fifth of the shortest latency target seen.
CONSULTATION_TIMEOUT_S = 0.16

#: Nonces are 31 bits wide.  The first one is made of 30 bits of the time of day, so that it differs between
#: incarnations.
NONCE_MASK = 0x7FFFFFFF
FIRST_NONCE_MASK = 0x3FFFFFFF
MS_PER_S = 1000

UNITS_PER_REQUEST = 1.0


@dataclass(slots=True)
class PendingConsultation:
    """A consultation that has not been answered yet.

    Attributes:
        request: The request to decide on, with its callback.
        increment: The message that replicas are sent.
        replicas: The addresses of the tenant's replicas, the nearest first.
        asked: The replicas that were sent the increment.
        timers: The timers of the hedge and of the timeout.
    """

    request: QuotaConsultation
    increment: CounterIncrement
    replicas: list[int]
    asked: set[int] = field(default_factory=set)
    timers: list[DelayedCall] = field(default_factory=list)


class QuotaClient:
    """Consults counter replicas for this node's requests.

    Attributes:
        clock: Time and timers.
        own_ip: This node's address.
        slots: Numbers slots.
        placement: Determines each tenant's replicas.
        replica: The counters that this node holds as a replica.
        pending: Consultations that have not been answered, by nonce.
        nonce: The nonce of the last consultation.
        log: Collects the outcomes of the consultations.
    """

    def __init__(
        self,
        clock: Clock,
        settings: Settings,
        environment: Environment,
        membership: MembershipTable,
        lookup_home_regions: HomeRegionsLookup,
    ) -> None:
        """Create the client and start this node's replica.

        Args:
            clock: Time and timers.
            settings: The node's settings.
            environment: Sends datagrams and provides the time of day.
            membership: The nodes that are known.
            lookup_home_regions: Returns a tenant's home regions by the configuration in force.
        """
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
            lookup_home_regions,
            self.send,
            is_first_start=settings.initial_start,
        )
        self.pending: dict[int, PendingConsultation] = {}
        self.nonce = int(self.slots.unix_time() * MS_PER_S) & FIRST_NONCE_MASK
        self.log = ConsultationLog()
        self.replica.start()

    def consult(self, request: QuotaConsultation) -> None:
        """Begin a consultation for one request.

        `request.on_answer` is called exactly once, possibly before this method returns; it is called with None on
        failure.
        """
        home_regions = tuple(sorted(request.home_regions))
        replicas = self.placement.replicas_of(request.tenant_limit.name, home_regions)
        replicas.sort(key=self.placement.distance)
        if not replicas:
            request.on_answer(None)
            return
        consultation = self._new_consultation(request, home_regions, replicas)
        nonce = consultation.increment.nonce
        self.pending[nonce] = consultation
        self._send_increment(consultation, replicas[0])
        if nonce in self.pending:
            consultation.timers = [
                self.clock.callLater(HEDGE_AFTER_S, self._hedge, consultation),
                self.clock.callLater(CONSULTATION_TIMEOUT_S, self._time_out, consultation),
            ]

    def receive(self, ip: int, message: CounterIncrement | CounterValue | CounterSync) -> None:
        """Handle a datagram of the counter protocol, for the client or for this node's replica."""
        if isinstance(message, CounterValue):
            self._handle_value(ip, message)
        elif isinstance(message, CounterSync):
            self.replica.handle_sync(ip, message)
        elif message.is_addition:
            self.replica.increment(ip, message)
        else:
            self.replica.revert(ip, message)

    def send(self, ip: int, message: CounterIncrement | CounterValue | CounterSync) -> None:
        """Send a datagram to a node; an answer of this node's replica to this node is handled without the network."""
        if ip == self.own_ip and isinstance(message, CounterValue):
            self._handle_value(ip, message)
        else:
            self._send_datagram(ip, message)

    def _new_consultation(
        self, request: QuotaConsultation, home_regions: tuple[str, ...], replicas: list[int]
    ) -> PendingConsultation:
        tenant_limit = request.tenant_limit
        self.nonce = (self.nonce + 1) & NONCE_MASK
        increment = CounterIncrement(
            nonce=self.nonce,
            tenant=tenant_limit.name,
            sender_slot=self.slots.current(),
            units=UNITS_PER_REQUEST,
            home_regions=list(home_regions),
            window_limit=tenant_limit.limit,
            window_slots=tenant_limit.window_slots,
        )
        return PendingConsultation(request, increment, replicas)

    def _send_increment(self, consultation: PendingConsultation, ip: int) -> None:
        consultation.asked.add(ip)
        if ip == self.own_ip:
            self.replica.increment(ip, consultation.increment)
        else:
            self.send(ip, consultation.increment)

    def _hedge(self, consultation: PendingConsultation) -> None:
        """Ask all replicas.

        A nearest replica in another region is not recorded as having missed the request, because its answer may still
        be in flight.
        """
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
            self._complete(consultation, self._usage(consultation.request.tenant_limit, value), ip)

    def _usage(self, tenant_limit: TenantLimit, value: CounterValue) -> WindowUsage:
        """Return a tenant's usage according to a replica's answer."""
        if value.remaining_permille >= 0:
            remaining_share = value.remaining_permille / PERMILLE
            return WindowUsage(
                value.units_before, value.previous_window_units, remaining_share, value.quota_window_units
            )
        # A replica of an earlier version answers with the counts of single slots.  They are scaled so that comparing
        # them with the limit of the window is the same as comparing them with the limit of one slot.
        scale = tenant_limit.limit / tenant_limit.limit_for_window(1)
        remaining_share = self.slots.remaining_share(1)
        return WindowUsage(value.units_before * scale, value.previous_window_units * scale, remaining_share)

    def _complete(self, consultation: PendingConsultation, usage: WindowUsage | None, answered_by: int = 0) -> None:
        """Report the outcome, and send a revert to each asked replica where the units do not stay counted.

        The units stay counted at one replica at most: the one that answered, if the request was admitted.
        """
        self.pending.pop(consultation.increment.nonce, None)
        for timer in consultation.timers:
            if timer.active():
                timer.cancel()
        is_admitted = consultation.request.on_answer(usage)
        self._log_outcome(consultation, usage, is_admitted)
        counting_replicas = {answered_by} if is_admitted else set()
        if consultation.asked <= counting_replicas:
            return
        revert = replace(consultation.increment, is_addition=False)
        for ip in consultation.asked - counting_replicas:
            if ip == self.own_ip:
                self.replica.revert(ip, revert)
            else:
                self.send(ip, revert)

    def _log_outcome(self, consultation: PendingConsultation, usage: WindowUsage | None, is_admitted: bool) -> None:
        outcome = ConsultationOutcome.ADMITTED if is_admitted else ConsultationOutcome.REJECTED
        if usage is None:
            outcome = ConsultationOutcome.UNANSWERED
        self.log.record(
            consultation.request.tenant_limit, consultation.increment.sender_slot, consultation.asked, outcome
        )
