"""The operator's calls: one dispatch on method and path segments.

Nothing is said for the system without fresh contact with a majority: 200 and 409 come out of a ballot, what is read is
known to be the newest, and all else is 503 (docs/design/control.md).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred

from ...http1.messages import Request
from ..configuration import ConfigurationError, parse_configuration
from ..logs import say
from ..membership.member import MemberFlags
from ..proxy.listener import ClientConnection
from ..transport.addresses import ip_from_int, ip_to_int
from .audit_log import AuditLog
from .commands import Command, CommandResult, CommandStatus, ReplaceConfiguration, SetEvacuation
from .control_plane import ControlPlane
from .state import content_digest

JSON = b"Content-Type: application/json\r\n"
HUNG_UP_S = 0.01  # a turn of the reactor: then it knows of an end that came behind a request
ORDER_SHARE = 0.75  # of `ack_timeout`: then the operator had better ask another


class ControlApi:
    """Answers for one ingress; `status()` tells what else people may want to know of it."""

    def __init__(self, control_plane: ControlPlane, status: Callable[[], dict[str, Any]]) -> None:
        self.control_plane, self.status, self.settings = control_plane, status, control_plane.settings

    def handle_request(self, client_conn: ClientConnection, request: Request) -> None:
        path = request.target.partition(b"?")[0].decode("latin-1")
        match request.method.decode(), path.strip("/").split("/"):
            case "POST", ["config", "replace"]:
                self.replace(client_conn, request.body)
            case "GET", ["config", "read"]:
                self.with_read_lease(client_conn, self.read)
            case "GET", ["config", "history"]:
                self.with_read_lease(
                    client_conn, lambda client_conn: self.history(client_conn, path, lambda kept: kept.history())
                )
            case "GET", ["config", "history", version] if version.isdigit():
                self.with_read_lease(
                    client_conn,
                    lambda client_conn: self.history(client_conn, path, lambda kept: kept.configuration(int(version))),
                )
            case "POST", ["evacuations", zone, "begin" | "finish" as order]:
                if zone not in self.settings.zones:
                    return self.with_read_lease(
                        client_conn, lambda client_conn: client_conn.reply(404, b"no such zone: " + zone.encode())
                    )
                self.with_read_lease(client_conn, lambda client_conn: self.evacuate(client_conn, zone, order))
            case "POST", ["core", address, "forget"]:
                self.forget(client_conn, address)
            case "GET", ["status"]:
                self.reply_json(client_conn, self.control_plane.status() | self.status())
            case _:
                client_conn.reply(404, b"no such call")

    def reply_json(self, client_conn: ClientConnection, said: Any) -> None:
        import msgspec

        client_conn.reply(200, msgspec.json.encode(said), JSON)

    def with_read_lease(self, client_conn: ClientConnection, then: Callable[[ClientConnection], None]) -> None:
        """Only with contact that is younger than the call."""
        self.control_plane.acquire_read_lease().addCallback(
            lambda known: then(client_conn) if known else self.unsure(client_conn)
        )

    def unsure(self, client_conn: ClientConnection, text: str = "") -> None:
        client_conn.reply(
            CommandStatus.UNCERTAIN, text.encode() or b"no majority of the core can be reached", b"Retry-After: 0.3\r\n"
        )

    def submit(self, client_conn: ClientConnection, order: Command, body: bytes | None, key: str, version: Any) -> None:
        """An order that is put to the core, unless its caller has hung up: a process that was frozen finds orders in
        its sockets that were given to others, and overtaken, long ago.
        """

        def put() -> None:
            if client_conn.connected:
                self._reply_when_decided(
                    client_conn, self.control_plane.submit_command(order, body, self._command_timeout_s), key, version
                )
            else:
                say("archive", "order dropped: its caller has hung up", key=key, version=version)

        self.control_plane.reactor.callLater(HUNG_UP_S, put)

    @property
    def _command_timeout_s(self) -> float:
        return ORDER_SHARE * self.settings.protocol_bounds.ack_timeout

    def _reply_when_decided(self, client_conn: ClientConnection, done: Deferred, key: str, version: Any) -> None:
        control_plane = self.control_plane
        began = control_plane.reactor.seconds()

        def answered(outcome: CommandResult) -> None:
            took = round(control_plane.reactor.seconds() - began, 3)
            text = {CommandStatus.DONE: "acknowledged", CommandStatus.CONFLICT: "refused"}.get(
                outcome.status, "not acknowledged"
            )
            say("archive", text, key=key, version=version, took=took)
            if control_plane.audit_log is not None:
                kept = outcome.status == CommandStatus.DONE
                number = version if isinstance(version, int) else 0
                control_plane.recall(
                    control_plane.audit_log.record_command,
                    control_plane.environment.unix_time(),
                    key,
                    number,
                    kept,
                    took,
                )
            if outcome.status == CommandStatus.DONE:
                client_conn.reply(CommandStatus.DONE, b"{}", JSON)
            elif outcome.status == CommandStatus.UNCERTAIN:
                self.unsure(client_conn, outcome.text)
            else:
                client_conn.reply(outcome.status, outcome.text.encode())

        done.addCallback(answered)

    def replace(self, client_conn: ClientConnection, body: bytes) -> None:
        """A whole configuration."""
        try:
            config = parse_configuration(body)
        except ConfigurationError as err:
            return client_conn.reply(400, str(err).encode())
        version = config.config_version
        self.submit(client_conn, ReplaceConfiguration(version, content_digest(body)), body, "config", version)

    def evacuate(self, client_conn: ClientConnection, zone: str, order: str) -> None:
        known = self.control_plane.committed.number
        self.submit(client_conn, SetEvacuation(zone, order == "begin", known), None, f"evacuation/{zone}", order)

    def read(self, client_conn: ClientConnection) -> None:
        body = self.control_plane.committed.body
        if body is None:
            return client_conn.reply(404, b"no configuration yet")
        client_conn.reply(200, body, JSON)

    def forget(self, client_conn: ClientConnection, address: str) -> None:
        """A machine of the core that is gone for good votes no longer."""
        try:
            ip = ip_to_int(address)
        except OSError:
            return client_conn.reply(400, b"no address: " + address.encode())

        def known(client_conn: ClientConnection) -> None:
            self._reply_when_decided(
                client_conn, self.control_plane.remove_replica(ip, self._command_timeout_s), f"core/{address}", "forget"
            )

        self.with_read_lease(client_conn, known)

    def history(self, client_conn: ClientConnection, path: str, read: Callable[[AuditLog], Any]) -> None:
        """What this machine's history says; one without a disk names one that has it."""
        control_plane = self.control_plane
        if control_plane.audit_log is None:
            others = [
                m.ip
                for m in control_plane.membership.alive(control_plane.reactor.seconds(), MemberFlags.CAN_PROPOSE)
                if m.ip != control_plane.me
            ]
            if not others:
                return self.unsure(client_conn)
            to = f"http://{ip_from_int(control_plane.rng.choice(others))}:{self.settings.listen_addresses.control_addr[1]}{path}"
            return client_conn.reply(307, b"", b"Location: %b\r\n" % to.encode())

        def found(answer: Any) -> None:
            if answer is None:
                client_conn.reply(404, b"not in this history (or it can't be read: see the log)")
            elif isinstance(answer, bytes):
                client_conn.reply(200, answer, JSON)
            else:
                self.reply_json(client_conn, answer)

        control_plane.recall(read, control_plane.audit_log).addCallback(found)
