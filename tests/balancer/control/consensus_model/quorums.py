"""Checks, from the records on the disks, that no two disjoint sets of replicas can both decide."""

from __future__ import annotations

from mapleline.balancer.control.state import initial_state

from .invariants import has_quorum


def check_quorums(world):
    """Try every set of replicas; raise AssertionError if two sets that can decide have no replica in common."""
    records = _records(world)
    known_states = _known_states(world)
    deciding_sets = []
    for member_mask in range(1, 1 << len(records)):
        if any(not member_mask & other ^ other for other in deciding_sets):
            continue  # a subset can decide
        selected = [record for index, record in enumerate(records) if member_mask >> index & 1]
        if _can_decide(world, selected, known_states):
            deciding_sets.append(member_mask)
    for index, member_mask in enumerate(deciding_sets):
        assert all(member_mask & other for other in deciding_sets[:index]), "two disjoint sets of replicas can decide"


def _records(world):
    """Return the record of each replica that may vote: from its disk, or from memory for a seed without a disk."""
    records = []
    for machine in world.machines.values():
        if machine.is_removed:
            continue
        if machine.disk is not None and machine.disk.record is not None:
            records.append(machine.disk.record)
        elif machine.node is not None and machine.node.acceptor is not None and machine.node.may_vote():
            records.append(machine.node.acceptor.record)
    return records


def _known_states(world):
    """Return the states that some node may propose from."""
    machines = [machine for machine in world.machines.values() if not machine.is_removed]
    states = {machine.node.state for machine in machines if machine.node is not None}
    known = [state for state in states if state is not None]
    if any(node.is_initial_start and node.state is None for node in world.running_nodes()):
        known.append(initial_state(world.seed_ips))
    return known


def _can_decide(world, records, known_states):
    """Return whether these replicas alone could get a change chosen for some proposer."""
    newest = max(records, key=lambda record: record.accepted_ballot)
    replica_ids = {(record.ip, record.disk_id) for record in records}
    for known in known_states:
        accepted = newest.accepted_state
        is_base_accepted = accepted is not None and accepted.number >= known.number
        base = accepted if is_base_accepted else known
        shows_known = base is not known or accepted is None and not known.number
        if shows_known and has_quorum(base, replica_ids) and (known.number or _can_bootstrap(world, records)):
            return True
    return False


def _can_bootstrap(world, records):
    """Return whether all of these take part in a bootstrap; a replica that knows a chosen state does not."""
    return all(record.chosen_state is None and _takes_part_in_bootstrap(world, record) for record in records)


def _takes_part_in_bootstrap(world, record):
    node = world.machines[record.ip].node
    return node is not None and node.acceptor is not None and node.may_vote() and node.may_bootstrap()
