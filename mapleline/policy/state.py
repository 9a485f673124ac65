"""What the module remembers; nothing is decided here."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from .interface import Action, Arrival, Effect, Plan, RequestClass, Result, ServerState, Start

SAFE, UNSAFE, OK, READY = Effect.SAFE, Effect.UNSAFE, Result.OK, ServerState.READY
GUARD, COUNT_WAIT, TICK = range(3)  # kinds of timer, low digit of the token
NAME_LIFE_NS = 60_000_000_000  # the counter keeps no name for longer
MASK = (1 << 64) - 1


def mix64(customer: int, window: int) -> int:
    """64-bit mix of customer and window number; the same on every gateway."""
    x = (customer * 0x9E3779B97F4A7C15 + window * 0xD1B54A32D192ED03) & MASK
    for shift, factor in ((30, 0xBF58476D1CE4E5B9), (27, 0x94D049BB133111EB)):
        x = ((x ^ (x >> shift)) * factor) & MASK
    return x ^ (x >> 31)


@dataclass(slots=True, eq=False)
class Customer:
    """One customer's use as this gateway knows it."""

    plan: int
    spread: int
    win: int = -2  #: number of the current window
    known: float = 0.0  #: its last total, with what this gateway owes
    blind: float = 0.0  #: own admissions since that total, without an answer
    owed: float = 0.0  #: units to go with the next add
    own: float = 0.0  #: own admissions in this window
    put: float = 0.0  #: what its own calls of this window have added, as answered
    least: float = 0.0  #: believed of this window whatever a later total says: others' units may not be back
    prev: float = 0.0  #: last seen total of the previous window
    saved: float = 0.0  #: units its quota holds by the totals seen: filled by the rate, up to a burst
    saved_at: int = 0  #: when that was so; 0 before anything is known
    odds: float = -1.0  #: share of its tries inside when the counter answered; below 0: not seen
    share: float = 0.0  #: this gateway's part of the customer's use
    store: float = 0.0  #: this gateway's part of the hard ceiling
    store_at: int = 0
    out: int = 0  #: own attempts out
    seen_at: int = 0
    key: int = 0
    known_at: int = 0  #: when the counter gave that total; 0 in a window without one
    peer_blind: float = 0.0  #: blind, own and out of the ingress's other workers, where it has some
    peer_own: float = 0.0
    peer_out: int = 0

    @property
    def unseen(self) -> float:
        """Units that this ingress let in and the last total does not hold."""
        return self.blind + self.peer_blind

    def __post_init__(self) -> None:
        self.share = 1.0 / self.spread


@dataclass(slots=True, eq=False)
class Server:
    """One server as this gateway sees it."""

    id: int
    answered: int = 0  #: last answer
    life: int = 0
    started: int = -1
    regained: int = 0  #: when the fleet came back to its zone: cold from then on, whatever the list says
    weight: float = 1.0
    zone: int = 0
    out: dict[tuple[int, int], tuple[int, float]] = field(default_factory=dict)  #: when sent, usual time
    slow: float = 1.0  #: answer times over the usual ones
    full_for: dict[int, int] = field(default_factory=dict)  #: by class: turned away until
    bad: float = 0.0  #: 0 fine, 1 failing
    fails: int = 0  #: failures in a row
    hold: int = 0  #: nothing is sent before
    cost: float = 0.0  #: room lost by its turning away since it last answered


@dataclass(slots=True, eq=False)
class Request:
    """One request in hand."""

    ev: Arrival
    cls: RequestClass
    plan: Plan
    who: Customer
    end: int = 0  #: after this no answer can earn
    at: int = 0  #: when it arrived
    live: dict[int, int] = field(default_factory=dict)  #: server by attempt number
    sent: int = 0
    first_sent: int = 0
    before: float | None = None  #: the count before this request
    call_win: int = 0
    charged: float = 0.0  #: units that it has put on the count
    decided: bool = False
    may_ran: bool = False
    tried: list[int] = field(default_factory=list)
    stream: bool = False


class Memory:
    """All that one gateway's module remembers, as it starts."""

    def __init__(self, start: Start) -> None:
        self.settings, self.rng, self.born = start, random.Random(start.seed), -1
        self.actions: list[Action] = []
        self.requests: dict[int, Request] = {}
        self.customers: dict[int, Customer] = {}
        self.servers: dict[int, Server] = {}
        self.cold, self.warm, self.weight = [], [], 0.0  #: ready servers; see refresh
        self.aim = min([c.latency_target_ns for c in start.classes], default=1_000_000_000)
        self.usual = [c.latency_target_ns / 8 for c in start.classes]  #: usual answer time: an aim has room for eight
        self.first_ttl = [0] * len(start.classes)  #: patience of a first try, as last seen
        self.calls: dict[int, list] = {}  #: counter calls unanswered, by name, in call order
        self.odds: dict[tuple[int, bool], float] = {}  #: of being inside, by plan and client's repeat
        self.down_at = -NAME_LIFE_NS  #: when the counter was last silent
        self.over: dict[int, int] = {}  #: customers over their limit, as told, until when
        self.tell_credit = self.rng.random() * start.ingresses  #: messages; not everybody's at once
        self.says, self.room, self.out = {}, 0.0, 0  #: attempts allowed, out
        self.credit = 5.0 / start.workers  #: retries saved
        self.budgets = None  #: this ingress's parts of the fleet's budgets, where those are divided
        self.zones, self.left, self.tiers = None, {}, []  #: the fleet's word on zones, where it gives one
        self.peers = None  #: the ingress's other workers, where it has some: they keep one count of a customer
        refills = [p.ceiling_burst / p.ceiling_rate * 1e9 for p in start.plans if p.ceiling_rate > 0]
        self.keep = NAME_LIFE_NS + max(refills, default=0.0)  #: after that nothing of a customer is held
