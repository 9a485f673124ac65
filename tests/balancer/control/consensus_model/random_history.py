"""Random histories, each generated from a seed so that it can be replayed."""

from __future__ import annotations

import random

from mapleline.balancer.control.commands import RemoveReplica, SetEvacuation

from .convergence import heal_and_converge, run_round
from .quorums import check_quorums
from .world import STEP_S, TOPOLOGIES, World

STEPS = 70
STEPS_PER_QUORUM_CHECK = 8
LARGE_INDEX = 1 << 20  #: bound of a random index, which is taken modulo the number of messages


def search(history_count, **options):
    """Play the histories of the seeds from 0; raise AssertionError at the first that breaks an invariant."""
    for seed in range(history_count):
        play(seed, **options)


def play(seed, topology=None, steps=STEPS, must_converge=True):
    """Play one history; raise AssertionError with the seed if an invariant is broken."""
    history = RandomHistory(random.Random(seed), topology)
    try:
        history.play(steps, must_converge)
    except AssertionError as err:
        raise AssertionError(f"history {seed}: {err}") from err


class RandomHistory:
    """Chooses each next action at random.

    A seed replays the same history only while the order of the random draws stays the same.
    """

    def __init__(self, rng, topology=None):
        self.rng = rng
        self.world = World(rng.randrange(len(TOPOLOGIES)) if topology is None else topology)

    def play(self, steps, must_converge):
        actions, weights = self.weighted_actions()
        if self.rng.random() < 0.8:  # most histories begin after the bootstrap
            self.bootstrap()
        for step in range(steps):
            self.rng.choices(actions, weights)[0]()
            self.world.now += STEP_S
            self.world.invariants.check_nodes()
            if step % STEPS_PER_QUORUM_CHECK == 0:
                check_quorums(self.world)
        check_quorums(self.world)
        if must_converge:
            heal_and_converge(self.world)

    def bootstrap(self):
        if self.rng.random() < 0.4:  # one machine is cut off and knows nothing of the bootstrap
            isolated = self.disk_ip()
            for ip in self.world.machines:
                self.world.network.cut_off(isolated, ip, True)
        for _ in range(4):
            run_round(self.world)

    def weighted_actions(self):
        """Return the actions and their weights in this history; different weights make histories of different kinds."""
        weighted = self.actions()
        actions = [action for _, action in weighted]
        weights = [weight * self.rng.choice([0, 1, 1, 3]) for weight, _ in weighted]
        weights[0] = max(weights[0], 15)
        if self.rng.random() < 0.3:  # mostly ballots, by partially connected machines
            ballots = (self.repeat_ballots, self.reconfigure, self.ballot, self.query_all, self.cut, self.heal)
            weights = [weight if action in ballots else weight / 20 for weight, action in weighted]
        return actions, weights

    def actions(self):
        return [
            (30, self.run),
            (10, self.propose),
            (10, self.ballot),
            (1, self.restart_proposer),
            (8, self.query_all),
            (8, self.replace),
            (4, self.submit_rivals),
            (2, self.evacuate),
            (1, self.remove_replica),
            (3, self.reconfigure),
            (3, self.repeat_ballots),
            (3, self.abandon_ballot),
            (4, self.crash),
            (6, self.start_some),
            (3, self.cut),
            (3, self.heal),
            (3, self.pass_time),
            (2, self.wipe),
            (2, self.restore),
            (2, self.world.add_machine),
            (1, self.leave),
            (1, self.crash_all),
            (3, self.drop),
            (2, self.duplicate),
            (1, self.refuse_save),
            (1, self.repair_all),
        ]

    # -- draws --

    def any_ip(self):
        return self.rng.choice(list(self.world.machines))

    def disk_ip(self):
        return self.rng.choice([ip for ip, machine in self.world.machines.items() if machine.disk is not None])

    def sample(self, ips, size):
        return self.rng.sample(ips, size)

    # -- messages and time --

    def run(self):
        self.world.run(self.rng.randrange, self.rng.choice([1, 3, 10, 30, 100]))

    def drop(self):
        self.world.network.drop(self.rng.randrange(LARGE_INDEX))

    def duplicate(self):
        self.world.network.deliver(self.rng.randrange(LARGE_INDEX), is_kept=True)

    def cut(self):
        ip = self.any_ip()
        if self.rng.random() < 0.4:  # a machine is cut off from some or all others
            ips = list(self.world.machines)
            for other in self.sample(ips, self.rng.randrange(1, len(ips))):
                self.world.network.cut_off(ip, other, True)
        else:
            self.world.network.cut_off(ip, self.any_ip(), self.rng.random() < 0.5)

    def heal(self):
        self.world.network.heal()

    def pass_time(self):
        self.world.now += self.rng.choice([0.05, 0.6, 3.0])

    def query_all(self):
        node = self.world.node(self.any_ip())
        for ip in list(self.world.machines) if node is not None else ():
            node.query(ip)

    # -- ballots --

    def propose(self, ip=None):
        node = self.world.node(ip or self.disk_ip())
        if node is not None:
            node.proposer.propose_if_due(self.rng.random() < 0.7)

    def abandon_ballot(self):
        node = self.world.node(self.disk_ip())
        if node is not None:
            node.proposer.proposal = None

    def ballot(self, ip=None, max_accepting=None, is_own_disk_slow=False):
        """Run one or two ballots of one machine.

        Prepare reaches at least half of the machines, and Accept fewer than `max_accepting` (default: than all).
        """
        ips = list(self.world.machines)
        ip = ip or self.disk_ip()
        for _ in range(self.rng.choice([1, 1, 2])):
            self.world.run_ballot(
                ip,
                self.rng.random() < 0.7,
                self.sample(ips, self.rng.randrange(len(ips) // 2, len(ips) + 1)),
                self.sample(ips, self.rng.randrange(max_accepting or len(ips))),
                self.rng.randrange,
                is_own_disk_slow,
            )

    def repeat_ballots(self):
        """Let one machine run ballots that few accept; then let any machine run a ballot."""
        ip = self.disk_ip()
        for _ in range(self.rng.choice([2, 3, 4])):
            if self.rng.random() < 0.6:
                self.request_voters(ip)
            self.ballot(ip, 3)
        self.ballot()

    def restart_proposer(self):
        """Restart a machine during its ballot, and let it run another one at once."""
        ip = self.disk_ip()
        self.replace(ip)
        self.ballot(ip, is_own_disk_slow=True)
        self.world.crash(ip, self.rng.randrange(2))
        self.world.start(ip)
        self.replace(ip)
        self.ballot(ip)

    # -- commands and voters --

    def replace(self, ip=None):
        """Submit a configuration, and begin its ballot at once."""
        ip = ip or self.disk_ip()
        self.world.replace_configuration(ip, self.rng.choice([0, 0, 0, 1, 2]), self.rng.randrange(3))
        self.propose(ip)

    def submit_rivals(self):
        ip = self.disk_ip()
        other = self.disk_ip()
        self.world.replace_by_rivals(ip, other)
        self.propose(ip)
        self.propose(other)

    def evacuate(self):
        ip = self.disk_ip()
        self.world.submit(ip, SetEvacuation(self.rng.choice("ab"), self.rng.random() < 0.5))
        self.propose(ip)

    def remove_replica(self):
        ip = self.disk_ip()
        removed = self.disk_ip()
        if removed not in self.world.reachable_ips(ip):
            self.world.submit(ip, RemoveReplica(removed))
            self.propose(ip)

    def request_voters(self, ip):
        node = self.world.node(ip)
        ips = sorted({ip, *node.reports}) if node is not None else [ip]
        min_size = min(len(ips), 2 * self.world.machine_losses + 1)
        size = self.rng.choice([min_size, self.rng.randrange(min_size, len(ips) + 1)])
        self.world.request_voters(ip, self.sample(ips, size))

    def reconfigure(self):
        ip = self.disk_ip()
        self.request_voters(ip)
        self.ballot(ip)

    # -- machines and disks --

    def crash(self):
        self.world.crash(self.any_ip(), self.rng.randrange(4))

    def crash_all(self):
        for ip in list(self.world.machines):
            self.world.crash(ip, self.rng.randrange(4))

    def start_some(self):
        for ip in list(self.world.machines):
            if self.rng.random() < 0.5:
                self.world.start(ip)

    def wipe(self):
        self.world.disk_faults.wipe(self.disk_ip())

    def restore(self):
        self.world.disk_faults.restore(self.disk_ip(), self.rng.randrange(99))

    def leave(self):
        self.world.leave(self.disk_ip())

    def refuse_save(self):
        self.world.finish_save(self.rng.randrange(99), False)

    def repair_all(self):
        for node in self.world.running_nodes():
            node.repair()
