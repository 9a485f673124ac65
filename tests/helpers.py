"""A gateway with a few servers, and small steps to drive it."""

from mapleline.policy import interface as i
from mapleline.policy.brain import Brain

MS = 1_000_000
S = 1_000 * MS


def settings(**changes) -> i.Start:
    base = dict(
        ingresses=3,
        seed=7,
        tick_ns=2 * MS,
        may_count=True,
        may_cancel=True,
        counter_timeout_ns=50 * MS,
        max_attempts=4,
        slow_start_share=0.2,
        warm_up_ns=10 * S,
        fall_multiple=2.5,
        fall_window_ns=2 * S,
        max_units=4,
        classes=[i.RequestClass(S, 4 * S), i.RequestClass(2 * S, 5 * S, i.Effect.UNSAFE)],
        plans=[
            i.Plan(rate=2.0, burst=8.0),
            i.Plan(rate=2.0, burst=8.0, ceiling_rate=4.0, ceiling_burst=16.0, ceiling_slack=4.0),
            i.Plan(),
        ],
    )
    return i.Start(**{**base, **changes})


class Gateway:
    """Drives one Brain; `now` starts at a window's edge of the plans above."""

    def __init__(self, servers=6, **changes):
        self.brain, self.now, self.next = Brain(settings(**changes)), 4000 * S, 0
        self.brain.asking = 1.5  # a counter that has answered quickly for a while
        lines = [i.Server(n, zone=n % 2) for n in range(1, servers + 1)]
        self.first = self.do(i.ServerNews(i.News.CACHED, lines))

    def do(self, event, wait=0):
        self.now += wait
        return self.brain.handle(self.now, event)

    def arrive(self, plan=2, cls=0, customer=5, units=1.0, wait=0, ttl=4 * S, spread=2, repeat=False):
        self.next += 1
        event = i.Arrival(self.next, cls, plan, customer, ttl, units, spread, 0, repeat)
        return self.next, self.do(event, wait)

    def end(self, request, server, result, attempt=0, took=100 * MS, final=None, units=0.0, wait=0):
        final = result == i.Result.OK if final is None else final
        return self.do(i.Outcome(request, server, attempt, took, result, final, units), wait)


def only(actions, kind):
    return [a for a in actions if type(a) is kind]
