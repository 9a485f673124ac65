"""The decision module of an ingress; its state: state.py, events and actions: mapleline/policy/interface.py.
A request: on_arrival, ask (counter call), decide (estimate), dispatch, on_outcome (retry or end), finish."""


from . import interface as api
from .admission import SAMPLING_START, Admission
from .choice import Choice
from .health import Health
from .state import COUNTER_WAIT, DEADLINE, TICK, Request, State, Usage
from .tries import Tries

WAIT_SHARE = 1 / 16  # of the shortest latency target: the longest wait for a counter answer


class Brain(Admission, Tries, Health, Choice, State):  # deterministic for the same settings and events

    def __init__(self, start: api.Start) -> None:
        super().__init__(start)
        self.wait_ns = min(start.counter_timeout_ns or self.target_ns, self.target_ns * WAIT_SHARE)
        self.sampling, self.sampling_cut_at, self.mean_value = SAMPLING_START, 0, 1e-9  # see Admission.ask
        self.handlers = {api.Arrival: self.on_arrival, api.Outcome: self.on_outcome, api.Timer: self.on_timer,
            api.Counted: self.on_counted, api.ServerNews: self.on_news, api.Left: self.on_left,
            api.Begun: self.on_left, api.Probed: lambda event: None, api.Told: self.on_told,
            api.Whole: self.on_whole, api.ZoneTurn: self.on_zone}

    def handle(self, now_ns: int, event: api.Event) -> list[api.Action]:
        self.now, self.actions = now_ns, []
        if self.started_at < 0:
            self.started_at = now_ns
            self.set_timer(self.target_ns // 2, TICK, 0)
            self.actions += [api.Watch()] if self.settings.list_on_request else []
        self.handlers[type(event)](event)
        if self.peers is not None:
            self.peers.publish()
        return self.actions

    def set_timer(self, after_ns: float, kind: int, number: int) -> None:
        request = None if kind == TICK else number
        self.actions.append(api.SetTimer(max(0, int(after_ns)), number * 8 + kind, request))

    def log_change(self, condition: str, state: bool) -> None:
        if self.logged.get(condition, False) != state:
            self.logged[condition] = state
            self.actions.append(api.Log(f"{condition}: {'yes' if state else 'no'}"))

    def may_spend(self, name: str, key: int = 0, size: float = 1.0, part: float = 1.0) -> bool:
        return self.budgets is None or self.budgets.take(name, self.now, key, size, part)

    def on_arrival(self, event: api.Arrival) -> None:
        settings, class_ = self.settings, self.settings.classes[event.class_id]
        plan = settings.plans[event.plan] if event.plan < len(settings.plans) else api.Plan()
        usage = Usage(event.plan, max(1, min(event.ingress_count, settings.ingresses)), key=event.customer)
        usage = self.customers.setdefault(event.customer, usage)
        usage.seen_at = self.now
        request = self.requests[event.request] = Request(event, class_, plan, usage, arrived_at=self.now)
        spent_ns = 0  # a marked retry with another TTL than first tries has what is left of the deadline
        if not event.is_retry:
            self.first_ttl_ns[event.class_id] = event.ttl_ns
        elif abs(event.ttl_ns - self.first_ttl_ns[event.class_id]) > 0.02 * class_.deadline_ns:
            spent_ns = max(0, class_.deadline_ns - event.ttl_ns)
        useful_ns = class_.latency_target_ns - spent_ns if class_.late_value <= 0 else event.ttl_ns
        request.useful_until = self.now + max(0, min(event.ttl_ns, useful_ns) - 3 * settings.tick_ns)
        if class_.late_value <= 0 and useful_ns < self.usual_ns[event.class_id]:
            return self.finish(request)
        if not event.is_body_pending:
            self.set_timer(request.useful_until - self.now, DEADLINE, event.request)
        if self.in_flight >= int(self.capacity + self.rng.random()):  # rounded at random: exact on average
            self.finish(request, settings.max_retry_after_ns)
        elif plan.rate > 0 and plan.burst > 0 and not event.is_counted:
            self.ask(request)
        else:
            self.dispatch(request) if self.has_slot(request) or self.exceed(request) else self.finish(request)

    def on_whole(self, event: api.Whole) -> None:  # its times start with the body's last byte
        request = self.requests.get(event.request)
        if request is not None and not request.is_streaming:
            request.useful_until += self.now - request.arrived_at
            self.set_timer(request.useful_until - self.now, DEADLINE, event.request)
            for n, server in request.attempts.items():
                if server in self.servers and self.servers[server].attempts.pop((event.request, n), None):
                    self.servers[server].attempts[(event.request, n)] = (
                        self.now, self.usual_ns[request.event.class_id])

    def on_timer(self, event: api.Timer) -> None:
        kind, number = event.token % 8, event.token // 8
        request = self.requests.get(number)
        if kind == TICK:
            self.on_tick()
        elif request is not None and kind == DEADLINE and not request.is_streaming:
            if any(s in self.servers and not self.silent(self.servers[s]) for s in request.attempts.values()):
                self.cut_capacity()
            self.finish(request)
        elif request is not None and kind == COUNTER_WAIT and not request.is_decided:
            self.decide(request, request.total_before)

    def on_left(self, event: api.Left | api.Begun) -> None:  # once an answer streams, no other may follow
        request = self.requests.get(event.request)
        if request is not None and type(event) is api.Begun:
            request.is_streaming = True
        elif request is not None:
            self.drop(request)

    def on_tick(self) -> None:  # twice in a latency target: decay, and deletion of expired state
        self.set_timer(self.target_ns // 2, TICK, 0)
        self.log_change("overload", self.in_flight >= self.capacity)
        self.message_tokens = min(self.settings.ingresses, self.message_tokens
                                  + self.settings.peer_messages_per_s / 4 * self.target_ns / 1e9)
        for number, server in list(self.servers.items()):  # decay: one without requests would stay ejected
            server.slowness, server.error_rate = 0.95 * server.slowness + 0.05, 0.95 * server.error_rate
            if server.state == api.ServerState.GONE and not server.attempts:
                del self.servers[number]
        self.refresh()
        self.calls = {name: queue for name, queue in self.calls.items() if queue}
        self.limited = {key: until for key, until in self.limited.items() if until > self.now}
        since = self.now - self.customer_life_ns
        self.customers = {key: c for key, c in self.customers.items() if c.in_flight > 0 or c.seen_at > since}
