"""Simulated operators of one site: they send configurations, rivals, repeated commands, evacuations and reads.

Rivals are different configurations with the same version.
"""

from __future__ import annotations

import json
from collections.abc import Callable

from ..balancer.configuration import parse_configuration
from .history import (
    NO_VERSION,
    READ_PATH,
    REPLACE_PATH,
    Acknowledged,
    Acknowledgement,
    Evacuation,
    History,
    OperatorCommand,
)
from .machine import Machine, configuration_digest
from .operator_client import CommandDelivery, OperatorClient
from .workload import (
    QUOTAS,
    InvalidVariant,
    Quota,
    all_api_keys,
    configuration,
    content_digest,
    invalid_configuration,
)
from .world import World

MAX_OPEN_COMMANDS = 8
"""`send_many` pauses while at least this many commands are in flight."""
CYCLE_LENGTH = 40
INVALID_TURN = 7
REPEAT_TURN = 19
"""Of every `CYCLE_LENGTH` commands of `send_many` one is invalid and one is a repetition, at these positions."""


def _ignore_response(_status: int, _body: bytes) -> None:
    """Do nothing: the client has recorded the response already."""


class SimulatedOperators:
    """The operators of a site; they share one sequence of configuration versions.

    Parameters `at` of the methods are the machine of the first attempt; None chooses one at random.
    """

    def __init__(self, world: World, history: History) -> None:
        """Start with the initial API keys and with version 0, which is never sent."""
        self._world = world
        self._history = history
        self._client = OperatorClient(world, history)
        self._serial = 0
        self._body_by_content: dict[str, bytes] = {}
        self._keys = all_api_keys()
        self._quotas = dict(QUOTAS)
        self._revoked_by_content: dict[str, set[str]] = {}
        self._acknowledgement_callbacks: list[Callable[[], None]] = []
        self.version = 0
        self.bodies: dict[int, list[bytes]] = {}
        """The valid bodies that were sent, by version."""
        self.content_by_configuration: dict[str, str] = {}
        """The digest of each body, by the digest of the configuration that it contains."""
        self.evacuated_zones: set[str] = set()
        self.last_acknowledger: Machine | None = None

    # -- calls ---------------------------------------------------------------------------------------------

    def read(self, machine: Machine | None = None) -> None:
        """Read the configuration at `machine`, or at a random one that operators know of."""
        machine = machine or self._world.rng.choice(self._world.known_machines)
        self._client.call(machine, "GET", READ_PATH, b"", None, _ignore_response)

    def on_next_acknowledgement(self, callback: Callable[[], None]) -> None:
        """Call `callback` once, at the moment of the next acknowledgement."""
        self._acknowledgement_callbacks.append(callback)

    def _send(
        self,
        command: OperatorCommand,
        body: bytes = b"",
        at: Machine | None = None,
        on_acknowledged: Callable[[], None] | None = None,
    ) -> OperatorCommand:
        """Send a command until its outcome is clear; the first attempt goes to `at`."""

        def handle_acknowledgement(machine: Machine) -> None:
            self.last_acknowledger = machine
            self._record_acknowledgement(command)
            if on_acknowledged is not None:
                on_acknowledged()

        self._history.commands.append(command)
        CommandDelivery(self._client, command, body, handle_acknowledgement).start(at)
        return command

    def _record_acknowledgement(self, command: OperatorCommand) -> None:
        now = self._world.now
        if command.path == REPLACE_PATH and command.is_valid:
            newest = self._history.newest_acknowledged_version()
            acknowledgement = Acknowledgement(now, Acknowledged.CONFIGURATION, command.version)
            self._history.acknowledgements.append(acknowledgement)
            if command.version > newest:
                for key in self._revoked_by_content[command.content]:
                    self._history.revoked.setdefault(key, now)
        callbacks, self._acknowledgement_callbacks = self._acknowledgement_callbacks, []
        for callback in callbacks:
            callback()

    # -- configurations ------------------------------------------------------------------------------------

    def _compose(self, version: int) -> bytes:
        """Return the body of a new configuration, which differs from all others."""
        self._serial += 1
        body = json.dumps(configuration(version, self._keys, self._serial, self._quotas)).encode()
        content = content_digest(body)
        self._body_by_content[content] = body
        self.content_by_configuration[configuration_digest(parse_configuration(body))] = content
        kept = {key for keys in self._keys.values() for key in keys}
        revoked = {key for keys in all_api_keys().values() for key in keys} - kept
        self._revoked_by_content[content] = revoked
        self.bodies.setdefault(version, []).append(body)
        for key in revoked:
            self._history.withdrawn.setdefault(key, self._world.now)
        return body

    def _send_configuration(
        self, version: int, body: bytes, at: Machine | None, is_valid: bool = True
    ) -> OperatorCommand:
        command = OperatorCommand(REPLACE_PATH, version, content_digest(body), self._world.now, is_valid)
        return self._send(command, body, at)

    def _advance_version(self) -> None:
        self.version += self._world.rng.randrange(1, 4)

    def replace_configuration(self, revoke: str | None = None, at: Machine | None = None) -> OperatorCommand:
        """Send a new version; `revoke` names a tenant whose first API key is revoked, unless it is the last one."""
        self._advance_version()
        if revoke is not None and len(self._keys[revoke]) > 1:
            self._keys[revoke].pop(0)
        body = self._compose(self.version)
        return self._send_configuration(self.version, body, at)

    def change_quotas(self, quotas: dict[str, Quota], at: Machine | None = None) -> OperatorCommand:
        """Send a new version with other quotas for these tenants; unknown tenants are added.

        The invariants allow a tenant the highest rate and burst that it ever had.
        """
        self._quotas.update(quotas)
        limits = self._history.limits
        for tenant, quota in quotas.items():
            rate_s, burst = limits.get(tenant, (0.0, 0.0))
            limits[tenant] = (max(rate_s, quota.rate_s), max(burst, quota.burst))
        return self.replace_configuration(at=at)

    def remove_tenants(self, tenants: set[str], at: Machine | None = None) -> OperatorCommand:
        """Send a new version without these tenants."""
        for tenant in tenants:
            del self._quotas[tenant]
        return self.replace_configuration(at=at)

    def replace_at_two_machines(self) -> None:
        """Send two new versions at the same moment, through two random machines."""
        running = [machine for machine in self._world.machines.values() if machine.is_running]
        for machine in self._world.rng.sample(running, min(2, len(running))):
            self.replace_configuration(at=machine)

    def send_rivals(self, machines: list[Machine]) -> list[OperatorCommand]:
        """Send rivals: different contents under one version at the same moment, one to each of the machines."""
        self._advance_version()
        bodies = [self._compose(self.version) for _ in machines]
        return [
            self._send_configuration(self.version, body, machine)
            for body, machine in zip(bodies, machines, strict=True)
        ]

    def repeat(self, command: OperatorCommand, at: Machine | None = None) -> OperatorCommand:
        """Send a command once more, unchanged."""
        repeated = OperatorCommand(command.path, command.version, command.content, self._world.now, command.is_valid)
        return self._send(repeated, self._body_by_content.get(command.content, b""), at)

    def _sent_configurations(self, is_acknowledged: bool) -> list[OperatorCommand]:
        """Return the valid configurations that were acknowledged, or whose outcome is unclear, by ascending version."""
        commands = [
            command
            for command in self._history.commands
            if command.path == REPLACE_PATH
            and command.is_valid
            and not command.rejected_status
            and (command.acknowledged_at is not None) == is_acknowledged
        ]
        return sorted(commands, key=lambda command: command.version)

    def repeat_newest(self, at: Machine | None = None) -> None:
        """Repeat the acknowledged configuration of the highest version."""
        for command in self._sent_configurations(is_acknowledged=True)[-1:]:
            self.repeat(command, at)

    def repeat_older(self, at: Machine | None = None) -> None:
        """Repeat a random acknowledged configuration other than the newest."""
        older = self._sent_configurations(is_acknowledged=True)[:-1]
        if older:
            self.repeat(self._world.rng.choice(older), at)

    def repeat_unclear(self) -> None:
        """Repeat the newest configuration whose outcome is unclear."""
        for command in self._sent_configurations(is_acknowledged=False)[-1:]:
            self.repeat(command)

    def send_invalid(self, at: Machine | None = None, reuse_version: bool | None = None) -> OperatorCommand:
        """Send an invalid configuration; `reuse_version` lets a later one use its version, at random if None."""
        rng = self._world.rng
        self.version += 1
        body = invalid_configuration(self.version, self._keys, InvalidVariant(rng.randrange(len(InvalidVariant))))
        command = self._send_configuration(self.version, body, at, is_valid=False)
        if rng.random() < 0.5 if reuse_version is None else reuse_version:
            self.version -= 1  # a rejected command leaves its version free
        return command

    def send_many(self, count: int, period_s: float) -> None:
        """Send `count` commands, one every `period_s`; a few are invalid, and a few are repetitions."""
        if not count:
            return
        open_commands = sum(command.closed_at is None for command in self._history.commands)
        if open_commands >= MAX_OPEN_COMMANDS:
            self._world.after(period_s, self.send_many, count, period_s)
            return
        self._world.after(period_s, self.send_many, count - 1, period_s)
        if count % CYCLE_LENGTH == INVALID_TURN:
            self.send_invalid()
        elif count % CYCLE_LENGTH == REPEAT_TURN:
            self.repeat_newest()
        else:
            self.replace_configuration()

    def send_burst(self, at: Machine | None = None) -> None:
        """Make about ten calls at once, all through machine `at` or, if that is None, through random machines."""
        zones = sorted(self._world.zones)
        self.replace_configuration(at=at)
        self.send_rivals([at or self._world.rng.choice(self._world.known_machines) for _ in range(2)])
        self.repeat_newest(at)
        self.repeat_older(at)
        self.evacuate(zones[0], 3.0, at)
        self.evacuate(zones[-1], 2.0, at)
        self.send_invalid(at)
        for _ in range(3):
            self.read(at)

    # -- other commands ------------------------------------------------------------------------------------

    def send_command(
        self, path: str, at: Machine | None = None, on_acknowledged: Callable[[], None] | None = None
    ) -> OperatorCommand:
        """Send a command without a body."""
        return self._send(OperatorCommand(path, NO_VERSION, "", self._world.now), b"", at, on_acknowledged)

    def remove_replica(self, machine: Machine) -> None:
        """Send the command that removes a control replica permanently."""

        def record() -> None:
            acknowledgement = Acknowledgement(self._world.now, Acknowledged.REPLICA_REMOVAL, 0)
            self._history.acknowledgements.append(acknowledgement)

        self.send_command(f"/core/{machine.address}/forget", on_acknowledged=record)

    def evacuate(self, zone: str, for_s: float, at: Machine | None = None) -> None:
        """Evacuate a zone for `for_s`, unless it is evacuated already."""
        if zone in self.evacuated_zones:
            return
        self.evacuated_zones.add(zone)
        evacuation = Evacuation(zone)
        self._history.evacuations.append(evacuation)

        def record_acknowledgement() -> None:
            evacuation.acknowledged_at = self._world.now

        def withdraw() -> None:
            evacuation.withdrawn_at = self._world.now
            self._finish_evacuation(zone)

        self.send_command(f"/evacuations/{zone}/begin", at, record_acknowledgement)
        self._world.after(for_s, withdraw)

    def race_evacuation(self, zone: str) -> None:
        """Begin and end an evacuation at the same moment, at random machines; end it again when both have finished."""
        if zone in self.evacuated_zones:
            return
        self.evacuated_zones.add(zone)
        self.send_command(f"/evacuations/{zone}/begin")
        self.send_command(f"/evacuations/{zone}/finish")
        self._world.after(2 * self._history.bounds.ack_timeout, self._finish_evacuation, zone)

    def _finish_evacuation(self, zone: str) -> None:
        self.evacuated_zones.discard(zone)
        self.send_command(f"/evacuations/{zone}/finish")
