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


class IngressDriver:
    """Drives the Brain of one ingress.

    Attributes:
        brain: The decision module.
        now: The time, ns; it starts at the start of a counting window of the plans above.
        last_request: The number of the latest request.
        first_actions: The actions that followed from the first server list.
    """

    def __init__(self, servers=6, **changes):
        self.brain, self.now, self.last_request = Brain(settings(**changes)), 4000 * S, 0
        self.brain.sampling = 1.5  # as after many quick answers of the counter
        servers_listed = [interface.Server(number, zone=number % 2) for number in range(1, servers + 1)]
        self.first_actions = self.handle(interface.ServerNews(interface.News.CACHED, servers_listed))

    def handle(self, event, wait_ns=0):
        self.now += wait_ns
        return self.brain.handle(self.now, event)

    def arrive(
        self, plan=2, class_id=0, customer=5, units=1.0, wait_ns=0, ttl_ns=4 * S, ingress_count=2, is_retry=False
    ):
        self.last_request += 1
        event = interface.Arrival(
            self.last_request, class_id, plan, customer, ttl_ns, units, ingress_count, 0, is_retry
        )
        return self.last_request, self.handle(event, wait_ns)

    def end_attempt(self, request, server, result, attempt=0, took_ns=100 * MS, is_final=None, units=0.0, wait_ns=0):
        is_final = result == interface.Result.OK if is_final is None else is_final
        return self.handle(interface.Outcome(request, server, attempt, took_ns, result, is_final, units), wait_ns)


def only(actions, kind):
    return [action for action in actions if type(action) is kind]
