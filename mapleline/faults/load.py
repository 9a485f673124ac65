"""The rig's load: open loop, seeded arrivals, one request at a time a connection (a Twisted driver).

Each request is a line `sent` in load.jsonl, then one of `answer` (with its status), `cut off` (its
connection ended first) or `unanswered` (open when the load ended).  The rig's own log, not the ingress's:
a line a request is what the checker needs here.
"""

from __future__ import annotations

import random
from typing import Any

from twisted.internet import protocol

SILENT_S = 1.5  # a connection never asked on is used no more after this: ingresses close it at 2.4 s
AGAIN_S = 1.0  # between a client's tries with one id
MOST_CONNECTIONS = 400  # a connection an ingress at most, open at once


class Client(protocol.Protocol):
    def __init__(self, load: Load, ingress: str) -> None:
        self.load, self.ingress = load, ingress
        self.request: str | None = None
        self.asked, self.since = False, load.reactor.seconds()
        self.data = b""

    def connectionMade(self) -> None:
        self.load.joined(self)

    def dataReceived(self, data: bytes) -> None:
        self.data += data
        end = self.data.find(b"\r\n\r\n")
        if end < 0 or self.request is None:
            return
        head = self.data[:end].lower()
        at = head.find(b"content-length:")
        stop = head.find(b"\r\n", at)
        length = int(head[at + 15 : stop if stop > 0 else end]) if at >= 0 else 0
        if len(self.data) < end + 4 + length:
            return
        status, body = int(self.data[9:12]), self.data[end + 4 : end + 4 + length]
        self.data = self.data[end + 4 + length :]
        rid, self.request = self.request, None
        told = {"unknown": True} if b"x-outcome: unknown" in head else {}
        if status == 200 and body != rid.encode() and not self.load.bare:
            told["foreign"] = body[:80].decode("latin-1")
        self.load.answered(self, rid, status, b"connection: close" in head, told)

    def connectionLost(self, reason: Any = None) -> None:
        self.load.lost(self)


