"""The operators' HTTP calls: one dispatch on method and path segments.

No call answers for the system without a fresh read lease: 200 and 409 are results of a ballot, a read returns the
newest state, and everything else is answered with 503 (docs/design/control.md).
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from ...http1 import Request
from ..configuration import ConfigurationError, parse_configuration
from ..membership.member import MemberFlags
from ..transport.addresses import ip_from_int, ip_to_int
from .audit_log import CONFIG_KEY
from .commands import Command, CommandResult, CommandStatus, ReplaceConfiguration, SetEvacuation
from .state import content_digest

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred

    from ..proxy.client_connection import ClientConnection
    from .audit_log import AuditLog
    from .control_plane import ControlPlane

logger = logging.getLogger(__name__)

JSON_HEADER = b"Content-Type: application/json\r\n"
RETRY_HEADER = b"Retry-After: 0.3\r\n"
DISCONNECT_GRACE_S = 0.01  # one reactor tick, in which it notices a connection close that follows the request
COMMAND_TIMEOUT_SHARE = 0.75  # fraction of `ack_timeout`, which leaves the operator time to ask another node
OUTCOMES: dict[int, str] = {CommandStatus.DONE: "acknowledged", CommandStatus.CONFLICT: "refused"}


@dataclass(frozen=True, slots=True)
class CommandLabel:
    """Identifies a command in the log and in the audit log."""

    key: str
    version: int | str  #: the version of a configuration; for other commands, the action


@dataclass(frozen=True, slots=True)
class OperatorCommand:
    """A command from an operator's request, with the body of its configuration if it has one."""

    command: Command
    body: bytes | None
    label: CommandLabel


