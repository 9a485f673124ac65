"""Simulated platform: its list of servers, which lags behind, and an ingress's client of it."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from ..balancer.discovery.endpoints import EndpointList, ListedInstance
from ..balancer.discovery.platform_client import PlatformClient
from .records import ListCall

if TYPE_CHECKING:
    import random

    from .event_loop import EventLoop, ProcessReactor
    from .machine import Machine
    from .servers import Server

LIST_LAG_S = 0.8  #: longest time until the list shows a change
MIN_LAG_SHARE = 0.3  #: shortest time until the list shows a change, as a share of `LIST_LAG_S`


class Platform:
    """Publishes the list of servers; a change appears in it after a random lag."""

    def __init__(self, clock: EventLoop, rng: random.Random, servers: Mapping[tuple[str, int], Server]) -> None:
        """Create the platform of `servers`, which are given by address."""
        self.unreachable_from: set[str] = set()  #: names of machines that cannot fetch the list
        self.list_calls: list[ListCall] = []
        self._clock = clock
        self._rng = rng
        self._servers = servers
        self._published: list[ListedInstance] | None = None

    def servers_changed(self) -> None:
        """Publish the list again after the lag."""
        self.published()
        self._clock.callLater(self._rng.uniform(MIN_LAG_SHARE, 1.0) * LIST_LAG_S, self._publish)

    def published(self) -> list[ListedInstance]:
        """Return the list that was published last."""
        if self._published is None:
            self._published = self._publish()
        return self._published

    def _publish(self) -> list[ListedInstance]:
        now = self._clock.seconds()
        self._published = [self._entry(server, now) for server in self._servers.values() if not server.is_removed]
        if any(server.slow_start_until > now - LIST_LAG_S for server in self._servers.values()):
            # the remaining time of a slow start is published periodically, the last time as zero
            self._clock.callLater(LIST_LAG_S, self._publish)
        return self._published

    @staticmethod
    def _entry(server: Server, now: float) -> ListedInstance:
        host, port = server.address
        slow_start_left_ms = max(0, int(1000 * (server.slow_start_until - now)))
        return ListedInstance(
            server.id,
            server.service,
            f"{host}:{port}",
            server.zone,
            "draining" if server.is_draining else "ready",
            server.slots,
            f"{slow_start_left_ms}ms",
        )


class SimulatedPlatformClient(PlatformClient):
    """An ingress's client of the simulated platform."""

    def __init__(
        self,
        machine: Machine,
        reactor: ProcessReactor,
        endpoints: EndpointList,
        on_listed: Callable[[bool], None],
    ) -> None:
        """Create the client of the process that runs on `reactor`; it opens no sockets, unlike the real client."""
        self._machine = machine
        self._process_reactor = reactor
        self._endpoints = endpoints
        self._on_listed = on_listed
        self._is_fetching = False

    def fetch(self) -> None:
        """Fetch the list, unless a fetch is in flight or the platform is unreachable."""
        world, machine = self._machine.world, self._machine
        if self._is_fetching or machine.name in world.platform.unreachable_from:
            return
        self._is_fetching = True
        began = world.now
        world.platform.list_calls.append(ListCall(began, machine.name))
        world.observe("platform", machine.name, "", b"")

        def receive_list(instances: list[ListedInstance]) -> None:
            self._is_fetching = False
            self._on_listed(self._endpoints.update_from_platform(began, instances))

        def deliver_list() -> None:
            self._process_reactor.run(receive_list, world.platform.published())

        round_trip_s = 2 * world.network.delay_s(machine.zone, world.zone_names[0])
        world.after(round_trip_s, deliver_list)
