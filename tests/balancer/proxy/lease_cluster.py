"""A simulated cluster of voters and holders of slow-start leases, with lost and late messages, restarts and freezes."""

import random
from dataclasses import dataclass

from mapleline.balancer.proxy.slow_start_leases import LEASE_S, SlowStartLeases
from mapleline.balancer.transport.messages import LeaseRequest
from mapleline.simulation.event_loop import EventLoop

LEASE_ID = 7
STEP_S = 0.02


@dataclass
class LeaseHistory:
    """Observations of one lease: most concurrent holders, least time between starts of two terms, number of terms."""

    max_holders: int
    min_gap_s: float
    term_count: int


class LeaseCluster:
    """Three or four voters and some other nodes on one virtual clock; changing nodes request `LEASE_ID`.

    Nodes are identified by number, from 1; the voters come first.
    """

    def __init__(self, seed, other_nodes=3):
        self.rng = random.Random(seed)
        self.clock = EventLoop(1000.0)
        self.voter_count = 3 + seed % 2
        self.nodes = {}
        self.frozen_until = dict.fromkeys(range(1, self.voter_count + other_nodes + 1), 0.0)
        self.cut_links = set()
        self.requesting = {1}
        for ip in self.frozen_until:
            self.restart(ip)

    def restart(self, ip):
        self.nodes[ip] = SlowStartLeases(
            self.clock,
            ip,
            self.rng,
            lambda target, message: self.send(ip, target, message),
            lambda: list(range(1, self.voter_count + 1)),
            lambda now: [LEASE_ID] if ip in self.requesting else [],
            ip <= self.voter_count,
        )

    def send(self, source, target, message):
        if (source, target) in self.cut_links or self.rng.random() < 0.1:
            return
        delay_s = self.rng.choice([0.001, 0.01, 0.02, 0.02, 0.02, 0.02, 0.3, 2.0])
        delay_s = max(delay_s, self.frozen_until[target] - self.clock.now)
        self.clock.callLater(delay_s, self.deliver, source, target, message)

    def deliver(self, source, target, message):
        if self.clock.now < self.frozen_until[target]:
            thaws_in_s = self.frozen_until[target] - self.clock.now
            self.clock.callLater(thaws_in_s, self.deliver, source, target, message)
        elif isinstance(message, LeaseRequest):
            grant = self.nodes[target].handle_request(source, message)
            if grant is not None:
                self.send(target, source, grant)
        else:
            self.nodes[target].handle_grant(source, message)

    def run(self, rounds=200):
        """Inject random faults, and record which nodes hold the lease."""
        max_holders, last_holder, term_starts = 0, None, []
        for _ in range(rounds):
            self.inject_fault()
            self.request_leases()
            for _ in range(5):
                self.clock.run_until(self.clock.now + STEP_S)
                now = self.clock.now
                holders = [node for node in self.nodes.values() if node.is_held(LEASE_ID, now)]
                max_holders = max(max_holders, len(holders))
                if holders and holders[0] is not last_holder:
                    last_holder = holders[0]
                    term_starts.append(now)
        gaps = [later - earlier for earlier, later in zip(term_starts, term_starts[1:], strict=False)]
        return LeaseHistory(max_holders, min(gaps, default=LEASE_S), len(term_starts))

    def inject_fault(self):
        draw = self.rng.random()
        ip = self.rng.choice(list(self.nodes))
        if draw < 0.04:
            self.restart(ip)
        elif draw < 0.08:  # all voters but one: more than are in one zone
            for voter in range(1, self.voter_count):
                self.restart(voter)
        elif draw < 0.12:
            self.frozen_until[ip] = self.clock.now + self.rng.uniform(0.2, 3.0)
        elif draw < 0.16:
            self.cut_links = {(ip, target) for target in self.rng.sample(list(self.nodes), 4)}
        elif draw < 0.20:
            self.cut_links = set()
        elif draw < 0.32:
            self.requesting = set(self.rng.sample(list(self.nodes), self.rng.choice([1, 1, 1, 2])))

    def request_leases(self):
        for ip, node in self.nodes.items():
            if self.clock.now >= self.frozen_until[ip] and self.rng.random() < 0.5:
                node.request_leases()
