"""A builder of synthetic histories, and assertions on the rules that they break."""

import unittest

from mapleline.balancer.settings import Bounds
from mapleline.simulation.history import (
    REPLACE_PATH,
    Acknowledged,
    Acknowledgement,
    ClientAttempt,
    ConfigurationSample,
    ContactSample,
    DeliveredRequest,
    History,
    OperatorCommand,
    OperatorResponse,
    ReplicaSample,
)
from mapleline.simulation.invariants import check
from mapleline.simulation.records import MachineEvent

END_S = 60.0
SAMPLES_PER_S = 10
MACHINES = {"m1", "m2", "m3", "m4", "m5"}
REPLICAS = {"m1", "m2", "m3", "m4"}


class HistoryBuilder:
    """Builds a history of 60 s with machines m1 to m5, of which m1 to m4 are control replicas."""

    def __init__(self, isolated=(), since=0.0, until=END_S, connected=None, voters=None):
        """Add samples of contacts and replicas for the whole history.

        Args:
            isolated: Machines without contact to a majority from `since` to `until`, in seconds.
            since: Begin of the isolation.
            until: End of the isolation.
            connected: The connected replicas; None for all.
            voters: The voters; None for the connected replicas.
        """
        self.history = History(Bounds(), {"z1": "r", "z2": "r2"}, ended_at=END_S)
        self.history.services["idempotent"] = {"s1"}
        self.history.services["upload"] = {"s1"}
        connected = REPLICAS if connected is None else connected
        for index in range(int(END_S * SAMPLES_PER_S)):
            at = index / SAMPLES_PER_S
            without_contact = set(isolated) if since <= at < until else set()
            self.history.contacts.append(ContactSample(at, MACHINES - without_contact))
            sample = ReplicaSample(at, connected - without_contact, connected if voters is None else voters)
            self.history.replicas.append(sample)

    def command(self, version, content, at, took_s=0.1, status=200, path=REPLACE_PATH, is_valid=True, machine="m1"):
        """Add a command with a single response; status None means that there is no response."""
        command = OperatorCommand(path, version, content, at, is_valid)
        end = at + took_s
        if status is not None:
            self.history.responses.append(OperatorResponse(command, machine, at, end, status))
        command.closed_at = end
        if status == 200:
            command.acknowledged_at = end
            if path == REPLACE_PATH and is_valid:
                acknowledgement = Acknowledgement(end, Acknowledged.CONFIGURATION, version)
                self.history.acknowledgements.append(acknowledgement)
        elif status is not None and status < 500:
            command.rejected_status = status
        self.history.commands.append(command)
        return self

    def read(self, version, content, at, status=200, machine="m2"):
        """Add a read that took 0.1 s."""
        self.history.responses.append(OperatorResponse(None, machine, at, at + 0.1, status, version, content))
        return self

    def active(self, version, content, at, machine="m3", incarnation=1):
        """Add a sample of the configuration in force."""
        self.history.configurations.append(ConfigurationSample(at, machine, incarnation, version, content))
        return self

    def event(self, at, kind, name="m4"):
        """Add an event of a replica."""
        self.history.replica_events.append(MachineEvent(at, name, kind))
        return self

    def request(self, id, at, kind="upload", tenant="t1", status=200, stamp="i1"):
        """Add an attempt of a client that ended 0.1 s after it was sent."""
        attempt = ClientAttempt(id, kind, tenant, f"{tenant}-key", "z1", at, status, at + 0.1, stamp)
        self.history.attempts[id] = attempt
        return self

    def arrival(self, id, at, server="i1", zone="z1", service="s1", took_s=0.01):
        """Add an arrival at a server."""
        self.history.arrivals.append(self._delivered(id, at, "t1", server, zone, service, took_s))
        return self

    def run(self, id, at, tenant="t1", server="i1", service="s1"):
        """Add the execution of a request by a server."""
        self.history.runs.append(self._delivered(id, at, tenant, server, "z1", service, 0.01))
        return self

    def _delivered(self, id, at, tenant, server, zone, service, took_s):
        return DeliveredRequest(at, at + took_s, id, tenant, "m5", server, service, zone)


class InvariantTestCase(unittest.TestCase):
    def rules_broken(self, builder):
        return sorted({violation.rule for violation in check(builder.history)})

    def assert_holds(self, *builders):
        for builder in builders:
            self.assertEqual(check(builder.history), [])

    def assert_breaks(self, rule, *builders):
        for builder in builders:
            self.assertEqual(self.rules_broken(builder), [rule])
