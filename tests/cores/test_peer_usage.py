"""One count of a customer among the workers, as their decision modules keep it."""

import pytest
from helpers import MS, S, settings
from shared_memory_builders import CUSTOMER_ROWS, new_memory

from mapleline.cores.customer_table import CustomerTable
from mapleline.cores.peer_usage import PeerUsage
from mapleline.policy import interface
from mapleline.policy.brain import Brain
from mapleline.policy.state import mix64

STEP_NS = S // 60  # between two requests: three times the plan's rate
START_NS = 4000 * S
DURATION_S = 24
CUSTOMER = 5
PLAN = interface.Plan(rate=20.0, burst=40.0)
FORWARDED_NS = 20 * MS  # until a server answers
COUNTER_NS = 2 * MS  # until the counter answers
COUNTER_TIMEOUT_NS = 30 * MS
SERVERS = [interface.Server(number) for number in range(1, 300)]


def arrival(request):
    return interface.Arrival(request, 0, 0, CUSTOMER, 4 * S, 1.0, 1)


class Simulation:
    """Workers' decision modules, with a counter and servers in virtual time."""

    def __init__(self, workers, seed):
        memory = new_memory(workers)
        self.brains = [self._new_brain(memory, workers, number, seed) for number in range(workers)]
        self.totals = {}  # of the counter, by name
        self.due = []  # events to come: (at, decision module, event)
        self.is_counter_down = False
        self.admitted = 0

    @staticmethod
    def _new_brain(memory, workers, number, seed):
        start = settings(
            ingresses=workers,
            ingress=number,
            workers=workers,
            seed=seed + number,
            plans=[PLAN],
            max_retry_after_ns=S,
            max_units=1,
        )
        brain = Brain(start)
        brain.asking = 1.1
        if workers > 1:
            brain.peers = PeerUsage(CustomerTable(memory, workers, number, CUSTOMER_ROWS))
        brain.handle(START_NS, interface.ServerNews(interface.News.CACHED, SERVERS))
        return brain

    def handle(self, now, brain, event):
        for action in brain.handle(now, event):
            if type(action) is interface.Count:
                self._answer_count(now, brain, action)
            elif type(action) is interface.Send:
                outcome = interface.Outcome(action.request, action.server, 0, FORWARDED_NS, interface.Result.OK, True)
                self.due.append((now + FORWARDED_NS, brain, outcome))
                self.admitted += 1

    def _answer_count(self, now, brain, call):
        if self.is_counter_down:
            timeout = interface.Counted(call.name, interface.Result.TIMEOUT, 0.0, COUNTER_TIMEOUT_NS)
            self.due.append((now + COUNTER_TIMEOUT_NS, brain, timeout))
            return
        self.totals[call.name] = self.totals.get(call.name, 0.0) + call.amount
        answer = interface.Counted(call.name, interface.Result.OK, self.totals[call.name], COUNTER_NS)
        self.due.append((now + COUNTER_NS, brain, answer))

    def handle_due(self, now):
        for at, brain, event in [item for item in self.due if item[0] <= now]:
            self.handle(at, brain, event)
        self.due = [item for item in self.due if item[0] > now]

    def sort_due(self):
        self.due.sort(key=lambda item: item[0])


def overrun(workers, worker_of, is_counter_down, seed):
    """Units admitted over the bucket's, as a share of the bucket's: one customer at three times its quota.

    `worker_of(step)` names the worker of the request of this step, `is_counter_down(step)` whether the counter fails.
    """
    simulation = Simulation(workers, seed)
    for step in range(DURATION_S * 60):
        now = START_NS + step * STEP_NS
        simulation.is_counter_down = is_counter_down(step)
        simulation.handle_due(now)
        simulation.handle(now, simulation.brains[worker_of(step)], arrival(step + 1))
        simulation.sort_due()
    return simulation.admitted / (PLAN.rate * DURATION_S + PLAN.burst) - 1


def mean_overrun(workers, worker_of, is_counter_down):
    seeds = range(3)
    return sum(overrun(workers, worker_of, is_counter_down, seed) for seed in seeds) / len(seeds)


PATTERNS = {
    "one, another, evenly": lambda step: 0 if step < 480 else 1 if step < 960 else step % 4,
    "evenly": lambda step: step % 4,
    "in turns of a second": lambda step: step // 60 % 4,
}


@pytest.mark.parametrize("down_steps", [range(0), range(600, 900)], ids=["counter up", "down for 5 s"])
@pytest.mark.parametrize("worker_of", PATTERNS.values(), ids=PATTERNS)
def test_four_workers_keep_one_count(worker_of, down_steps):
    """Hard case 1: counted by each worker alone, the quota was admitted by each of them while the counter was down."""
    of_one = mean_overrun(1, lambda step: 0, down_steps.__contains__)
    of_four = mean_overrun(4, worker_of, down_steps.__contains__)
    assert of_four <= of_one + 0.02
    assert of_four >= of_one - 0.1  # nor do they reject what one would admit


def test_a_replacement_reports_what_the_exited_worker_owed():
    memory = new_memory(2)

    def start_worker():
        brain = Brain(settings(ingresses=2, ingress=0, workers=2, seed=0, plans=[PLAN]))
        brain.peers = PeerUsage(CustomerTable(memory, 2, 0, CUSTOMER_ROWS))
        brain.handle(START_NS, interface.ServerNews(interface.News.CACHED, SERVERS))
        return brain

    exited = start_worker()
    exited.asking = 0.0  # never asks: all that it admits is owed
    for number in range(5):
        exited.handle(START_NS + number, arrival(number + 1))
    owed = exited.customers[CUSTOMER].owed
    CustomerTable(memory, 2, 0, CUSTOMER_ROWS).clear_in_flight()
    replacement = start_worker()
    replacement.asking = 2.0
    actions = replacement.handle(START_NS + 9, arrival(1))
    (call,) = [action for action in actions if type(action) is interface.Count]
    assert owed == 5.0
    assert call.amount == owed + 1.0
    assert call.name == mix64(CUSTOMER, replacement.customers[CUSTOMER].win)
    assert replacement.customers[CUSTOMER].peer_out == 0


def test_a_server_in_slow_start_gets_its_share_of_all_workers_requests():
    """Hard case 6: each draws at random with the odds that hold for the whole ingress."""
    slow_start_server = interface.Server(10, started_ns=START_NS - 1)
    servers = [*(interface.Server(number) for number in range(1, 10)), slow_start_server]
    forwarded = 0
    for worker in range(4):
        brain = Brain(settings(ingresses=4, ingress=worker, workers=4, seed=worker))
        brain.handle(START_NS, interface.ServerNews(interface.News.CACHED, servers))
        brain.room = 1e9
        for number in range(1000):
            actions = brain.handle(START_NS, interface.Arrival(number + 1, 0, 2, number, 4 * S, 1.0, 1))
            forwarded += sum(1 for action in actions if type(action) is interface.Send and action.server == 10)
    # A tenth of the weight times cold_from, 0.2 of a warm one's: 80 of 4000, and five standard deviations.
    assert 35 <= forwarded <= 125
