"""Cold and sick servers: what is learned of them, and which may be sent to."""

from . import interface as i
from .state import OK, READY, Request, Server

LEAST_ROOM, FIRST_ROOM = 1.0, 2.0  # attempts out per server, over all gateways: always let be, and at start
CHANCE_ROOM = 2.0  # standard deviations of that first number: who has little traffic has two out by chance
ROOM_STEP = 0.12  # of a small room is lost by a late answer, and 0.4 of that won by an early one; 0.5 at most
AIM_QUEUE = 0.36  # answers later than this share of the aim mean too much is out: leaves room for a retry
BLAME, PRAISE = 0.5, 0.1  # part of the way to "bad" by a proven failure, back by an answer
EJECT = 0.6  # more bad than this, by two failures in a row or one in three: single trials only
SLOW_GAIN = 0.15  # weight of the newest answer in a server's slowness: remembers about seven answers
SLOW_FULL = 0.1  # of an aim: a "full" that takes longer does not come from a full line
HELD_BACK, HELD_LET = 4.0, 0.1  # aims for which that class is held back there, but for a tenth
SILENT = 6.0  # an attempt out for this many usual answer times, no answer since: the server is silent
RETRY_SHARE = 0.2  # retries may be a fifth of successes: covers a few bad servers, does not double the load


