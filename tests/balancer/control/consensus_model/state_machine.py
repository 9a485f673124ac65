"""Drives the world with hypothesis, which shortens the histories that break an invariant."""

from __future__ import annotations

import random

from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from hypothesis.strategies import booleans, integers, sampled_from, sets

from mapleline.balancer.control.commands import SetEvacuation

from .convergence import bootstrapped_world, heal_and_converge
from .directed_histories import draw_first
from .quorums import check_quorums
from .world import STEP_S

machine_ips = sampled_from([1, 2, 3, 9])
disk_ips = sampled_from([1, 2, 3])
disk_ip_sets = sets(sampled_from([1, 2, 3, 4, 5]))
indices = integers(0, 99)


class HistoryMachine(RuleBasedStateMachine):
    """Histories of the first topology, which begin after the bootstrap.

    Hypothesis derives the seed from the source of this class, and sorts rules and arguments by name.
    """

    def __init__(self):
        super().__init__()
        self.world = bootstrapped_world()

    @rule(
        address=disk_ips,
        ips_for_prepare=disk_ip_sets,
        recipients_of_accept=disk_ip_sets,
        is_own_disk_slow=booleans(),
        is_proposer_coordinator=booleans(),
    )
    def ballot(self, address, ips_for_prepare, recipients_of_accept, is_own_disk_slow, is_proposer_coordinator):
        present = set(self.world.machines)
        self.world.run_ballot(
            address,
            is_proposer_coordinator,
            ips_for_prepare & present,
            recipients_of_accept & present,
            draw_first,
            is_own_disk_slow,
        )

    @rule(address=disk_ips, other=disk_ips, age_in_versions=integers(0, 2), content=integers(0, 2))
    def replace(self, address, other, age_in_versions, content):
        if address == other:
            self.world.replace_configuration(address, age_in_versions, content)
        else:
            self.world.replace_by_rivals(address, other)

    @rule(address=disk_ips, is_evacuated=booleans())
    def evacuate(self, address, is_evacuated):
        self.world.submit(address, SetEvacuation("a", is_evacuated))

    @rule(address=disk_ips, voter_ips=disk_ip_sets)
    def reconfigure(self, address, voter_ips):
        self.world.request_voters(address, sorted(voter_ips & set(self.world.machines)))

    @rule(address=machine_ips, adds_machine=booleans())
    def add_and_query(self, address, adds_machine):
        if adds_machine:
            self.world.add_machine()
        node = self.world.node(address)
        for ip in list(self.world.machines) if node is not None else ():
            node.query(ip)

    @rule(seed=indices, steps=integers(1, 40))
    def run(self, seed, steps):
        self.world.run(random.Random(seed).randrange, steps)

    @rule(message_index=indices, is_dropped=booleans())
    def deliver(self, message_index, is_dropped):
        if is_dropped:
            self.world.network.drop(message_index)
        else:
            self.world.network.deliver(message_index, is_kept=True)

    @rule(address=machine_ips, saves_completed=integers(0, 3), is_restarted=booleans())
    def crash(self, address, saves_completed, is_restarted):
        self.world.crash(address, saves_completed)
        if is_restarted:
            self.world.start(address)

    @rule(address=disk_ips, history_index=indices, is_wiped=booleans())
    def lose_disk(self, address, history_index, is_wiped):
        if is_wiped:
            self.world.disk_faults.wipe(address)
        else:
            self.world.disk_faults.restore(address, history_index)
        self.world.start(address)

    @rule(machine=machine_ips, other=machine_ips, both_directions=booleans())
    def cut(self, machine, other, both_directions):
        if machine != other:
            self.world.network.cut_off(machine, other, both_directions)
        else:
            self.world.network.cut_links.clear()

    @rule(duration_s=sampled_from([0.05, 0.6, 3.0]))
    def pass_time(self, duration_s):
        self.world.now += duration_s

    @invariant()
    def nodes_hold_invariants(self):
        self.world.now += STEP_S
        self.world.invariants.check_nodes()

    def teardown(self):
        check_quorums(self.world)
        heal_and_converge(self.world)
