"""The data plane of one node: connects admission, quota, server selection and attempts for each client request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .admission import Admission
from .attempt_limits import DEADLINE_MARGIN_S
from .attempts import AttemptDispatcher
from .counters import RequestCounters
from .endpoint_selection import EndpointSelection
from .load_reports import LoadReports
from .quota_admission import QuotaAdmission
from .request_context import AdmittedRequest, Rejection, RequestContext
from .retry_budget import RetryBudget
from .route_statistics import RouteStatistics
from .routing_state import RoutingState
from .slow_start import SlowStart

if TYPE_CHECKING:
    from ...http1 import Request
    from ...policy.placing import Target
    from ..routing_table import RoutingTable
    from ..transport.messages import LoadReport
    from .client_connection import ClientConnection
    from .dependencies import ProxyDependencies


class Proxy:
    """Handles clients' requests; its node updates the configuration, the servers and the other nodes' load."""

    def __init__(self, dependencies: ProxyDependencies) -> None:
        """Start without a configuration: every request is rejected until there is one."""
        settings = dependencies.settings
        self.requests_in_flight: set[RequestContext] = set()
        self._clock = dependencies.clock
        self._routing = RoutingState()
        self._counters = RequestCounters()
        self._admission = Admission(dependencies, self._routing, self._counters)
        self._retry_budget = RetryBudget(settings.protocol_bounds, dependencies.membership, self._counters)
        statistics = RouteStatistics()
        self.slow_start = SlowStart(dependencies, self._routing)
        self._selection = EndpointSelection(dependencies, self._routing, self.slow_start, statistics)
        self.load_reports = LoadReports(settings.region, self._selection.targets)
        self._attempts = AttemptDispatcher(
            dependencies,
            self._routing,
            self._selection,
            self.slow_start,
            self._retry_budget,
            statistics,
            self._counters,
        )
        self._quota_admission = QuotaAdmission(dependencies, self._counters, self._attempts.dispatch)

    # -- configuration, servers and other nodes ------------------------------------------------------------

    @property
    def table(self) -> RoutingTable | None:
        """The configuration in force; None until there is one."""
        return self._routing.table

    @table.setter
    def table(self, table: RoutingTable) -> None:
        self._routing.table = table

    @property
    def evacuated_zones(self) -> set[str]:
        """Evacuated zones, whose servers get no requests."""
        return self._routing.evacuated_zones

    @evacuated_zones.setter
    def evacuated_zones(self, zones: set[str]) -> None:
        self._routing.evacuated_zones = zones

    @property
    def targets(self) -> dict[str, Target]:
        """The state of each server, by its id."""
        return self._selection.targets

    @property
    def counters(self) -> dict[str, int]:
        """Counts of requests by their result, for operators."""
        return self._counters.counts

    def update_endpoints(self) -> None:
        """Apply a change of the endpoint list."""
        self._selection.update()

    def on_evacuation_ended(self, zone: str) -> None:
        """Send requests to a zone's servers again, at first as if they were warming up."""
        self.slow_start.on_evacuation_ended(zone)

    def next_load_report(self) -> LoadReport | None:
        """Return the report for the other nodes of the region; None if the load has not changed."""
        return self.load_reports.next_report(self._clock.seconds())

    def receive_load_report(self, sender_ip: int, report: LoadReport, now: float) -> None:
        """Apply the load report of another node of the region."""
        self.load_reports.receive(sender_ip, report, now)

    # -- requests ------------------------------------------------------------------------------------------

    def handle_request(self, client_conn: ClientConnection, request: Request) -> RequestContext | None:
        """Handle a client's request.

        Returns:
            The request in flight, which the connection informs if the client disconnects; None if it was rejected.
        """
        arrived_at = self._clock.seconds()
        decision = self._admission.decide(request)
        if isinstance(decision, Rejection):
            decision.send(client_conn)
            return None
        context = self._make_context(client_conn, request, decision, arrived_at)
        table = self._routing.table
        if table is not None:
            self._quota_admission.admit(context, table)
        return context

    def _make_context(
        self, client_conn: ClientConnection, request: Request, admitted: AdmittedRequest, arrived_at: float
    ) -> RequestContext:
        context = RequestContext(
            client_conn,
            request,
            admitted,
            deadline=arrived_at + admitted.timeout_s - DEADLINE_MARGIN_S,
            on_finished=self.requests_in_flight.discard,
            upload=client_conn.upload,
        )
        self.requests_in_flight.add(context)
        self._retry_budget.earn(admitted.service)
        delay_s = max(0.0, admitted.timeout_s - DEADLINE_MARGIN_S)
        context.deadline_timer = self._clock.callLater(delay_s, self._attempts.on_deadline, context)
        return context
