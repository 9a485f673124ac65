"""All decisions of an ingress: admission.py, choice.py, tries.py, health.py; what they remember: state.py.
Events and actions: mapleline/policy/interface.py.  A request: on_arrival, ask (counter call), decide
(two-window estimate), dispatch (ceiling, server, Send), on_outcome (retry or end), finish (final answer)."""


from . import interface as i
from .admission import CALLS_FIRST, Admission
from .choice import Choice
from .health import Health
from .state import COUNT_WAIT, GUARD, TICK, Customer, Memory, Request
from .tries import Tries

MISS_SHARE = 1 / 16  # a counter answer slower than this share of the shortest aim is not waited for


class Brain(Admission, Tries, Health, Choice, Memory):
    """Decides for one gateway; deterministic for the same start and events."""

    def __init__(self, start: i.Start) -> None:
        super().__init__(start)
        self.patience = min(start.counter_timeout_ns or self.aim, self.aim * MISS_SHARE)  # with the counter
        self.asking, self.asking_cut, self.mean_stakes = CALLS_FIRST, 0, 1e-9  # share of tries that call
        self.on = {i.Arrival: self.on_arrival, i.Outcome: self.on_outcome, i.Timer: self.on_timer,
          i.Counted: self.on_counted, i.ServerNews: self.on_news, i.Left: self.on_left, i.Begun: self.on_left,
          i.Probed: lambda ev: None, i.Told: self.on_told, i.Whole: self.on_whole, i.ZoneTurn: self.on_zone}

    def handle(self, now_ns: int, event: i.Event) -> list[i.Action]:
        self.now, self.actions = now_ns, []
        if self.born < 0:
            self.born = now_ns
            self.timer(self.aim // 2, TICK, 0)
            self.actions += [i.Watch()] if self.settings.list_on_request else []
        self.on[type(event)](event)
        if self.peers is not None:
            self.peers.publish()
        return self.actions

    def timer(self, after: float, kind: int, ref: int) -> None:
        owner = None if kind == TICK else ref
        self.actions.append(i.SetTimer(max(0, int(after)), ref * 8 + kind, owner))

    def say(self, what: str, state: bool) -> None:
        if self.says.get(what, False) != state:
            self.says[what] = state
            self.actions.append(i.Log(f"{what}: {'yes' if state else 'no'}"))

    def may(self, what: str, key: int = 0, size: float = 1.0, part: float = 1.0) -> bool:
        return self.budgets is None or self.budgets.take(what, self.now, key, size, part)

    def on_arrival(self, ev: i.Arrival) -> None:
        s, cls = self.settings, self.settings.classes[ev.class_id]
        plan = s.plans[ev.plan] if ev.plan < len(s.plans) else i.Plan()
        c = Customer(ev.plan, max(1, min(ev.ingress_count, s.ingresses)), key=ev.customer)
        c = self.customers.setdefault(ev.customer, c)
        c.seen_at = self.now
        r = self.requests[ev.request] = Request(ev, cls, plan, c, at=self.now)
        spent = 0  # a marked later try with another patience than first ones has what is left of the deadline
        if not ev.is_retry:
            self.first_ttl[ev.class_id] = ev.ttl_ns
        elif abs(ev.ttl_ns - self.first_ttl[ev.class_id]) > 0.02 * cls.deadline_ns:
            spent = max(0, cls.deadline_ns - ev.ttl_ns)
        useful = cls.latency_target_ns - spent if cls.late_value <= 0 else ev.ttl_ns
        r.end = self.now + max(0, min(ev.ttl_ns, useful) - 3 * s.tick_ns)  # later no answer can earn
        if cls.late_value <= 0 and useful < self.usual[ev.class_id]:
            return self.finish(r)
        if not ev.is_body_pending:
            self.timer(r.end - self.now, GUARD, ev.request)
        if self.out >= int(self.room + self.rng.random()):  # a lot for the odd part: right over many gateways
            self.finish(r, s.max_retry_after_ns)
        elif plan.rate > 0 and plan.burst > 0 and not ev.is_counted:
            self.ask(r)
        else:
            self.dispatch(r) if self.open_room(r) or self.extra(r) else self.finish(r)

    def on_whole(self, ev: i.Whole) -> None:
        """The body that was coming is whole: from now on the request's time counts, and the server's."""
        r = self.requests.get(ev.request)
        if r is not None and not r.stream:
            r.end += self.now - r.at
            self.timer(r.end - self.now, GUARD, ev.request)
            for n, sid in r.live.items():
                if sid in self.servers and self.servers[sid].out.pop((ev.request, n), None):
                    self.servers[sid].out[(ev.request, n)] = (self.now, self.usual[r.ev.class_id])

    def on_timer(self, ev: i.Timer) -> None:
        kind, rid = ev.token % 8, ev.token // 8
        r = self.requests.get(rid)
        if kind == TICK:
            self.on_tick()
        elif r is not None and kind == GUARD and not r.stream:
            if any(sid in self.servers and not self.silent(self.servers[sid]) for sid in r.live.values()):
                self.crowded()
            self.finish(r)
        elif r is not None and kind == COUNT_WAIT and not r.decided:
            self.decide(r, r.before)

    def on_left(self, ev: i.Left | i.Begun) -> None:
        """The client is gone, or its streamed answer has begun: no further answer is owed."""
        r = self.requests.get(ev.request)
        if r is not None and type(ev) is i.Begun:
            r.stream = True
        elif r is not None:
            self.forget(r)

    def on_tick(self) -> None:
        """Twice an aim: slow forgetting, and dropping what is no longer needed."""
        self.timer(self.aim // 2, TICK, 0)
        self.say("overload", self.out >= self.room)
        self.tell_credit = min(self.settings.ingresses,
                               self.tell_credit + self.settings.peer_messages_per_s / 4 * self.aim / 1e9)
        for sid, sv in list(self.servers.items()):
            sv.slow, sv.bad = 0.95 * sv.slow + 0.05, 0.95 * sv.bad  # else one never chosen would stay out
            if sv.life == i.ServerState.GONE and not sv.out:
                del self.servers[sid]
        self.refresh()
        self.calls = {name: queue for name, queue in self.calls.items() if queue}
        self.over = {key: until for key, until in self.over.items() if until > self.now}
        held = self.now - self.keep
        self.customers = {key: c for key, c in self.customers.items() if c.out > 0 or c.seen_at > held}