class Health:

    def on_news(self, ev: i.ServerNews) -> None:
        self.actions += [i.Watch()] if ev.news == i.News.FAILED and self.settings.list_on_request else []
        if ev.news in (i.News.FULL, i.News.CACHED):
            for sv in self.servers.values():
                sv.life = i.ServerState.GONE
        for line in ev.servers:
            sv = self.servers.setdefault(line.server, Server(line.server, answered=self.now))
            sv.life, sv.weight, sv.zone = line.state, max(line.weight, 1e-3), line.zone
            if sv.life != READY:  # it turned away because it drained, not because there is too much out
                self.room, sv.cost = self.room + sv.cost, 0.0
            if sv.started != line.started_ns:  # a new process: cold, and not to blame for the old one
                sv.started, sv.slow, sv.bad, sv.fails, sv.hold = line.started_ns, 1.0, 0.0, 0, 0
        self.refresh()
        mean = FIRST_ROOM * len(self.servers) / self.settings.ingresses
        self.room = self.room or mean + CHANCE_ROOM * mean ** 0.5

    def on_zone(self, ev: i.ZoneTurn) -> None:
        """Left: what is out there and may be repeated goes elsewhere at once.  Back: its servers are cold."""
        self.left[ev.zone] = ev.is_left
        there = {sv.id: sv for sv in self.servers.values() if sv.zone == ev.zone}
        for sv in there.values() if not ev.is_left else ():
            sv.regained, sv.slow, sv.bad, sv.fails, sv.hold = self.now, 1.0, 0.0, 0, 0
        self.refresh()
        for rid, r in self.requests.items() if ev.is_left else ():
            if not r.stream and self.repeatable(r, True):
                self.actions += [i.Cancel(rid, n) for n, sid in r.live.items() if sid in there]

    def learn(self, ev: i.Outcome, r: Request | None, sv: Server) -> None:
        """Judge a server by what comes back: errors, no connection, resets, silence, slow answers."""
        sent = sv.out.pop((ev.request, ev.attempt), None)
        self.zones and self.zones.ended(sv.zone, ev.result, self.now)
        if ev.result == OK:
            sv.answered, sv.fails, sv.bad, sv.cost = self.now, 0, sv.bad * (1 - PRAISE), 0.0
            self.credit = min(10.0 / self.settings.workers, self.credit + RETRY_SHARE)
            if r is not None and sent is not None:
                usual = self.usual[r.ev.class_id]
                sv.slow += SLOW_GAIN * (ev.duration_ns / usual - sv.slow)
                self.usual[r.ev.class_id] += 0.02 * (ev.duration_ns - usual)
                if ev.duration_ns > AIM_QUEUE * r.cls.latency_target_ns:
                    self.crowded()
                elif self.out > 0.5 * self.room:
                    self.room += 0.4 * min(0.5, ROOM_STEP * self.room)
        elif ev.result == i.Result.REJECTED and r is not None and (  # a full queue rejects at once:
                ev.duration_ns > SLOW_FULL * r.cls.latency_target_ns):  # here one class is held back
            known = sv.full_for.get(r.ev.class_id, 0) > self.now
            sv.full_for[r.ev.class_id] = self.now + int(HELD_BACK * r.cls.latency_target_ns)
            if not known:
                self.tell(list(range(self.settings.ingresses)), sv.id, r.ev.class_id,
                          sv.full_for[r.ev.class_id])
        elif ev.result == i.Result.REJECTED:  # full: no knocking again until its line can have moved
            self.hold_off(sv)
            room = self.room
            self.crowded()
            sv.cost += room - self.room
        elif ev.result in (i.Result.ERROR, i.Result.NO_CONNECTION, i.Result.RESET) or (
                ev.result in (i.Result.TIMEOUT, i.Result.CANCELLED) and sent and self.silent(sv, sent)):
            if sv.bad <= EJECT < sv.bad + BLAME * (1 - sv.bad):
                self.actions.append(i.Log(f"server {sv.id} ejected: {ev.result.name.lower()}"))
            sv.bad += BLAME * (1 - sv.bad)
            if sv.bad > EJECT:
                self.hold_off(sv)

    def hold_off(self, sv: Server) -> None:
        """Longer with each failure in a row, an aim at most: a failing or full server is only tried."""
        sv.fails = min(sv.fails + 1, 3)
        sv.hold = self.now + self.aim * 2 ** sv.fails / 8

    def crowded(self) -> None:
        """Late, overdue and full: less may be out, so that lines drain.  Harm: few slow servers cost room."""
        least = LEAST_ROOM * len(self.servers) / self.settings.ingresses
        self.room = max(least, self.room - min(0.5, ROOM_STEP * self.room))

    def silent(self, sv: Server, sent: tuple | None = None) -> bool:
        """The oldest (or one sent then) has been out for long and nothing has come back since it went."""
        at, usual = sent or next(iter(sv.out.values()), (self.now, 0))
        return sv.answered < at and self.now - at > SILENT * usual

    def usable(self, sv: Server, cls: int) -> bool:
        if self.budgets is not None and self.budgets.limit and (
                len(sv.out) >= self.budgets.slots(sv.id, self.now)):
            return False
        if sv.life != READY or self.now < sv.hold or sv.out and (sv.bad > EJECT or self.silent(sv)):
            return False
        return not sv.full_for or self.now >= sv.full_for.get(cls, 0) or self.rng.random() < HELD_LET

    def refresh(self) -> None:
        ready = [sv for sv in self.servers.values() if sv.life == READY and not self.left.get(sv.zone)]
        cold = {sv.id: 0 < max(sv.started, sv.regained) > self.now - self.settings.warm_up_ns for sv in ready}
        self.warm = [sv for sv in ready if not cold[sv.id]]
        first = next((t for t in self.tiers if any(sv.zone in t for sv in ready)), None)
        ready = [sv for sv in ready if first is None or sv.zone in first]  # nothing spills to cold servers
        self.cold, self.weight = [sv for sv in ready if cold[sv.id]], sum(sv.weight for sv in ready)

    def cold_lot(self, cls: int) -> Server | None:
        """A cold server's even share of first attempts times the climb so far, by lot."""
        ticket = self.rng.random() * self.weight
        for sv in self.cold:
            climbed = max(0, self.now - max(sv.started, sv.regained)) / self.settings.warm_up_ns
            part = self.settings.slow_start_share + (1 - self.settings.slow_start_share) * climbed
            ticket -= sv.weight * part
            if ticket < 0:
                return sv if self.usable(sv, cls) and self.may("cold", sv.id, part) else None
