"""Reports failed zones, counts the fleet's reports each period, and probes zones (a driver of `mapleline.zones`).

Log events: `zone left` (ejected) and `zone back` (readmitted), each with the number of reports and of members alive
that decided it.  The rules are in docs/design/zones.md.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from twisted.internet.protocol import ClientFactory, Protocol

from ..policy.interface import Result
from ..telemetry import COUNTS, log
from .fleet_counter import count_lost_call

if TYPE_CHECKING:
    from twisted.internet.interfaces import IAddress

    from ..engine import Engine
    from ..settings.platform import Address
    from ..zones import ZoneEjection
    from .event_loop import EventLoop
    from .fleet_member import FleetMember

PROBE_REQUEST = b"GET /health/live HTTP/1.1\r\nHost: probe\r\nConnection: close\r\n\r\n"
PROBE_PERIODS = 2  #: the time limit of a probe in heartbeat periods; connecting may take one of them


@dataclass(frozen=True, slots=True, order=True)
class ZoneServer:
    """A server on the endpoint list: its number, its zone's number and its address."""

    number: int
    zone: int
    address: Address


@dataclass(frozen=True, slots=True)
class SentReport:
    """A report of this member that a zone failed in a heartbeat period."""

    zone: int
    period: int


class HealthProbe(Protocol):
    """One health check; any answer shows that the zone can be reached."""

    transport: Any  # Twisted's TCP transport, which has more methods than ITransport

    def __init__(self, on_answer: Callable[[], None]) -> None:
        """Call `on_answer` when the first bytes arrive."""
        self._on_answer = on_answer
        self._is_answered = False

    def connectionMade(self) -> None:
        """Send the request."""
        self.transport.write(PROBE_REQUEST)

    def dataReceived(self, data: bytes) -> None:
        """Count any bytes as an answer."""
        if not self._is_answered:
            self._is_answered = True
            self._on_answer()
        self.transport.loseConnection()


class HealthProbeFactory(ClientFactory):
    """Creates the protocol of one probe."""

    noisy = False

    def __init__(self, on_answer: Callable[[], None]) -> None:
        """Call `on_answer` if the probe is answered."""
        self._on_answer = on_answer

    def buildProtocol(self, addr: IAddress | None) -> HealthProbe:
        """Return the protocol of the connection."""
        return HealthProbe(self._on_answer)


class ZoneMonitor:
    """Reports failed zones to the fleet, and passes the fleet's decisions to the engine."""

    def __init__(
        self,
        reactor: EventLoop,
        member: FleetMember,
        ejection: ZoneEjection,
        engine: Engine,
        zone_names: list[str],
        servers: Callable[[], list[ZoneServer]],
    ) -> None:
        """Start with no reports.

        Args:
            reactor: The event loop.
            member: This member; reports are made through its counter client.
            ejection: The health of the zones.
            engine: Is notified of each zone that is ejected or readmitted; its clock is used.
            zone_names: The zones' names, by number.
            servers: Returns the endpoint list.
        """
        self._reactor = reactor
        self._member = member
        self._ejection = ejection
        self._engine = engine
        self._zone_names = zone_names
        self._servers = servers
        self._sent_reports: set[SentReport] = set()
        self._newest_period = 0  # the reports of the period before it have been read
        self._probe_turn = member.view.own_index  # so that each member starts its round-robin at another server

    def update(self, period: int) -> None:
        """Send reports and probes, and once a period read the reports of the previous period."""
        now_ns = self._engine.now()
        self._report_failed_zones(period, now_ns)
        for zone in self._ejection.zones_to_probe(now_ns):
            self._probe(zone)
        if period != self._newest_period:
            self._newest_period = period
            self._sent_reports = {report for report in self._sent_reports if report.period >= period - 1}
            self._read_reports(period - 1)

    def _report_failed_zones(self, period: int, now_ns: int) -> None:
        for zone in self._ejection.failed_zones(now_ns):
            report = SentReport(zone, period)
            if report not in self._sent_reports:
                self._sent_reports.add(report)
                COUNTS["zones.told_failed"] += 1
                self._member.counter.add(self._key(zone, period), 1).addErrback(count_lost_call)

    def _read_reports(self, period: int) -> None:
        for zone in range(len(self._zone_names)):
            self._read_zone_reports(zone, period)

    def _read_zone_reports(self, zone: int, period: int) -> None:
        self._member.counter.add(self._key(zone, period), 0).addCallbacks(
            lambda total: self._on_reports(zone, int(total)), count_lost_call
        )

    def _key(self, zone: int, period: int) -> str:
        return f"zn.{self._member.settings.fleet}.{zone}.{period}"

    def _on_reports(self, zone: int, reports: int) -> None:
        alive = self._member.view.alive_count(self._member.now())
        is_ejected = self._ejection.count_reports(zone, reports, alive, self._engine.now())
        if is_ejected is None:
            return
        COUNTS["zones.left" if is_ejected else "zones.back"] += 1
        log(
            "zone left" if is_ejected else "zone back",
            zone=self._zone_names[zone],
            count=reports,
            alive=alive,
            hold_s=self._ejection.hold_s(self._ejection.zones[zone]),
        )
        self._engine.handle_zone_change(zone, is_ejected)

    def _probe(self, zone: int) -> None:
        """Probe the next server of a zone, if it has any."""
        servers = sorted(server for server in self._servers() if server.zone == zone)
        if not servers:
            return
        self._probe_turn += 1
        host, port = servers[self._probe_turn % len(servers)].address
        factory = HealthProbeFactory(lambda: self._ejection.record_end(zone, Result.OK, self._engine.now()))
        COUNTS["zones.probes"] += 1
        self._ejection.record_sent(zone, self._engine.now())
        period_s = self._member.settings.beat_s
        connector = self._reactor.connectTCP(host, port, factory, timeout=period_s)
        self._reactor.callLater(PROBE_PERIODS * period_s, connector.disconnect)
