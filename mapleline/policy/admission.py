"""Estimate and admission: the two-window count of a customer, and who is let in by it."""

import struct

from . import interface as i
from .estimate import weighted
from .state import COUNT_WAIT, NAME_LIFE_NS, OK, Customer, Request, mix64

WORD = struct.Struct("<QBQ")  # message: until when a server turns away a class though not full, or a
CUSTOMER = 255  # customer (in place of a class) is over its limit
BLIND = 0.5  # without an answer half of a request must fit: lets in too much as often as too little
ODDS_START = 2 / 3  # of a try being inside its quota, before anything is seen: most are
ODDS_GAIN, PLAN_GAIN = 0.5, 0.05  # weight of the newest answer in a customer's odds, and in a plan's
CALLS_LEAST, CALLS_FIRST, CALLS_EASE, CALLS_MOST = 0.1, 0.3, 1.05, 1.1  # when dead; at start; side ones
CALLS_WAIT = 0.6  # of the patience: quicker answers let more tries call, slower ones fewer
CALLS_EVEN = 0.6  # of the mean share of calls goes to tries whose answer seems plain: counts must stay true
LOST = 0.5  # a total below this part of what this gateway alone has put there: its counter was emptied
SAVED_LEAST = 2.0  # of a request must be saved up: what other gateways add unseen may be as much again
CALLS_CUT, CALLS_GROW = 0.5, 0.015  # by a missing answer; by a quick one, over the share: even in time


