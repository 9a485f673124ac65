"""Histories by chance: each is drawn from a seed, and so can be played again."""

from __future__ import annotations

import random

from mapleline.balancer.control.commands import RemoveReplica, SetEvacuation

from .convergence import heal_and_converge, run_round
from .quorums import check_quorums
from .world import STEP_S, TOPOLOGIES, World

STEPS = 70
STEPS_A_QUORUM_CHECK = 8
LARGE_INDEX = 1 << 20  #: taken modulo the number of messages


def search(histories, **how):
    """Play the histories of the seeds from 0; raises AssertionError at the first that breaks a rule."""
    for seed in range(histories):
        play(seed, **how)


def play(seed, topology=None, steps=STEPS, has_end=True):
    """Play one history; raises AssertionError with the seed where a rule is broken."""
    history = RandomHistory(random.Random(seed), topology)
    try:
        history.play(steps, has_end)
    except AssertionError as err:
        raise AssertionError(f"history {seed}: {err}") from err


class RandomHistory:
    """Draws what happens next.  The order of the draws is that of the statements: it makes the seeds what they are."""

    def __init__(self, chance, topology=None):
        self.random = chance
        self.world = World(chance.randrange(len(TOPOLOGIES)) if topology is None else topology)

    def play(self, steps, has_end):
        actions, weights = self.weighted_actions()
        if self.random.random() < 0.8:  # most histories begin with a founded system
            self.found()
        for step in range(steps):
            self.random.choices(actions, weights)[0]()
            self.world.now += STEP_S
            self.world.invariants.check_nodes()
            if step % STEPS_A_QUORUM_CHECK == 0:
                check_quorums(self.world)
        check_quorums(self.world)
        if has_end:
            heal_and_converge(self.world)

    def found(self):
        if self.random.random() < 0.4:  # and one machine that has heard nothing of it
            isolated = self.disk_ip()
            for ip in self.world.machines:
                self.world.network.cut_off(isolated, ip, True)
        for _ in range(4):
            run_round(self.world)

    def weighted_actions(self):
        """The actions, and how often each is taken in this history: histories that differ in kind find more."""
        weighted = self.actions()
        actions = [action for _, action in weighted]
        weights = [weight * self.random.choice([0, 1, 1, 3]) for weight, _ in weighted]
        weights[0] = max(weights[0], 15)
        if self.random.random() < 0.3:  # ballots alone, by machines that have heard more and less of each other
            ballots = (self.insist, self.reconfigure, self.ballot, self.query_all, self.cut, self.heal)
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
            (4, self.rivals),
            (2, self.evacuate),
            (1, self.remove_replica),
            (3, self.reconfigure),
            (3, self.insist),
            (3, self.give_up),
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
            (3, self.lose),
            (2, self.double),
            (1, self.refuse_save),
            (1, self.repair_all),
        ]

    # -- draws --

    def any_ip(self):
        return self.random.choice(list(self.world.machines))

    def disk_ip(self):
        return self.random.choice([ip for ip, machine in self.world.machines.items() if machine.disk is not None])

    def sample(self, ips, size):
        return self.random.sample(ips, size)

    # -- messages and time --

    def run(self):
        self.world.run(self.random.randrange, self.random.choice([1, 3, 10, 30, 100]))

    def lose(self):
        self.world.network.lose(self.random.randrange(LARGE_INDEX))

    def double(self):
        self.world.network.deliver(self.random.randrange(LARGE_INDEX), is_kept=True)

    def cut(self):
        ip = self.any_ip()
        if self.random.random() < 0.4:  # one alone, or a part
            ips = list(self.world.machines)
            for other in self.sample(ips, self.random.randrange(1, len(ips))):
                self.world.network.cut_off(ip, other, True)
        else:
            self.world.network.cut_off(ip, self.any_ip(), self.random.random() < 0.5)

    def heal(self):
        self.world.network.heal()

    def pass_time(self):
        self.world.now += self.random.choice([0.05, 0.6, 3.0])

    def query_all(self):
        node = self.world.node(self.any_ip())
        for ip in list(self.world.machines) if node is not None else ():
            node.query(ip)

    # -- ballots --

    def propose(self, ip=None):
        node = self.world.node(ip or self.disk_ip())
        if node is not None:
            node.proposer.propose_if_due(self.random.random() < 0.7)

    def give_up(self):
        node = self.world.node(self.disk_ip())
        if node is not None:
            node.proposer.proposal = None

    def ballot(self, ip=None, max_accepting=None, is_own_disk_slow=False):
        """Most are asked, and any accept; one that lost tries again."""
        ips = list(self.world.machines)
        ip = ip or self.disk_ip()
        for _ in range(self.random.choice([1, 1, 2])):
            self.world.run_ballot(
                ip,
                self.random.random() < 0.7,
                self.sample(ips, self.random.randrange(len(ips) // 2, len(ips) + 1)),
                self.sample(ips, self.random.randrange(max_accepting or len(ips))),
                self.random.randrange,
                is_own_disk_slow,
            )

    def insist(self):
        """One proposes again and again what few accept; then another who has not heard."""
        ip = self.disk_ip()
        for _ in range(self.random.choice([2, 3, 4])):
            if self.random.random() < 0.6:
                self.want_voters(ip)
            self.ballot(ip, 3)
        self.ballot()

    def restart_proposer(self):
        """Who has a ballot out is started anew at once."""
        ip = self.disk_ip()
        self.replace(ip)
        self.ballot(ip, is_own_disk_slow=True)
        self.world.crash(ip, self.random.randrange(2))
        self.world.start(ip)
        self.replace(ip)
        self.ballot(ip)

    # -- commands and voters --

    def replace(self, ip=None):
        """A command, and its ballot at once."""
        ip = ip or self.disk_ip()
        self.world.replace_configuration(ip, self.random.choice([0, 0, 0, 1, 2]), self.random.randrange(3))
        self.propose(ip)

    def rivals(self):
        ip = self.disk_ip()
        other = self.disk_ip()
        self.world.replace_by_rivals(ip, other)
        self.propose(ip)
        self.propose(other)

    def evacuate(self):
        ip = self.disk_ip()
        self.world.submit(ip, SetEvacuation(self.random.choice("ab"), self.random.random() < 0.5))
        self.propose(ip)

    def remove_replica(self):
        ip = self.disk_ip()
        removed = self.disk_ip()
        if removed not in self.world.reachable_ips(ip):
            self.world.submit(ip, RemoveReplica(removed))
            self.propose(ip)

    def want_voters(self, ip):
        node = self.world.node(ip)
        ips = sorted({ip, *node.reports}) if node is not None else [ip]
        least = min(len(ips), 2 * self.world.machine_losses + 1)
        size = self.random.choice([least, self.random.randrange(least, len(ips) + 1)])
        self.world.want_voters(ip, self.sample(ips, size))

    def reconfigure(self):
        ip = self.disk_ip()
        self.want_voters(ip)
        self.ballot(ip)

    # -- machines and disks --

    def crash(self):
        self.world.crash(self.any_ip(), self.random.randrange(4))

    def crash_all(self):
        for ip in list(self.world.machines):
            self.world.crash(ip, self.random.randrange(4))

    def start_some(self):
        for ip in list(self.world.machines):
            if self.random.random() < 0.5:
                self.world.start(ip)

    def wipe(self):
        self.world.disk_faults.wipe(self.disk_ip())

    def restore(self):
        self.world.disk_faults.restore(self.disk_ip(), self.random.randrange(99))

    def leave(self):
        self.world.leave(self.disk_ip())

    def refuse_save(self):
        self.world.finish_save(self.random.randrange(99), False)

    def repair_all(self):
        for node in self.world.running_nodes():
            node.repair()
