"""The end of a history: all links heal, all machines start, and the system must converge and accept commands."""

from __future__ import annotations

from mapleline.balancer.control.commands import CommandStatus, ReplaceConfiguration
from mapleline.balancer.control.reconfiguration import tolerates_faults
from mapleline.balancer.control.state import Replica

from .world import World

MAX_DELIVERY_ROUNDS = 1000
ROUND_S = 0.3
FRESH_LEASE_S = 1.0
ROUNDS_TO_CONVERGE = 13  #: plus three for each machine
ROUNDS_TO_CHOOSE = 5
LAST_CONTENT = 8


def bootstrapped_world(topology=0):
    """Return a world in which the first voters are chosen."""
    world = World(topology)
    for _ in range(4):
        run_round(world)
    return world


def deliver_all(world):
    """Complete all saves and deliver all messages until nothing is in flight."""
    for _ in range(MAX_DELIVERY_ROUNDS):
        for node in world.running_nodes():
            while node.pending_saves:
                node.finish_save(0, True)
        deliverable = world.network.take_deliverable()
        if not deliverable:
            return
        for message in deliverable:
            message.deliver()
    raise AssertionError("messages are still in flight after the maximum number of rounds")


def run_round(world):
    """Run one round of queries and proposals in which every message on an intact link is delivered."""
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
    """Return the address of the first running voter, a leaving one only if there is no other; None for none."""
    voters = sorted({voter.ip for voter in world.newest_chosen.voters}) if world.newest_chosen is not None else []
    candidates = [ip for ip in voters if world.node(ip) is not None and world.node(ip).is_voter]
    candidates.sort(key=lambda ip: world.machines[ip].is_leaving)
    return candidates[0] if candidates else None


def heal_and_converge(world):
    """End all faults; raise AssertionError if the nodes do not converge or do not accept a new command."""
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
    """Check that each running machine has a fresh read lease and, if it has a disk, the vote that it should have."""
    world.invariants.check_nodes()
    newest = world.newest_chosen
    assert newest is not None, "no first state was chosen"
    for node in world.running_nodes():
        assert world.now - node.lease_valid_since() < FRESH_LEASE_S, f"{node.ip} has no fresh read lease"
    for machine in world.machines.values():
        if machine.node is not None and machine.disk is not None and not machine.is_leaving:
            assert _has_expected_vote(world, machine), f"{machine.ip} has no vote"
    assert not newest.former, "a change of the voters does not finish"


def _has_expected_vote(world, machine):
    """Return whether a machine with a disk votes, or rightly does not since its vote would reduce fault tolerance."""
    voters = set(world.newest_chosen.voters)
    replica = Replica(machine.ip, machine.disk.record.disk_id, machine.ip)
    if replica in voters:
        return True
    if machine.ip in {voter.ip for voter in voters}:
        return False
    return tolerates_faults(voters, world.tolerance) and not tolerates_faults(voters | {replica}, world.tolerance)


def check_next_command(world):
    """Check that a new command is chosen and that all nodes learn it."""
    world.version += 1
    config = world.version, world.digest_of(LAST_CONTENT)
    proposer = next(node for node in world.running_nodes() if node.is_voter).proposer
    proposer.submit(ReplaceConfiguration(*config))
    submitted = proposer.commands[-1]
    for _ in range(ROUNDS_TO_CHOOSE):
        run_round(world)
    assert submitted.status == CommandStatus.DONE, "a new command is not chosen"
    assert world.newest_chosen.config == config
    for node in world.running_nodes():
        assert node.state.config == world.newest_chosen.config, f"{node.ip} lacks the newest state"
        assert world.now - node.lease_valid_since() < FRESH_LEASE_S, f"{node.ip} has no fresh read lease"
    world.invariants.check_nodes()
