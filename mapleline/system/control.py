"""The operator's calls: one dispatch on method and path segments."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any
from zlib import crc32

from twisted.internet.defer import Deferred

from ..http1.messages import Request
from .archive import CONFIG, EVACUATION, REMOVED, Entry
from .chronicle import Chronicle
from .config import ConfigFault
from .config import read as read_config
from .courier import host, number
from .doors import Door
from .log import say
from .register import FORMED

if TYPE_CHECKING:
    from .node import Node

JSON = b"Content-Type: application/json\r\n"
PUT_SHARE = 0.75  # of `ack_timeout`: then the operator had better ask another


class Control:
    """Answers for one node."""

    def __init__(self, node: Node) -> None:
        self.node = node

    def take(self, door: Door, request: Request) -> None:
        path = request.target.partition(b"?")[0].decode("latin-1")
        match request.method.decode(), path.strip("/").split("/"):
            case "POST", ["config", "replace"]:
                self.replace(door, request.body)
            case "GET", ["config", "read"]:
                self.node.scribe.confirm().addCallback(lambda known: self.read(door, known))
            case "GET", ["config", "history"]:
                self.history(door, path, lambda kept: kept.rows())
            case "GET", ["config", "history", version] if version.isdigit():
                self.history(door, path, lambda kept: kept.body(int(version)))
            case "POST", ["evacuations", zone, "begin" | "finish" as order]:
                if zone not in self.node.boot.zones:
                    return door.reply(404, b"no such zone")
                self.node.scribe.confirm().addCallback(lambda known: self.evacuate(door, zone, order, known))
            case "POST", ["core", address, "forget"]:
                self.node.scribe.confirm().addCallback(lambda known: self.forget(door, address, known))
            case "GET", ["status"]:
                self.status(door)
            case _:
                door.reply(404, b"no such call")

    def _unsure(self, door: Door) -> None:
        door.reply(503, b"the core can't be reached", b"Retry-After: 0.3\r\n")

    def _put(self, door: Door, entry: Entry) -> None:
        self._tell(door, self.node.scribe.put(entry, self._within), entry.key, entry.version)

    @property
    def _within(self) -> float:
        return PUT_SHARE * self.node.bounds.ack_timeout

    def _tell(self, door: Door, done: Deferred, key: str, version: int) -> None:
        node = self.node
        began = node.reactor.seconds()

        def put(kept: bool) -> None:
            took = round(node.reactor.seconds() - began, 3)
            text = "acknowledged" if kept else "not acknowledged"
            say("archive", text, key=key, version=version, took=took)
            history = node.scribe.history
            if history is not None:
                node.scribe.recall(history.order, node.ways.unix(), key, version, kept, took)
            if kept:
                door.reply(200, b"{}", JSON)
            else:
                self._unsure(door)

        done.addCallback(put)

    def replace(self, door: Door, body: bytes) -> None:
        """A whole configuration; one no higher than what is held is acknowledged, and alters nothing."""
        try:
            config = read_config(body)
        except ConfigFault as err:
            return door.reply(400, str(err).encode())
        node = self.node
        held = node.word.entries.get(CONFIG)
        if not node.lease.core:
            return self._unsure(door)
        if held is not None and config.config_version <= held.version:
            return self._put(door, held)
        self._put(door, Entry(CONFIG, config.config_version, f"{crc32(body):08x}", body))

    def read(self, door: Door, known: bool) -> None:
        held = self.node.word.entries.get(CONFIG)
        if not known:
            return self._unsure(door)
        if held is None:
            return door.reply(404, b"no configuration yet")
        door.reply(200, held.body, JSON)

    def evacuate(self, door: Door, zone: str, order: str, known: bool) -> None:
        if not known:
            return self._unsure(door)
        node, key = self.node, EVACUATION + zone
        held = node.word.entries.get(key)
        if held is not None and held.body == order.encode():
            return self._put(door, held)
        self._put(door, Entry(key, node.word.stamp(key)[0] + 1, node.boot.node_name, order.encode()))

    def forget(self, door: Door, address: str, known: bool) -> None:
        """A machine of the core that is gone for good counts no longer; what it held is held by the others."""
        node = self.node
        try:
            ip = number(address)
        except OSError:
            return door.reply(400, b"no address")
        seat, held = node.scribe.seat, node.word.entries.get(f"{REMOVED}{ip}")
        if held is None and ip not in seat.core():
            return door.reply(404, b"not of the core")
        if not known:
            return self._unsure(door)
        if held is None and ip in {m.ip for m in node.register.alive(node.reactor.seconds())}:
            return door.reply(409, b"it is there: stop it first")
        if held is None and len(seat.core()) - 1 <= node.boot.fault_tolerance.machine_losses:
            return door.reply(409, b"too few would be left to bear a loss")
        self._tell(door, node.scribe.forget(ip, self._within / 4), f"{REMOVED}{ip}", 2)

    def history(self, door: Door, path: str, read: Callable[[Chronicle], Any]) -> None:
        """What this machine's history says; one without a disk names one that has it."""
        import msgspec

        node, scribe = self.node, self.node.scribe
        if scribe.history is None:
            now = node.reactor.seconds()
            others = [m.ip for m in node.register.alive(now, FORMED)]
            if not others:
                return self._unsure(door)
            to = f"http://{host(node.rng.choice(others))}:{node.boot.listen_addresses.control_addr[1]}{path}"
            return door.reply(307, b"", b"Location: %b\r\n" % to.encode())

        def found(answer: Any) -> None:
            if answer is None:
                door.reply(404, b"not in this history (or it can't be read: see the log)")
            else:
                door.reply(200, answer if isinstance(answer, bytes) else msgspec.json.encode(answer), JSON)

        scribe.recall(read, scribe.history).addCallback(found)

    def status(self, door: Door) -> None:
        """What this ingress knows, for people."""
        import msgspec

        node, now = self.node, self.node.reactor.seconds()
        held = {e.key: e.version for e in node.word.entries.values()}
        body = {
            "node": node.boot.node_name, "ready": bool(node.flags() & 1),
            "formed": node.scribe.seat.formed, "word": held,
            "ingresses": len(node.register.alive(now)), "core": [host(ip) for ip in node.scribe.seat.core()],
            "disk": node.scribe.disk_fault or ("well" if node.scribe.shelf is not None else "none"),
            "lease_age_s": round(now - node.lease.since(), 3) if node.lease.since() > -1e9 else None,
            "list": {"holder": host(node.custody.holder), "term": node.custody.term},
            "servers": len(node.catalogue.instances), "counts": node.desk.counts,
        }  # fmt: skip
        door.reply(200, msgspec.json.encode(body), JSON)
