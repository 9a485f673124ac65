"""Health of servers: slow start, ejection and backoff, and the adaptive limit of attempts in flight."""

from . import interface as api
from .state import OK, READY, Request, Server

MIN_CAPACITY, START_CAPACITY = 1.0, 2.0  # attempts in flight per server, over all ingresses
START_DEVIATIONS = 2.0  # standard deviations added to it: with little traffic, two are in flight by chance
CAPACITY_STEP = 0.12  # share of the capacity, 0.5 at most, that a late answer cuts; early ones add 0.4 of it
LATE = 0.36  # of the latency target: later answers mean too much in flight; leaves time for a retry
FAILURE_GAIN, SUCCESS_GAIN = 0.5, 0.1  # weight of a proven failure in the error rate, and of an answer
EJECT_RATE = 0.6  # above it, by two failures in a row or one in three, a server gets single trials only
SLOWNESS_GAIN = 0.15  # weight of the newest answer in a server's slowness: remembers about seven answers
SLOW_REJECTION = 0.1  # of the latency target: a slower rejection does not come from a full queue
BLOCK, TRIALS = 4.0, 0.1  # latency targets for which a rejected class is blocked there, but for this share
SILENT = 6.0  # usual answer times that an attempt is in flight without an answer since: the server is silent
RETRY_SHARE = 0.2  # retries per success: enough for a few failing servers, without doubling the load


