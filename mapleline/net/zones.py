"""The driver of `zones/`: verdicts told and read on the counter each period, and probes (thin, Twisted).

Lines: `zone left`, `zone back` (each with the count and the members alive it was judged by), once a turn.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet import protocol

from ..engine import Engine
from ..policy.interface import Result
from ..telemetry import COUNTS, log
from ..zones import ZoneEjection
from .claims import lost
from .peers import Peers

PROBE = b"GET /health/live HTTP/1.1\r\nHost: probe\r\nConnection: close\r\n\r\n"


class Probe(protocol.Protocol):
    """One question; any answer will do."""

    answered = False

    def connectionMade(self) -> None:
        self.transport.write(PROBE)

    def dataReceived(self, data: bytes) -> None:
        if not self.answered:
            self.answered = True
            self.factory.heard()
        self.transport.loseConnection()


class ZoneWatch:
    """Tells and hears once a period; `places` gives the zone of each server and where it listens."""

    def __init__(
        self,
        reactor: Any,
        peers: Peers,
        zones: ZoneEjection,
        engine: Engine,
        names: list[str],
        places: Callable[[], dict[int, tuple[int, Any]]],
        clock: Callable[[], int],
    ) -> None:
        self.reactor, self.peers, self.zones, self.engine = reactor, peers, zones, engine
        self.names, self.places, self.clock = names, places, clock
        self.told: set[tuple[int, int]] = set()  # zone and period
        self.read = 0  # the newest period whose predecessor was asked for
        self.turn = peers.view.own_index  # members start their rounds of the servers at different ones

    def _name(self, zone: int, period: int) -> str:
        return f"zn.{self.peers.told.fleet}.{zone}.{period}"

    def tick(self, period: int) -> None:
        now = self.clock()
        for zone in self.zones.failing(now):
            if (zone, period) not in self.told:
                self.told.add((zone, period))
                COUNTS["zones.told_failed"] += 1
                self.peers.call(self._name(zone, period), 1).addErrback(lost)
        for zone in self.zones.probes(now):
            self._probe(zone)
        if period == self.read:
            return
        self.read = period
        self.told = {entry for entry in self.told if entry[1] >= period - 1}
        for zone in range(len(self.names)):
            self.peers.call(self._name(zone, period - 1), 0).addCallbacks(self._heard, lost, (zone,))

    def _heard(self, count: float, zone: int) -> None:
        alive = self.peers.view.alive_count(self.peers.now())
        left = self.zones.count_reports(zone, int(count), alive, self.clock())
        if left is not None:
            COUNTS["zones.left" if left else "zones.back"] += 1
            log(
                "zone left" if left else "zone back",
                zone=self.names[zone],
                count=int(count),
                alive=alive,
                hold_s=self.zones.hold_s(self.zones.zones[zone]),
            )
            self.engine.zone_turned(zone, left)

    def _probe(self, zone: int) -> None:
        there = sorted((n, place.address) for n, (z, place) in self.places().items() if z == zone)
        if not there:
            return
        self.turn += 1
        host, port = there[self.turn % len(there)][1]
        factory = protocol.ClientFactory()
        factory.protocol, factory.noisy = Probe, False
        factory.heard = lambda: self.zones.ended(zone, Result.OK, self.clock())
        COUNTS["zones.probes"] += 1
        self.zones.sent(zone, self.clock())
        wait_s = self.peers.told.beat_s
        connector = self.reactor.connectTCP(host, port, factory, timeout=wait_s)
        self.reactor.callLater(2 * wait_s, connector.disconnect)
