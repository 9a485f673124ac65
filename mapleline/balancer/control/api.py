"""The operator's calls: one dispatch on method and path segments.

Nothing is said for the system without fresh contact with a majority: 200 and 409 come out of a ballot, what is read is
known to be the newest, and all else is 503 (docs/design/control.md).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred

from ...http1.messages import Request
from ..chronicle import Chronicle
from ..config import ConfigFault
from ..config import read as read_config
from ..courier import host, number
from ..doors import Door
from ..log import say
from ..register import FORMED
from .driver import Archive
from .orders import CONFLICT, DONE, UNSURE, Evacuate, Order, Outcome, Replace
from .state import digest

JSON = b"Content-Type: application/json\r\n"
HUNG_UP_S = 0.01  # a turn of the reactor: then it knows of an end that came behind a request
ORDER_SHARE = 0.75  # of `ack_timeout`: then the operator had better ask another


class Operator:
    """Answers for one ingress; `status()` tells what else people may want to know of it."""

    def __init__(self, archive: Archive, status: Callable[[], dict[str, Any]]) -> None:
        self.archive, self.status, self.boot = archive, status, archive.boot

    def take(self, door: Door, request: Request) -> None:
        path = request.target.partition(b"?")[0].decode("latin-1")
        match request.method.decode(), path.strip("/").split("/"):
            case "POST", ["config", "replace"]:
                self.replace(door, request.body)
            case "GET", ["config", "read"]:
                self.in_touch(door, self.read)
            case "GET", ["config", "history"]:
                self.in_touch(door, lambda door: self.history(door, path, lambda kept: kept.rows()))
            case "GET", ["config", "history", version] if version.isdigit():
                self.in_touch(door, lambda door: self.history(door, path, lambda kept: kept.body(int(version))))
            case "POST", ["evacuations", zone, "begin" | "finish" as order]:
                if zone not in self.boot.zones:
                    return self.in_touch(door, lambda door: door.reply(404, b"no such zone: " + zone.encode()))
                self.in_touch(door, lambda door: self.evacuate(door, zone, order))
            case "POST", ["core", address, "forget"]:
                self.forget(door, address)
            case "GET", ["status"]:
                self.reply_json(door, self.archive.status() | self.status())
            case _:
                door.reply(404, b"no such call")

    def reply_json(self, door: Door, said: Any) -> None:
        import msgspec

        door.reply(200, msgspec.json.encode(said), JSON)

    def in_touch(self, door: Door, then: Callable[[Door], None]) -> None:
        """Only with contact that is younger than the call."""
        self.archive.confirm().addCallback(lambda known: then(door) if known else self.unsure(door))

    def unsure(self, door: Door, text: str = "") -> None:
        door.reply(UNSURE, text.encode() or b"no majority of the core can be reached", b"Retry-After: 0.3\r\n")

    def order(self, door: Door, order: Order, body: bytes | None, key: str, version: Any) -> None:
        """An order that is put to the core, unless its caller has hung up: a process that was frozen finds orders in
        its sockets that were given to others, and overtaken, long ago.
        """
        def put() -> None:
            if door.connected:
                self._told(door, self.archive.order(order, body, self._within), key, version)
            else:
                say("archive", "order dropped: its caller has hung up", key=key, version=version)

        self.archive.reactor.callLater(HUNG_UP_S, put)

    @property
    def _within(self) -> float:
        return ORDER_SHARE * self.boot.protocol_bounds.ack_timeout

    def _told(self, door: Door, done: Deferred, key: str, version: Any) -> None:
        archive = self.archive
        began = archive.reactor.seconds()

        def answered(outcome: Outcome) -> None:
            took = round(archive.reactor.seconds() - began, 3)
            text = {DONE: "acknowledged", CONFLICT: "refused"}.get(outcome.status, "not acknowledged")
            say("archive", text, key=key, version=version, took=took)
            if archive.history is not None:
                kept = outcome.status == DONE
                number = version if isinstance(version, int) else 0
                archive.recall(archive.history.order, archive.ways.unix(), key, number, kept, took)
            if outcome.status == DONE:
                door.reply(DONE, b"{}", JSON)
            elif outcome.status == UNSURE:
                self.unsure(door, outcome.text)
            else:
                door.reply(outcome.status, outcome.text.encode())

        done.addCallback(answered)

    def replace(self, door: Door, body: bytes) -> None:
        """A whole configuration."""
        try:
            config = read_config(body)
        except ConfigFault as err:
            return door.reply(400, str(err).encode())
        version = config.config_version
        self.order(door, Replace(version, digest(body)), body, "config", version)

    def evacuate(self, door: Door, zone: str, order: str) -> None:
        known = self.archive.held.number
        self.order(door, Evacuate(zone, order == "begin", known), None, f"evacuation/{zone}", order)

    def read(self, door: Door) -> None:
        body = self.archive.held.body
        if body is None:
            return door.reply(404, b"no configuration yet")
        door.reply(200, body, JSON)

    def forget(self, door: Door, address: str) -> None:
        """A machine of the core that is gone for good votes no longer."""
        try:
            ip = number(address)
        except OSError:
            return door.reply(400, b"no address: " + address.encode())

        def known(door: Door) -> None:
            self._told(door, self.archive.forget(ip, self._within), f"core/{address}", "forget")

        self.in_touch(door, known)

    def history(self, door: Door, path: str, read: Callable[[Chronicle], Any]) -> None:
        """What this machine's history says; one without a disk names one that has it."""
        archive = self.archive
        if archive.history is None:
            others = [m.ip for m in archive.register.alive(archive.reactor.seconds(), FORMED) if m.ip != archive.me]
            if not others:
                return self.unsure(door)
            to = f"http://{host(archive.rng.choice(others))}:{self.boot.listen_addresses.control_addr[1]}{path}"
            return door.reply(307, b"", b"Location: %b\r\n" % to.encode())

        def found(answer: Any) -> None:
            if answer is None:
                door.reply(404, b"not in this history (or it can't be read: see the log)")
            elif isinstance(answer, bytes):
                door.reply(200, answer, JSON)
            else:
                self.reply_json(door, answer)

        archive.recall(read, archive.history).addCallback(found)