class Health:

    def on_news(self, event: api.ServerNews) -> None:
        self.actions += [api.Watch()] if (
            event.news == api.News.FAILED and self.settings.list_on_request) else []
        if event.news in (api.News.FULL, api.News.CACHED):
            for server in self.servers.values():
                server.state = api.ServerState.GONE
        for entry in event.servers:
            server = self.servers.setdefault(entry.server, Server(entry.server, answered_at=self.now))
            server.state, server.weight, server.zone = entry.state, max(entry.weight, 1e-3), entry.zone
            if server.state != READY:  # it rejected because it drained, not because too much was in flight
                self.capacity, server.lost_capacity = self.capacity + server.lost_capacity, 0.0
            if server.started_at != entry.started_ns:  # a new process: drop what was learned of the old
                (server.started_at, server.slowness, server.error_rate, server.failures,
                 server.backoff_until) = entry.started_ns, 1.0, 0.0, 0, 0
        self.refresh()
        mean = START_CAPACITY * len(self.servers) / self.settings.ingresses
        self.capacity = self.capacity or mean + START_DEVIATIONS * mean ** 0.5

    def on_zone(self, event: api.ZoneTurn) -> None:  # retries at once elsewhere; restarts slow start
        self.ejected_zones[event.zone] = event.is_left
        there = {s.id: s for s in self.servers.values() if s.zone == event.zone}
        for server in there.values() if not event.is_left else ():
            (server.back_at, server.slowness, server.error_rate, server.failures,
             server.backoff_until) = self.now, 1.0, 0.0, 0, 0
        self.refresh()
        for number, request in self.requests.items() if event.is_left else ():
            if not request.is_streaming and self.may_repeat(request, True):
                self.actions += [api.Cancel(number, n) for n, s in request.attempts.items() if s in there]

    def learn(self, event: api.Outcome, request: Request | None, server: Server) -> None:
        """Judge a server by an outcome: errors, no connection, resets, silence, slow answers."""
        sent = server.attempts.pop((event.request, event.attempt), None)
        self.zones and self.zones.record_end(server.zone, event.result, self.now)
        if event.result == OK:
            server.answered_at, server.failures, server.error_rate, server.lost_capacity = (
                self.now, 0, server.error_rate * (1 - SUCCESS_GAIN), 0.0)
            self.retries = min(10.0 / self.settings.workers, self.retries + RETRY_SHARE)
            if request is not None and sent is not None:
                usual_ns = self.usual_ns[request.event.class_id]
                server.slowness += SLOWNESS_GAIN * (event.duration_ns / usual_ns - server.slowness)
                self.usual_ns[request.event.class_id] += 0.02 * (event.duration_ns - usual_ns)
                if event.duration_ns > LATE * request.class_.latency_target_ns:
                    self.cut_capacity()
                elif self.in_flight > 0.5 * self.capacity:
                    self.capacity += 0.4 * min(0.5, CAPACITY_STEP * self.capacity)
        elif event.result == api.Result.REJECTED and request is not None and (  # a full queue rejects fast:
                event.duration_ns > SLOW_REJECTION * request.class_.latency_target_ns):  # so only this class
            known = server.blocked.get(request.event.class_id, 0) > self.now
            server.blocked[request.event.class_id] = self.now + int(BLOCK * request.class_.latency_target_ns)
            if not known:
                self.tell(list(range(self.settings.ingresses)), server.id, request.event.class_id,
                          server.blocked[request.event.class_id])
        elif event.result == api.Result.REJECTED:  # its queue is full: back off until it can have drained
            self.back_off(server)
            capacity = self.capacity
            self.cut_capacity()
            server.lost_capacity += capacity - self.capacity
        elif event.result in (api.Result.ERROR, api.Result.NO_CONNECTION, api.Result.RESET) or (
                event.result in (api.Result.TIMEOUT, api.Result.CANCELLED)
                and sent and self.silent(server, sent)):
            if server.error_rate <= EJECT_RATE < server.error_rate + FAILURE_GAIN * (1 - server.error_rate):
                self.actions.append(api.Log(f"server {server.id} ejected: {event.result.name.lower()}"))
            server.error_rate += FAILURE_GAIN * (1 - server.error_rate)
            if server.error_rate > EJECT_RATE:
                self.back_off(server)

    def back_off(self, server: Server) -> None:  # doubles with failures, up to a latency target
        server.failures = min(server.failures + 1, 3)
        server.backoff_until = self.now + self.target_ns * 2 ** server.failures / 8

    def cut_capacity(self) -> None:  # so that queues drain; see State.capacity
        least = MIN_CAPACITY * len(self.servers) / self.settings.ingresses
        self.capacity = max(least, self.capacity - min(0.5, CAPACITY_STEP * self.capacity))

    def silent(self, server: Server, sent: tuple | None = None) -> bool:  # the oldest or this attempt
        sent_at, usual_ns = sent or next(iter(server.attempts.values()), (self.now, 0))
        return server.answered_at < sent_at and self.now - sent_at > SILENT * usual_ns

    def is_usable(self, server: Server, class_id: int) -> bool:
        if self.budgets is not None and self.budgets.limit and (
                len(server.attempts) >= self.budgets.slots(server.id, self.now)):
            return False
        if server.state != READY or self.now < server.backoff_until or server.attempts and (
                server.error_rate > EJECT_RATE or self.silent(server)):
            return False
        return not server.blocked or self.now >= server.blocked.get(class_id, 0) or self.rng.random() < TRIALS

    def refresh(self) -> None:
        ready = [s for s in self.servers.values() if s.state == READY and not self.ejected_zones.get(s.zone)]
        cold = {s.id: 0 < max(s.started_at, s.back_at) > self.now - self.settings.warm_up_ns for s in ready}
        self.warm = [s for s in ready if not cold[s.id]]
        first = next((t for t in self.tiers if any(s.zone in t for s in ready)), None)
        ready = [s for s in ready if first is None or s.zone in first]  # servers in slow start get no spill
        self.cold, self.total_weight = [s for s in ready if cold[s.id]], sum(s.weight for s in ready)

    def draw_cold(self, class_id: int) -> Server | None:  # at random, by weight and slow-start progress
        ticket = self.rng.random() * self.total_weight
        for server in self.cold:
            progress = max(0, self.now - max(server.started_at, server.back_at)) / self.settings.warm_up_ns
            part = self.settings.slow_start_share + (1 - self.settings.slow_start_share) * progress
            ticket -= server.weight * part
            if ticket < 0:
                return server if self.is_usable(server, class_id) and self.may_spend(
                    "cold", server.id, part) else None
