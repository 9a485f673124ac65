"""The invariant on control replicas that are restarted or new."""

from __future__ import annotations

from collections.abc import Iterator

from ..history import NO_VERSION, History
from ..records import MachineEvent, MachineEventKind
from .rules import Rule, Violation

LONGEST_START_S = 0.7
"""Upper bound on the time that the start of a machine takes."""


def check_catch_up(history: History) -> Iterator[Violation]:
    """WHOLE: a replica that was started is a voter and serves by the newest configuration within `catch_up`.

    The rule applies if the replica had no other event and was connected throughout.  Twice the time is allowed if more
    than half of the replicas were started at about the same time.
    """
    for event in history.replica_events:
        if event.kind is not MachineEventKind.START:
            continue
        due_at = event.at + _allowed_s(history, event)
        if due_at <= history.ended_at and not _is_disturbed(history, event, due_at):
            yield from _check_replica(history, event, due_at)


def _allowed_s(history: History, start: MachineEvent) -> float:
    """Return the time that the replica may take to catch up, in seconds."""
    catch_up_s = history.bounds.catch_up
    started_machines = {
        event.machine
        for event in history.replica_events
        if event.kind is MachineEventKind.START and abs(event.at - start.at) <= catch_up_s
    }
    samples = (sample for sample in reversed(history.replicas) if sample.at <= start.at + catch_up_s)
    sample = next(samples, None)
    connected = sample.connected if sample is not None else set()
    is_majority = 2 * len(started_machines) > len(connected)
    return catch_up_s * (2 if is_majority else 1)


def _is_disturbed(history: History, start: MachineEvent, due_at: float) -> bool:
    """Return whether the replica had another event after its start."""
    return any(event.machine == start.machine and start.at < event.at <= due_at for event in history.replica_events)


def _check_replica(history: History, start: MachineEvent, due_at: float) -> Iterator[Violation]:
    """Check WHOLE for one start of a replica."""
    machine = start.machine
    samples = [sample for sample in history.replicas if start.at + LONGEST_START_S <= sample.at <= due_at]
    if not samples or not all(machine in sample.connected for sample in samples):
        return
    is_voter = machine in samples[-1].voters
    due_version = max(
        (ack.version for ack in history.acknowledged_configurations() if ack.at < start.at), default=NO_VERSION
    )
    in_force = max(
        (
            sample.version
            for sample in history.configurations
            if sample.machine == machine and start.at < sample.at <= due_at
        ),
        default=NO_VERSION,
    )
    if not is_voter or in_force < due_version:
        voter_state = "counts" if is_voter else "does not count"
        detail = f"{machine}, started at {start.at:.2f}, {voter_state}, and serves by {in_force}; {due_version} is due"
        yield Violation(Rule.CATCH_UP, due_at, detail)
