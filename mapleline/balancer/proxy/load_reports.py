"""Load reports: the nodes of a region exchange their requests in flight and failure shares for each server."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..transport.messages import LoadReport
from .server_checksum import server_checksum

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ...policy.placing import Target

REPORT_VALIDITY_S = 3.0
"""A report is used for this long after it was received."""

TENTHS_PER_UNIT = 10
"""Shares of failed requests are reported as tenths."""

MAX_HEALTHY_TENTHS = 2
"""Failure shares up to this many tenths are not reported."""


@dataclass(frozen=True, slots=True)
class ReceivedReport:
    """The newest report of another node; `received_at` is on this node's clock."""

    received_at: float
    report: LoadReport


class LoadReports:
    """Creates this node's reports, and applies those of other nodes to the targets."""

    def __init__(self, region: str, targets: Mapping[str, Target]) -> None:
        """Report on the servers of `region` among `targets`, a mapping that `EndpointSelection` updates."""
        self.received: dict[int, ReceivedReport] = {}  #: by the sender's address
        self._region = region
        self._targets = targets
        self._last_report = LoadReport({}, {})

    def next_report(self, now: float) -> LoadReport | None:
        """Return this node's report; None if it equals the last one."""
        local = [
            (server_checksum(target.id), target) for target in self._targets.values() if target.region == self._region
        ]
        in_flight = {checksum: target.in_flight for checksum, target in local if target.in_flight}
        failure_tenths = (
            (checksum, int(TENTHS_PER_UNIT * target.observed_failure_share(now)))
            for checksum, target in local
            if target.failure_share
        )
        unhealthy = {checksum: tenths for checksum, tenths in failure_tenths if tenths > MAX_HEALTHY_TENTHS}
        report = LoadReport(in_flight, unhealthy)
        if report == self._last_report:
            return None
        self._last_report = report
        return report

    def receive(self, sender_ip: int, report: LoadReport, now: float) -> None:
        """Store the newest report of another node, and update each target by all reports that are still valid."""
        self.received[sender_ip] = ReceivedReport(now, report)
        in_flight: dict[int, int] = {}
        failure_tenths: dict[int, int] = {}
        for received in self.received.values():
            if now - received.received_at < REPORT_VALIDITY_S:
                _add_report(received.report, in_flight, failure_tenths)
        for target in self._targets.values():
            checksum = server_checksum(target.id)
            target.peer_in_flight = in_flight.get(checksum, 0)
            target.peer_failure_share = failure_tenths.get(checksum, 0) / TENTHS_PER_UNIT


def _add_report(report: LoadReport, in_flight: dict[int, int], failure_tenths: dict[int, int]) -> None:
    """Add a report to the sums of requests in flight and the largest failure shares, by the server's checksum."""
    for checksum, count in report.in_flight.items():
        in_flight[checksum] = in_flight.get(checksum, 0) + count
    for checksum, tenths in report.failure_tenths.items():
        failure_tenths[checksum] = max(tenths, failure_tenths.get(checksum, 0))
