"""A decision module with a few servers, and short methods that send it events."""

from mapleline.policy import interface
from mapleline.policy.brain import Brain

MS = 1_000_000
S = 1_000 * MS


def settings(**changes) -> interface.Start:
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
        classes=[interface.RequestClass(S, 4 * S), interface.RequestClass(2 * S, 5 * S, interface.Effect.UNSAFE)],
        plans=[
            interface.Plan(rate=2.0, burst=8.0),
            interface.Plan(rate=2.0, burst=8.0, ceiling_rate=4.0, ceiling_burst=16.0, ceiling_slack=4.0),
            interface.Plan(),
        ],
    )
    return interface.Start(**{**base, **changes})


class Gateway:
    """Drives the Brain of one ingress.

    Attributes:
        brain: The decision module.
        now: The time, ns; it starts at the start of a counting window of the plans above.
        next: The number of the latest request.
        first: The actions that followed from the first server list.
    """

    def __init__(self, servers=6, **changes):
        self.brain, self.now, self.next = Brain(settings(**changes)), 4000 * S, 0
        self.brain.asking = 1.5  # as after many quick answers of the counter
        servers_listed = [interface.Server(number, zone=number % 2) for number in range(1, servers + 1)]
        self.first = self.do(interface.ServerNews(interface.News.CACHED, servers_listed))

    def do(self, event, wait=0):
        self.now += wait
        return self.brain.handle(self.now, event)

    def arrive(self, plan=2, cls=0, customer=5, units=1.0, wait=0, ttl=4 * S, spread=2, repeat=False):
        self.next += 1
        event = interface.Arrival(self.next, cls, plan, customer, ttl, units, spread, 0, repeat)
        return self.next, self.do(event, wait)

    def end(self, request, server, result, attempt=0, took=100 * MS, final=None, units=0.0, wait=0):
        final = result == interface.Result.OK if final is None else final
        return self.do(interface.Outcome(request, server, attempt, took, result, final, units), wait)


def only(actions, kind):
    return [action for action in actions if type(action) is kind]