class ControlApi:
    """Handles the operators' requests at one node."""

    def __init__(self, control_plane: ControlPlane, node_status: Callable[[], dict[str, object]]) -> None:
        """Create the API; `node_status` returns the fields that `GET /status` shows beside the control state."""
        self._control_plane = control_plane
        self._context = control_plane.context
        self._node_status = node_status

    def handle_request(self, client_conn: ClientConnection, request: Request) -> None:
        """Answer one request, either at once or after the replicas have decided."""
        path = request.target.partition(b"?")[0].decode("latin-1")
        match request.method.decode(), path.strip("/").split("/"):
            case "POST", ["config", "replace"]:
                self._replace_configuration(client_conn, request.body)
            case "GET", ["config", "read"]:
                self.with_read_lease(client_conn, partial(self._read_configuration, client_conn))
            case "GET", ["config", "history"]:
                self.with_read_lease(client_conn, partial(self._read_audit_log, client_conn, path, _read_history))
            case "GET", ["config", "history", version] if version.isdigit():
                query = partial(_read_body, version)
                self.with_read_lease(client_conn, partial(self._read_audit_log, client_conn, path, query))
            case "POST", ["evacuations", zone, "begin" | "finish" as action]:
                self.with_read_lease(client_conn, partial(self._set_evacuation, client_conn, zone, action))
            case "POST", ["core", address, "forget"]:
                self._remove_replica(client_conn, address)
            case "GET", ["status"]:
                self._reply_json(client_conn, self._control_plane.status() | self._node_status())
            case _:
                client_conn.reply(404, b"no such call")

    # -- common parts of the calls -----------------------------------------------------------------------------

    def with_read_lease(self, client_conn: ClientConnection, handle: Callable[[], None]) -> None:
        """Call `handle` once the read lease is newer than the request; reply 503 if it cannot be acquired."""

        def proceed(is_acquired: bool) -> None:
            if is_acquired:
                handle()
            else:
                self._reply_uncertain(client_conn)

        self._control_plane.acquire_read_lease().addCallback(proceed)

    def submit(self, client_conn: ClientConnection, request: OperatorCommand) -> None:
        """Submit a command, unless its caller closes the connection within `DISCONNECT_GRACE_S`.

        A process that was suspended finds old requests in its sockets, which callers have since sent to other nodes and
        which later commands may have superseded.
        """
        self._context.reactor.callLater(DISCONNECT_GRACE_S, self._submit_if_connected, client_conn, request)

    def _submit_if_connected(self, client_conn: ClientConnection, request: OperatorCommand) -> None:
        if not client_conn.connected:
            label = request.label
            logger.info("command dropped: its caller has hung up", extra={"key": label.key, "version": label.version})
            return
        decided = self._control_plane.submit_command(request.command, request.body, self.command_timeout_s)
        self.reply_when_decided(client_conn, decided, request.label)

    @property
    def command_timeout_s(self) -> float:
        """Seconds after which an undecided command is answered with 503."""
        return COMMAND_TIMEOUT_SHARE * self._context.settings.protocol_bounds.ack_timeout

    def reply_when_decided(
        self, client_conn: ClientConnection, decided: Deferred[CommandResult], label: CommandLabel
    ) -> None:
        """Reply with a command's result once it is decided, and record the result."""
        submitted_at = self._context.now()

        def reply(result: CommandResult) -> None:
            took_s = round(self._context.now() - submitted_at, 3)
            self._record(label, result, took_s)
            self._reply_result(client_conn, result)

        decided.addCallback(reply)

    def _record(self, label: CommandLabel, result: CommandResult, took_s: float) -> None:
        outcome = OUTCOMES.get(result.status, "not acknowledged")
        logger.info("command %s", outcome, extra={"key": label.key, "version": label.version, "took_s": took_s})
        version = label.version if isinstance(label.version, int) else 0
        self._control_plane.audit.record_command(label.key, version, result.status == CommandStatus.DONE, took_s)

    def _reply_result(self, client_conn: ClientConnection, result: CommandResult) -> None:
        if result.status == CommandStatus.DONE:
            client_conn.reply(CommandStatus.DONE, b"{}", JSON_HEADER)
        elif result.status == CommandStatus.UNCERTAIN:
            self._reply_uncertain(client_conn, result.text)
        else:
            client_conn.reply(result.status, result.text.encode())

    def _reply_uncertain(self, client_conn: ClientConnection, text: str = "") -> None:
        body = text.encode() or b"no majority of the core can be reached"
        client_conn.reply(CommandStatus.UNCERTAIN, body, RETRY_HEADER)

    def _reply_json(self, client_conn: ClientConnection, answer: object) -> None:
        import msgspec

        client_conn.reply(200, msgspec.json.encode(answer), JSON_HEADER)

    # -- the calls ---------------------------------------------------------------------------------------------

    def _replace_configuration(self, client_conn: ClientConnection, body: bytes) -> None:
        try:
            config = parse_configuration(body)
        except ConfigurationError as err:
            client_conn.reply(400, str(err).encode())
            return
        version = config.config_version
        command = ReplaceConfiguration(version, content_digest(body))
        self.submit(client_conn, OperatorCommand(command, body, CommandLabel(CONFIG_KEY, version)))

    def _read_configuration(self, client_conn: ClientConnection) -> None:
        body = self._control_plane.committed.body
        if body is None:
            client_conn.reply(404, b"no configuration yet")
        else:
            client_conn.reply(200, body, JSON_HEADER)

    def _set_evacuation(self, client_conn: ClientConnection, zone: str, action: str) -> None:
        if zone not in self._context.settings.zones:
            client_conn.reply(404, b"no such zone: " + zone.encode())
            return
        command = SetEvacuation(zone, action == "begin", self._control_plane.committed.number)
        self.submit(client_conn, OperatorCommand(command, None, CommandLabel(f"evacuation/{zone}", action)))

    def _remove_replica(self, client_conn: ClientConnection, address: str) -> None:
        try:
            ip = ip_to_int(address)
        except OSError:
            client_conn.reply(400, b"no address: " + address.encode())
            return

        def remove() -> None:
            decided = self._control_plane.remove_replica(ip, self.command_timeout_s)
            self.reply_when_decided(client_conn, decided, CommandLabel(f"core/{address}", "forget"))

        self.with_read_lease(client_conn, remove)

    def _read_audit_log(self, client_conn: ClientConnection, path: str, query: Callable[[AuditLog], object]) -> None:
        """Reply from this node's audit log; a node without a disk redirects the caller to a node with one."""
        if not self._control_plane.audit.has_audit_log:
            self._redirect_to_replica(client_conn, path)
            return

        def reply(answer: object) -> None:
            if answer is None:
                client_conn.reply(404, b"not in this history (or it can't be read: see the log)")
            elif isinstance(answer, bytes):
                client_conn.reply(200, answer, JSON_HEADER)
            else:
                self._reply_json(client_conn, answer)

        self._control_plane.audit.read(query).addCallback(reply)

    def _redirect_to_replica(self, client_conn: ClientConnection, path: str) -> None:
        context = self._context
        replicas = [
            member.ip
            for member in context.membership.live_members(context.now(), MemberFlags.CAN_PROPOSE)
            if member.ip != context.local_ip
        ]
        control_addr = context.settings.listen_addresses.control_addr
        if not replicas or control_addr is None:
            self._reply_uncertain(client_conn)
            return
        port = control_addr[1]
        url = f"http://{ip_from_int(context.rng.choice(replicas))}:{port}{path}"
        client_conn.reply(307, b"", b"Location: %b\r\n" % url.encode())


def _read_history(audit_log: AuditLog) -> object:
    return audit_log.history()


def _read_body(version: str, audit_log: AuditLog) -> object:
    return audit_log.configuration(int(version))
