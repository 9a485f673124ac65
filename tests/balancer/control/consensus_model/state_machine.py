"""The same world driven by hypothesis: what it finds it makes as short as it can."""

from __future__ import annotations

import random

from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from hypothesis.strategies import booleans, integers, sampled_from, sets

from mapleline.balancer.control.commands import SetEvacuation

from .convergence import founded_world, heal_and_converge
from .directed_histories import first as draw_first
from .quorums import check_quorums
from .world import STEP_S

machines = sampled_from([1, 2, 3, 9])
disks = sampled_from([1, 2, 3])
some_disks = sets(sampled_from([1, 2, 3, 4, 5]))
indices = integers(0, 99)


class HistoryMachine(RuleBasedStateMachine):
    """Histories of the first topology, which begin with a founded system."""

    def __init__(self):
        super().__init__()
        self.world = founded_world()

    @rule(at=disks, first=some_disks, then=some_disks, lazy=booleans(), mine=booleans())
    def ballot(self, at, first, then, lazy, mine):
        present = set(self.world.machines)
        self.world.run_ballot(at, mine, first & present, then & present, draw_first, lazy)

    @rule(at=disks, other=disks, back=integers(0, 2), content=integers(0, 2))
    def replace(self, at, other, back, content):
        if at == other:
            self.world.replace_configuration(at, back, content)
        else:
            self.world.replace_by_rivals(at, other)

    @rule(at=disks, begin=booleans())
    def evacuate(self, at, begin):
        self.world.submit(at, SetEvacuation("a", begin))

    @rule(at=disks, ips=some_disks)
    def reshape(self, at, ips):
        self.world.want_voters(at, sorted(ips & set(self.world.machines)))

    @rule(at=machines, grow=booleans())
    def ask(self, at, grow):
        if grow:
            self.world.add_machine()
        node = self.world.node(at)
        for ip in list(self.world.machines) if node is not None else ():
            node.query(ip)

    @rule(seed=indices, steps=integers(1, 40))
    def run(self, seed, steps):
        self.world.run(random.Random(seed).randrange, steps)

    @rule(nth=indices, lost=booleans())
    def deliver(self, nth, lost):
        if lost:
            self.world.network.lose(nth)
        else:
            self.world.network.deliver(nth, is_kept=True)

    @rule(at=machines, left=integers(0, 3), back=booleans())
    def crash(self, at, left, back):
        self.world.crash(at, left)
        if back:
            self.world.start(at)

    @rule(at=disks, nth=indices, wiped=booleans())
    def lose_disk(self, at, nth, wiped):
        if wiped:
            self.world.disk_faults.wipe(at)
        else:
            self.world.disk_faults.restore(at, nth)
        self.world.start(at)

    @rule(one=machines, other=machines, both=booleans())
    def cut(self, one, other, both):
        if one != other:
            self.world.network.cut_off(one, other, both)
        else:
            self.world.network.cut_links.clear()

    @rule(passed=sampled_from([0.05, 0.6, 3.0]))
    def time_passes(self, passed):
        self.world.now += passed

    @invariant()
    def holds(self):
        self.world.now += STEP_S
        self.world.invariants.check_nodes()

    def teardown(self):
        check_quorums(self.world)
        heal_and_converge(self.world)