class Admission:

    def window(self, plan: i.Plan) -> int:
        """About one burst time, short enough that a name outlives two windows; worked out once."""
        if not plan.window_ns:
            plan.window_ns = min(int(plan.burst / plan.rate * 1e9), NAME_LIFE_NS // 3) or 1
            plan.limit = plan.rate * plan.window_ns / 1e9
        return plan.window_ns

    def limit(self, plan: i.Plan) -> float:
        return plan.limit if plan.window_ns else plan.rate * self.window(plan) / 1e9

    def roll(self, c: Customer, plan: i.Plan) -> float:
        """Bring the customer's windows up to now; returns the share of the current window that is left."""
        win, into = divmod(self.now, self.window(plan))
        if self.peers is not None:
            self.peers.merge(c, win)
        if win != c.win:
            total, follows, own = max(0.0, c.known + c.unseen / c.share), win == c.win + 1, c.own + c.peer_own
            if follows and total > 0 and own > 0:  # own part, for when the counter is gone
                c.share += 0.5 * (min(1.0, max(own / total, 0.5 / c.spread)) - c.share)
            c.prev = min(self.limit(plan), total) if follows else 0.0  # what lies beyond was refused
            c.win, c.known, c.blind, c.owed, c.own = win, 0.0, 0.0, 0.0, 0.0
            c.peer_blind, c.peer_own, c.known_at, c.put, c.least = 0.0, 0.0, 0, 0.0, 0.0
        gained = plan.rate * (self.now - c.saved_at) / 1e9 if c.saved_at else self.limit(plan)
        c.saved, c.saved_at = min(self.limit(plan), c.saved + gained), self.now
        return 1.0 - into / self.window(plan)

    def ask(self, r: Request) -> None:
        """One call a try; late and missing answers thin them out by lot, most where they change little."""
        c, left, odds = r.who, self.roll(r.who, r.plan), self.odds_of(r)
        r.call_win = c.win
        stakes = min(odds, odds - self.gain(r)) * r.cls.value * r.plan.value_factor * r.ev.units
        self.mean_stakes += PLAN_GAIN * (stakes - self.mean_stakes)
        share = self.asking * max(CALLS_EVEN, stakes / self.mean_stakes)
        if self.asking < 1 and self.thin(r) and self.over.get(r.ev.customer, 0) > self.now:
            return self.finish(r, self.over[r.ev.customer] - self.now, True)
        if not self.settings.may_count or self.rng.random() > share or not self.may("calls"):
            return self.decide(r, None)
        # Adds units of uncounted admissions too; only reads if over the limit: refused units block others.
        if c.prev * left + c.known + c.unseen / c.share <= self.limit(r.plan) or self.saved_up(r):
            r.charged = r.ev.units / (min(1.0, share) if self.thin(r) and self.gain(r) > 0 else 1.0)
        c.owed += r.charged
        self.call(r)
        if self.patience != self.settings.counter_timeout_ns:  # else the call's own time-out ends the wait
            self.timer(self.patience, COUNT_WAIT, r.ev.request)

    def call(self, r: Request) -> None:
        c, name = r.who, mix64(r.ev.customer, r.who.win)
        self.calls.setdefault(name, []).append((r, c.win, c.owed))
        self.actions.append(i.Count(name, c.owed, min(NAME_LIFE_NS, 3 * self.window(r.plan))))
        c.owed = 0.0

    def saved_up(self, r: Request) -> bool:
        """A burst saved up lets in beyond a window's limit, where totals are good: a call for each try."""
        return self.asking >= 1 and r.who.saved + r.charged >= SAVED_LEAST * r.ev.units

    def thin(self, r: Request) -> bool:
        """This gateway's part of the limit is less than this one request, as over hundreds of gateways."""
        return self.limit(r.plan) * r.who.share < r.ev.units

    def odds_of(self, r: Request) -> float:
        """How often tries like this one were inside by the counter: this customer's, else the plan's."""
        return r.who.odds if r.who.odds >= 0 else self.odds.get((r.ev.plan, r.ev.is_retry), ODDS_START)

    def gain(self, r: Request) -> float:
        """What letting in an unknown try earns at the odds seen, as a part of a sure one's worth."""
        odds = self.odds_of(r)
        return odds - (1 - odds) * max(0.0, r.plan.over_quota_cost - r.plan.over_quota_value)

    def on_counted(self, ev: i.Counted) -> None:
        queue = self.calls.get(ev.name)
        if not queue:
            return
        r, win, amount = queue.pop(0)
        c, answered = r.who, ev.result == OK
        if answered:
            grow = CALLS_GROW if self.asking_cut else 4 * CALLS_GROW  # nobody knows yet what it bears
            grow *= 1 - ev.duration_ns / (CALLS_WAIT * self.patience)
            self.asking = max(CALLS_LEAST, min(CALLS_MOST, self.asking + grow / self.asking))
        elif (ev.duration_ns >= self.patience or ev.result in i.NEVER_RAN) and (
                self.now - self.asking_cut > self.patience):  # an answer spoilt on its way tells of no load
            self.asking, self.asking_cut = max(CALLS_LEAST, CALLS_CUT * self.asking), self.now  # once a jam
        self.say("counter down", self.asking <= CALLS_LEAST)
        self.down_at = self.now if self.asking <= CALLS_LEAST else self.down_at
        left = self.roll(c, r.plan)
        if c.win == win and answered:
            if ev.total < LOST * (c.put + amount):  # it was emptied: each puts back what it had put there
                c.least, c.owed, c.put = max(c.least, c.known + r.charged), c.owed + c.put, 0.0
            elif self.now - self.down_at < (1 - left) * self.window(r.plan) and not self.thin(r):
                c.least = max(c.least, c.known + c.unseen / c.share + r.charged)  # others' are not on it yet
            c.put += amount
            known = max(0.0, c.least, ev.total + c.owed)
            c.saved += c.known + c.blind / c.share - known
            c.known, c.blind, c.known_at = known, 0.0, self.now
            r.before = c.known + c.peer_blind - r.charged
        elif c.win == win and ev.result in i.NEVER_RAN:
            c.owed += amount  # proven not added; after a time-out it may have been
        if not r.decided:
            self.decide(r, r.before)

    def decide(self, r: Request, before: float | None) -> None:
        """The estimate: previous total x share of the window left + current count before this request."""
        c, u, left, limit = r.who, r.ev.units, self.roll(r.who, r.plan), self.limit(r.plan)
        r.decided, before = True, before if r.call_win == c.win else None
        estimate = weighted(c.prev, left, c.known if before is None else before)
        inside = estimate <= limit or before is not None and self.saved_up(r)
        if before is not None:
            kind, odds = (r.ev.plan, r.ev.is_retry), self.odds_of(r)
            c.odds = odds + ODDS_GAIN * (inside - odds)
            odds = self.odds.get(kind, ODDS_START)
            self.odds[kind] = odds + PLAN_GAIN * (inside - odds)
        elif self.thin(r):  # guesses get the part of the room that they are worth: asked ones go first
            inside = inside and self.out < int(self.gain(r) * self.room + self.rng.random())
        else:  # no answer: last total plus own later admissions, scaled by this gateway's part
            inside = estimate + (c.unseen + BLIND * u) / c.share <= limit
        if inside and self.open_room(r) or self.extra(r):
            c.own += u
            c.blind += u if before is None else 0.0
            c.saved -= u / c.share if before is None else 0.0
            if not r.charged and not (before is None and self.thin(r)):
                c.owed += u
            r.charged = r.charged or u
            return self.dispatch(r)
        # The previous total fades: the estimate fits after this share, or at the end if `known` is over.
        part = min(left, (estimate - limit) / c.prev) if c.prev > 0 and estimate > limit else left
        part = left if c.known > limit else part
        if before is not None and estimate > limit and self.over.get(r.ev.customer, 0) < self.now:
            self.over[r.ev.customer] = self.now + int(part * self.window(r.plan))
            if self.thin(r):  # its other ingresses see too little of it to learn that themselves
                others = [(r.ev.first_ingress + n) % self.settings.ingresses for n in range(c.spread)]
                self.tell(others, r.ev.customer, CUSTOMER, self.over[r.ev.customer])
        self.finish(r, part * self.window(r.plan), True)

    def tell(self, others: list[int], key: int, cls: int, until: int) -> None:
        """Where gateways may talk; all together send half of what each takes in, saved up to one word."""
        if self.settings.may_message_peers and self.tell_credit >= len(others):
            self.tell_credit -= len(others)
            self.actions += [i.Tell(n, WORD.pack(key, cls, until))
                             for n in others if n != self.settings.ingress]

    def on_told(self, ev: i.Told) -> None:
        key, cls, until = WORD.unpack(ev.data) if len(ev.data) == WORD.size else (-1, 0, 0)
        if cls == CUSTOMER:
            self.over[key] = until
        elif key in self.servers:
            self.servers[key].full_for[cls] = until

    def open_room(self, r: Request) -> bool:
        """Attempts out at once: this gateway's part of the cap, at least one."""
        return not r.plan.max_in_flight or r.who.out + r.who.peer_out < max(
            1, round(r.plan.max_in_flight * r.who.share + 0.25))

    def extra(self, r: Request) -> bool:
        """Beyond the quota only where it earns more than it costs and less than half the room is used."""
        return r.plan.over_quota_value > r.plan.over_quota_cost and self.out < 0.5 * self.room

    def ceiling(self, r: Request) -> bool:
        """Own part of the hard ceiling, safe whatever others do; spent at start, by the one before it."""
        p, c = r.plan, r.who
        if p.rate > 0 and p.burst > 0:
            self.roll(c, p)  # the store as any worker left it; without a quota each has its part
        part = 1 / (c.spread * (self.settings.workers if p.rate <= 0 or p.burst <= 0 else 1))
        full, rate = (p.ceiling_burst + 0.9 * p.ceiling_slack) * part, p.ceiling_rate * part / 1e9
        c.store = min(full, c.store + rate * (self.now - (c.store_at or self.born)))
        c.store_at = self.now
        fits = c.store >= r.ev.units or p.ceiling_rate <= 0
        c.store -= r.ev.units if fits else 0.0
        return fits