class Load:
    def __init__(
        self,
        reactor: Any,
        ports: dict[str, int],
        members: set[str],
        fleet: Any,
        log: Any,
        draw: random.Random,
        bare: bool = False,
    ) -> None:
        self.bare = bare  #: stand-ins in the ingresses' place answer what they like
        self.reactor, self.ports, self.fleet, self.log = reactor, ports, fleet, log
        self.members = members  #: where requests go now, as the controller says
        self.draw = random.Random(draw.getrandbits(64))
        self.idle: dict[str, list[Client]] = {name: [] for name in ports}
        self.open: dict[str, int] = dict.fromkeys(ports, 0)
        self.waiting: dict[str, list[tuple[str, bytes]]] = {name: [] for name in ports}
        self.pending: dict[str, Client | None] = {}
        self.kinds = random.Random(draw.getrandbits(64))
        self.kept: dict[str, tuple[bytes, float]] = {}  #: who may come again, until when
        self.number = 0
        self.over = False

    def start(self, seconds: float) -> None:
        at = 0.0
        while True:
            at += self.draw.expovariate(self.fleet.rate)
            if at >= seconds:
                break
            pick, hot, customer = self.draw.random(), self.draw.random(), self.draw.random()
            fleet = self.fleet
            if fleet.hot and hot < fleet.hot_share:
                customer = int(customer * fleet.hot)
            else:
                customer = fleet.hot + int(customer * (fleet.customers - fleet.hot))
            self.reactor.callLater(at, self.send, pick, customer, int(at / fleet.shift_s))

    def send(self, pick: float, customer: int, shift: int) -> None:
        """A request to one of the members of the moment, chosen by `pick` in [0, 1); `lean` of them go to
        the member whose turn `shift` is."""
        names = sorted(self.members)
        if self.over or not names:
            return
        lean = self.fleet.lean
        if pick < lean:
            ingress = names[shift % len(names)]
        else:
            ingress = names[int((pick - lean) / (1 - lean) * len(names))]
        self.number += 1
        rid = f"{self.fleet.seed:x}-{self.number:08x}"
        wanted, lines = self.kinds.random(), "Content-Length: 2\r\n"
        if wanted < self.fleet.once_share:
            cls = "book"
        elif wanted < self.fleet.once_share + self.fleet.keyed_share:
            cls, lines = "pay", f"{lines}Idempotency-Key: {rid}\r\n"
        else:
            cls, lines = "look", ""
        body = "{}" if lines else ""
        method = "POST" if lines else "GET"
        request = (
            f"{method} /{cls}/{customer:016x} HTTP/1.1\r\nHost: fleet\r\n"
            f"X-Request-ID: {rid}\r\nX-Tariff: wide\r\n{lines}"
            f"X-Timeout-Ms: {self.fleet.timeout_ms}\r\n"
            f"X-Weight: units=1,spread={len(self.ports)},first=0\r\n\r\n{body}"
        ).encode()
        timeout_ms = self.fleet.timeout_ms + int(1000 * self.fleet.retry_s)
        self.log("load", "sent", id=rid, ingress=ingress, customer=customer, cls=cls, timeout_ms=timeout_ms)
        if self.fleet.retry_s > 0:
            self.kept[rid] = (request, self.reactor.seconds() + self.fleet.retry_s)
        self._put(ingress, rid, request)

    def _put(self, ingress: str, rid: str, request: bytes) -> None:
        self.pending[rid] = None
        self.waiting[ingress].append((rid, request))
        self._next(ingress)

    def _again(self, rid: str, why: str) -> bool:
        """Whether the client comes again with the same id: at any ingress, a moment later."""
        request, ends = self.kept.get(rid, (b"", 0.0))
        if self.reactor.seconds() >= ends or self.over:
            return False
        self.log("load", "again", id=rid, why=why)
        self.pending[rid] = None
        self.reactor.callLater(AGAIN_S, self._elsewhere, rid, request)
        return True

    def _elsewhere(self, rid: str, request: bytes) -> None:
        names = sorted(self.members)
        if self.over or not names:
            return
        ingress = names[int(self.kinds.random() * len(names))]
        self.log("load", "sent again", id=rid, ingress=ingress)
        self._put(ingress, rid, request)

    def _next(self, ingress: str) -> None:
        while self.waiting[ingress] and self.idle[ingress]:
            client = self.idle[ingress].pop()
            if not client.asked and self.reactor.seconds() - client.since > SILENT_S:
                client.transport.loseConnection()  # an ingress is about to close it as silent
                continue
            client.asked = True
            rid, request = self.waiting[ingress].pop(0)
            client.request, self.pending[rid] = rid, client
            client.transport.write(request)
        if self.waiting[ingress] and self.open[ingress] < MOST_CONNECTIONS:
            self.open[ingress] += 1
            factory = protocol.ClientFactory()
            factory.buildProtocol = lambda addr: Client(self, ingress)
            factory.clientConnectionFailed = lambda connector, reason: self._failed(ingress)
            self.reactor.connectTCP("127.0.0.1", self.ports[ingress], factory, timeout=5)

    def _failed(self, ingress: str) -> None:
        self.open[ingress] -= 1
        if self.waiting[ingress]:
            rid, _ = self.waiting[ingress].pop(0)
            self.pending.pop(rid, None)
            if not self._again(rid, "no connection"):
                self.log("load", "cut off", id=rid, ingress=ingress, why="no connection")
            self.reactor.callLater(0.05, self._next, ingress)

    def joined(self, client: Client) -> None:
        self.idle[client.ingress].append(client)
        self._next(client.ingress)

    def answered(self, client: Client, rid: str, status: int, closing: bool, told: dict[str, Any]) -> None:
        self.pending.pop(rid, None)
        if status != 409 or not self._again(rid, "in hand"):
            self.log("load", "answer", id=rid, ingress=client.ingress, status=status, **told)
        if not closing and not self.over:
            self.idle[client.ingress].append(client)
        self._next(client.ingress)

    def lost(self, client: Client) -> None:
        self.open[client.ingress] -= 1
        if client in self.idle[client.ingress]:
            self.idle[client.ingress].remove(client)
        if client.request is not None and not self.over:
            rid, client.request = client.request, None
            self.pending.pop(rid, None)
            if not self._again(rid, "connection ended"):
                self.log("load", "cut off", id=rid, ingress=client.ingress, why="connection ended")
        if not self.over:
            self._next(client.ingress)

    def finish(self) -> None:
        self.over = True
        for ingress, queue in self.waiting.items():
            for rid, _ in queue:
                self.pending.pop(rid, None)
                self.log("load", "unanswered", id=rid, ingress=ingress)
        for rid, client in list(self.pending.items()):
            self.log("load", "unanswered", id=rid, ingress=client.ingress if client else "")
