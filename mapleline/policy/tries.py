"""From the first attempt to the one final answer: further tries, and what may run again."""

from . import interface as i
from .admission import CALLS_EASE
from .state import SAFE, Request

KEY_SHARE = 0.9  # of the time for which servers drop repeats by key: the way there takes a part of it


class Tries:

    def dispatch(self, r: Request) -> None:
        """Send to the best server; with none to be had it ends here, with time to spare."""
        best = self.pick(r)
        if best is None or (r.sent == 0 and not self.ceiling(r)):
            return self.finish(r)
        r.first_sent = r.first_sent or self.now
        n, r.sent = r.sent, r.sent + 1
        r.tried.append(best.id)
        r.live[n] = best.id
        self.count_out(r, 1)
        best.out[(r.ev.request, n)] = (self.now, self.usual[r.ev.class_id])
        self.zones and self.zones.sent(best.zone, self.now)
        self.actions.append(i.Send(r.ev.request, best.id, 0))

    def on_outcome(self, ev: i.Outcome) -> None:
        r, sv = self.requests.get(ev.request), self.servers.get(ev.server)
        if sv is not None:
            self.learn(ev, r, sv)
        if r is None:
            return
        if r.live.pop(ev.attempt, None) is not None:
            self.count_out(r, -1)
        r.may_ran = r.may_ran or ev.result not in i.NEVER_RAN
        if ev.units > 0 and r.charged and r.plan.rate > 0:  # the guess is settled with the next add
            self.roll(r.who, r.plan)
            r.who.known += ev.units - r.ev.units
            r.who.owed += ev.units - r.ev.units
        if ev.is_final:
            self.forget(r)
        elif not r.live and not r.stream:
            over = ev.result == i.Result.MOOT or r.sent >= self.settings.max_attempts or self.credit < 1
            if over or not self.repeatable(r, r.may_ran) or not self.may("retries"):
                return self.finish(r)
            self.credit -= 1
            self.dispatch(r)

    def repeatable(self, r: Request, ran: bool) -> bool:
        """Another attempt does no harm: nothing has run, or what runs again is safe or dropped by its key."""
        keyed = r.cls.effect == i.Effect.KEYED and r.cls.scope == i.Scope.ALL
        in_time = self.now - r.first_sent < KEY_SHARE * r.cls.key_ttl_ns
        return not ran or r.cls.effect == SAFE or keyed and in_time

    def count_out(self, r: Request, n: int) -> None:
        self.out += n
        r.who.out += n
        if self.peers is not None:
            self.peers.mark_changed(r.who)

    def forget(self, r: Request) -> None:
        """The request is over: take a refused try's units off again, stop what is still out, drop it."""
        if r.charged and r.sent == 0 and r.plan.rate > 0 and r.call_win == r.who.win:
            r.who.known -= r.charged
            r.who.saved += r.charged
            r.who.owed -= r.charged
            if self.asking > CALLS_EASE and self.settings.may_count and self.may("calls"):  # else by next add
                self.call(r)
        self.count_out(r, -len(r.live))
        if self.settings.may_cancel and not r.stream:
            self.actions += [i.Cancel(r.ev.request, n) for n in r.live]
        r.live, r.decided = {}, True  # a counter answer still to come must not send it again
        self.requests.pop(r.ev.request, None)

    def finish(self, r: Request, advice: float = 0, over_quota: bool = False) -> None:
        """The one final answer, at once: refused (and until when) where harmless, else failed."""
        harmless = r.cls.effect == SAFE or not (r.may_ran or r.live)
        wait = min(int(advice or r.cls.latency_target_ns), self.settings.max_retry_after_ns)
        self.actions.append(i.Refuse(r.ev.request, wait, over_quota) if harmless else i.Fail(r.ev.request))
        self.forget(r)
