"""The end of a history: all links heal, all machines start, and everything has to go on."""

from __future__ import annotations

from mapleline.balancer.control.commands import CommandStatus, ReplaceConfiguration
from mapleline.balancer.control.reconfiguration import tolerates_faults
from mapleline.balancer.control.state import Replica

from .world import World

MAX_DELIVERY_ROUNDS = 1000
ROUND_S = 0.3
FRESH_LEASE_S = 1.0
ROUNDS_TO_CONVERGE = 13  #: and three for each machine
ROUNDS_TO_CHOOSE = 5
LAST_CONTENT = 8


def founded_world(topology=0):
    """A world in which the first voters are chosen."""
    world = World(topology)
    for _ in range(4):
        run_round(world)
    return world


def deliver_all(world):
    """Everything arrives, and is saved, until nothing is on its way."""
    for _ in range(MAX_DELIVERY_ROUNDS):
        for node in world.running_nodes():
            while node.pending_saves:
                node.finish_save(0, True)
        arriving = world.network.take_arriving()
        if not arriving:
            return
        for message in arriving:
            message.deliver()
    raise AssertionError("it never comes to rest")


def run_round(world):
    """One round of queries and proposals, in which everything arrives."""
    world.now += ROUND_S
    for node in world.running_nodes():
        for ip in list(world.machines):
            if world.machines[ip].disk is not None or ip != node.ip:
                node.query(ip)
        node.repair()
    deliver_all(world)
    coordinator = _coordinator(world)
    for node in world.running_nodes():
        node.proposer.proposal = None
        node.proposer.propose_if_due(node.ip == coordinator)
        deliver_all(world)


def _coordinator(world):
    """The first of the voters that are there; one that leaves where there is no other."""
    voters = sorted({voter.ip for voter in world.newest_chosen.voters}) if world.newest_chosen is not None else []
    able = [ip for ip in voters if world.node(ip) is not None and world.node(ip).is_voter]
    able.sort(key=lambda ip: world.machines[ip].is_leaving)
    return able[0] if able else None


def heal_and_converge(world):
    """End all faults; raises AssertionError where the nodes do not come together and go on."""
    world.network.heal()
    for ip in list(world.machines):
        world.start(ip)
    for node in world.running_nodes():
        node.proposer.commands = []
    last_round = ROUNDS_TO_CONVERGE + 3 * len(world.machines)
    for index in range(last_round + 1):
        run_round(world)
        try:
            check_converged(world)
            break
        except AssertionError:
            if index == last_round:
                raise
    check_next_command(world)


def check_converged(world):
    """All machines that are there vote, and have a lease."""
    world.invariants.check_nodes()
    newest = world.newest_chosen
    assert newest is not None, "no core was founded"
    for node in world.running_nodes():
        assert world.now - node.lease_valid_since() < FRESH_LEASE_S, f"{node.ip} is not sure"
    for machine in world.machines.values():
        if machine.node is not None and machine.disk is not None and not machine.is_leaving:
            assert _is_rightly_placed(world, machine), f"{machine.ip} has no vote"
    assert not newest.former, "a change of members is under way for ever"


def _is_rightly_placed(world, machine):
    """Whether a machine with a disk votes, or its vote would take fault tolerance away."""
    voters = set(world.newest_chosen.voters)
    replica = Replica(machine.ip, machine.disk.record.disk_id, machine.ip)
    if replica in voters:
        return True
    if machine.ip in {voter.ip for voter in voters}:
        return False
    return tolerates_faults(voters, world.tolerance) and not tolerates_faults(voters | {replica}, world.tolerance)


def check_next_command(world):
    """A new command is chosen, and reaches all."""
    world.version += 1
    config = world.version, world.digest_of(LAST_CONTENT)
    proposer = next(node for node in world.running_nodes() if node.is_voter).proposer
    proposer.submit(ReplaceConfiguration(*config))
    submitted = proposer.commands[-1]
    for _ in range(ROUNDS_TO_CHOOSE):
        run_round(world)
    assert submitted.status == CommandStatus.DONE, "a new order is not chosen"
    assert world.newest_chosen.config == config
    for node in world.running_nodes():
        assert node.state.config == world.newest_chosen.config, f"{node.ip} is behind"
        assert world.now - node.lease_valid_since() < FRESH_LEASE_S, f"{node.ip} is behind"
    world.invariants.check_nodes()
