"""Load reports: the nodes of a region exchange their numbers of requests in flight at each server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .transport.messages import LoadReport

if TYPE_CHECKING:
    from .context import NodeContext
    from .proxy.proxy import Proxy
    from .topology import Topology
    from .transport.fencing import Fence

LOAD_REPORT_INTERVAL_S = 0.05


class LoadReporter:
    """Reports changes of this node's load to the other nodes of its region."""

    def __init__(self, context: NodeContext, topology: Topology, proxy: Proxy, fence: Fence) -> None:
        """Create a reporter; `fence` numbers the reports, so that receivers drop one that arrives after a newer one."""
        self._context = context
        self._topology = topology
        self._proxy = proxy
        self._fence = fence

    def run(self) -> None:
        """Send a report if the load has changed, and set the timer for the next run."""
        self._context.reactor.callLater(LOAD_REPORT_INTERVAL_S, self.run)
        load = self._proxy.next_load_report()
        if load is None:
            return
        report = LoadReport(load.in_flight, load.failure_tenths, self._fence.next_sequence())
        membership = self._context.membership
        for member in membership.live_members(self._context.now()):
            if member.ip != membership.local_member.ip and self._topology.is_local(member):
                self._context.send(member.ip, report)
