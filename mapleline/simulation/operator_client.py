"""The operators' client of the control API: single calls with a time-out, and commands with retries.

An operator knows the machines from a list that lags behind (`World.known_machines`).  Each call goes to one of them; a
command is repeated unchanged at another machine until its outcome is clear.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from functools import partial

from .client_connection import ClientRequest, IngressListener
from .history import (
    CLIENT_ERRORS,
    FINAL_CLIENT_ERRORS,
    NO_VERSION,
    OPERATOR_TIMEOUT_S,
    REPLACE_PATH,
    STATUS_OK,
    UNCLEAR_CLIENT_ERRORS,
    History,
    OperatorCommand,
    OperatorResponse,
)
from .machine import Machine
from .workload import content_digest
from .world import World

FIRST_BACKOFF_S = 0.2
MAX_BACKOFF_S = 1.0
CONFIGURATION_RETRY_S = 30.0
"""Time for which a configuration is retried; other commands are retried for `ack_timeout`."""
MAX_CLIENT_ERRORS = 3
"""Number of clear 4xx responses after which an operator gives up a command, even if none of them is final."""
ROUNDING_S = 0.001
"""Tolerance for rounding when the time for retries is compared."""

OnResponse = Callable[[int, bytes], None]


class OperatorClient:
    """Makes single calls to the control API and records the responses."""

    def __init__(self, world: World, history: History) -> None:
        """Call machines of `world`, and record the responses in `history`."""
        self.world = world
        self.history = history

    def call(
        self,
        machine: Machine,
        method: str,
        path: str,
        body: bytes,
        command: OperatorCommand | None,
        on_response: OnResponse,
    ) -> None:
        """Call a machine; `on_response` receives status and body, or status 0 after `OPERATOR_TIMEOUT_S`."""
        world = self.world
        asked_at = world.now
        is_closed = False

        def handle_response(status: int, response_body: bytes, _: bytes) -> None:
            nonlocal is_closed
            if is_closed:
                return
            is_closed = True
            if status:
                self._record(command, machine, asked_at, status, response_body)
            on_response(status, response_body)

        request = ClientRequest(method, path, body=body, listener=IngressListener.CONTROL)
        connection = world.send_request(machine, request, handle_response)

        def time_out() -> None:
            world.disconnect(connection)
            handle_response(0, b"", b"")

        world.after(OPERATOR_TIMEOUT_S, time_out)

    def _record(
        self, command: OperatorCommand | None, machine: Machine, asked_at: float, status: int, body: bytes
    ) -> None:
        response = OperatorResponse(command, machine.name, asked_at, self.world.now, status)
        if status == STATUS_OK and (command is None or command.path == REPLACE_PATH):
            response.version, response.content = _named_configuration(body)
        self.history.responses.append(response)


def _named_configuration(body: bytes) -> tuple[int, str]:
    """Return the version that a response states, and the digest of its body."""
    try:
        version = json.loads(body).get("config_version", NO_VERSION)
    except ValueError:
        return NO_VERSION, "no configuration"
    return version, content_digest(body)


class CommandDelivery:
    """Sends one command to different machines in turn until the response is clear or the time for retries is over."""

    def __init__(
        self,
        client: OperatorClient,
        command: OperatorCommand,
        body: bytes,
        on_acknowledged: Callable[[Machine], None],
    ) -> None:
        """Prepare the delivery; `on_acknowledged` receives the machine that acknowledged the command."""
        self._client = client
        self._world = client.world
        self._command = command
        self._body = body
        self._on_acknowledged = on_acknowledged
        self._tried: list[Machine] = []
        self._client_errors = 0
        is_configuration = command.path == REPLACE_PATH
        self._limit_s = CONFIGURATION_RETRY_S if is_configuration else client.history.bounds.ack_timeout

    def start(self, first: Machine | None) -> None:
        """Make the first attempt, at machine `first` or, if that is None, at a random one."""
        self._attempt(FIRST_BACKOFF_S, first)

    def _attempt(self, backoff_s: float, machine: Machine | None = None) -> None:
        command = self._command
        now = self._world.now
        if command.closed_at is not None:
            return
        if now - command.sent_at >= self._limit_s - ROUNDING_S:
            command.closed_at = now
            return
        if machine is None:
            machine = self._choose_machine()
        self._tried.append(machine)
        if len(self._tried) >= len(self._world.known_machines):
            self._tried.clear()
        on_response = partial(self._handle_response, backoff_s, machine)
        self._client.call(machine, "POST", command.path, self._body, command, on_response)

    def _choose_machine(self) -> Machine:
        known = self._world.known_machines
        untried = [machine for machine in known if machine not in self._tried]
        return self._world.rng.choice(untried or known)

    def _handle_response(self, backoff_s: float, machine: Machine, status: int, _: bytes) -> None:
        if self._command.closed_at is not None:
            return
        if status == STATUS_OK:
            self._command.acknowledged_at = self._command.closed_at = self._world.now
            self._on_acknowledged(machine)
        elif status in CLIENT_ERRORS and status not in UNCLEAR_CLIENT_ERRORS:
            self._handle_client_error(backoff_s, status)
        else:
            left_s = self._command.sent_at + self._limit_s - self._world.now
            next_backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)
            self._world.after(min(backoff_s, max(left_s, 0.0)), self._attempt, next_backoff_s)

    def _handle_client_error(self, backoff_s: float, status: int) -> None:
        self._client_errors += 1
        if status in FINAL_CLIENT_ERRORS or self._client_errors >= MAX_CLIENT_ERRORS:
            self._command.rejected_status = status
            self._command.closed_at = self._world.now
        else:
            self._world.after(backoff_s, self._attempt, backoff_s)
