"""Simulated servers behind the ingresses: they have slots, a queue, a slow start, and failures."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..balancer.proxy.outcome import EndReason
from ..balancer.proxy.upstream_attempt import Attempt
from ..balancer.proxy.upstream_pool import CONNECT_TIMEOUT_S, UpstreamPool
from ..http1 import Response
from .records import ServerEvent

if TYPE_CHECKING:
    from ..http1 import BufferPool
    from .event_loop import ProcessReactor
    from .machine import Machine
    from .world import World

SERVER_PORT = 8080
SERVER_SLOTS = 2
SERVER_QUEUE = 8  #: number of requests that may wait for a slot; further ones are rejected
SPEED_FACTORS = (0.8, 1.0, 1.25)  #: factors on the service time, assigned to the servers in turn
SLOW_START_FACTOR = 2.0  #: factor on the service time during a slow start
DEFAULT_SERVICE_TIME_S = 0.25
#: parameters of the log-normal factor on the service time; its mean is 1.0
SERVICE_TIME_MU = -0.11
SERVICE_TIME_SIGMA = 0.47


@dataclass(eq=False)
class ServerRequest:
    """One request at a server, in the form in which an ingress sent it."""

    attempt: Attempt
    sender: Machine
    reactor: ProcessReactor  #: reactor of the incarnation that sent the request
    delay_s: float  #: one-way delay of the network
    sent_at: float
    headers: dict[str, str] = field(default_factory=dict)
    path: str = ""

    def __post_init__(self) -> None:
        """Parse the path and the headers from the bytes that were sent."""
        request_line, *lines = self.attempt.data.decode().partition("\r\n\r\n")[0].split("\r\n")
        self.path = request_line.split(" ")[1]
        self.headers = {name.lower(): value for name, _, value in (line.partition(": ") for line in lines)}

    @property
    def route(self) -> str:
        """The first segment of the path."""
        return self.path.split("/")[1]

    @property
    def is_abandoned(self) -> bool:
        """Whether the ingress no longer waits for the response."""
        return self.attempt.end_reason is not None


class Server:
    """One incarnation of a server."""

    def __init__(
        self, world: World, service: str, zone: str, number: int, speed_factor: float, incarnation: int = 1
    ) -> None:
        """Create a server in state ready.

        Args:
            world: The world that it belongs to.
            service: The service that it offers.
            zone: Its zone.
            number: The last byte of its address.
            speed_factor: Factor on its service times.
            incarnation: Number of servers at its address so far, including this one.
        """
        self.world = world
        self.service = service
        self.zone = zone
        self.number = number
        self.speed_factor = speed_factor
        self.incarnation = incarnation
        self.id = f"i-{service}-{zone}-{number}-{incarnation}"
        self.address = (f"10.128.{world.zone_names.index(zone)}.{number}", SERVER_PORT)
        self.slots = SERVER_SLOTS
        self.is_draining = False
        self.is_down = False  #: has lost power: connections time out
        self.is_removed = False  #: its process has ended: connections are refused
        self.slow_start_until = -1.0  #: end of its slow start, in seconds of virtual time
        self.response_loss_rate = 0.0  #: share of executed requests whose response is lost
        self.failure_rate = 0.0  #: share of responses with status 500
        self._running = 0
        self._queue: deque[ServerRequest] = deque()

    @property
    def is_reachable(self) -> bool:
        """Whether requests reach it."""
        return not (self.is_down or self.is_removed)

    def receive(self, request: ServerRequest) -> None:
        """Execute, queue or reject an arriving request."""
        if not self.is_reachable:
            self._lose_connection(request)
            return
        if request.headers.get("expect-instance") != self.id:
            self._respond(request, 421)
            return
        self.world.server_arrivals.append(ServerEvent(request.sent_at, self.world.now, self, request))
        if request.is_abandoned:
            return
        if self._running < self.slots:
            self._execute(request)
        elif len(self._queue) < SERVER_QUEUE:
            self._queue.append(request)
        else:
            self._respond(request, 503, is_executed=False)

    def _execute(self, request: ServerRequest) -> None:
        world = self.world
        self._running += 1
        world.server_runs.append(ServerEvent(request.sent_at, world.now, self, request))
        mean_s = world.service_time_s.get(request.route, DEFAULT_SERVICE_TIME_S)
        slow_start_factor = SLOW_START_FACTOR if world.now < self.slow_start_until else 1.0
        random_factor = world.rng.lognormvariate(SERVICE_TIME_MU, SERVICE_TIME_SIGMA)
        world.after(mean_s * self.speed_factor * slow_start_factor * random_factor, self._finish, request)

    def _finish(self, request: ServerRequest) -> None:
        self._running -= 1
        self._execute_queued()
        draw = self.world.rng.random()
        if not self.is_reachable or draw < self.response_loss_rate:
            self._lose_connection(request)
        else:
            self._respond(request, 500 if draw < self.response_loss_rate + self.failure_rate else 200)

    def _execute_queued(self) -> None:
        while self._queue and self._running < self.slots:
            request = self._queue.popleft()
            if not request.is_abandoned and not request.reactor.is_stopped:
                self._execute(request)

    def _lose_connection(self, request: ServerRequest) -> None:
        if not self.is_down:
            self.world.after(request.delay_s, request.reactor.run, request.attempt.end, EndReason.CONNECTION_LOST)

    def _respond(self, request: ServerRequest, status: int, is_executed: bool = True) -> None:
        headers = {
            b"request-id": request.headers.get("request-id", "").encode(),
            b"server-stamp": b"s-" + self.id.encode(),
            b"server-load": b"%d,%d,%d" % (self._running, len(self._queue), self.slots),
        }
        if not is_executed:
            headers[b"not-executed"] = b"1"
        response = Response(status, headers, b"whole", True)
        self.world.after(request.delay_s, request.reactor.run, request.attempt.end, EndReason.RESPONSE, response)


class SimulatedUpstreamPool(UpstreamPool):
    """An ingress's connections to the simulated servers."""

    def __init__(self, machine: Machine, reactor: ProcessReactor, pool: BufferPool) -> None:
        """Create the pool of the process that runs on `reactor`."""
        super().__init__(reactor, pool)
        self._machine = machine
        self._process_reactor = reactor

    def send(self, attempt: Attempt, address: tuple[str, int]) -> None:
        """Send a request to the server at `address`; the attempt fails if there is no reachable one."""
        attempt.target.in_flight += 1
        world, reactor = self._machine.world, self._process_reactor
        server = world.servers.get(address)
        if server is None:
            world.after(CONNECT_TIMEOUT_S, reactor.run, attempt.end, EndReason.UNREACHABLE)
            return
        delay_s = world.network.delay_s(self._machine.zone, server.zone)
        if server.is_down:
            world.after(CONNECT_TIMEOUT_S, reactor.run, attempt.end, EndReason.UNREACHABLE)
            return
        if server.is_removed:
            world.after(2 * delay_s, reactor.run, attempt.end, EndReason.UNREACHABLE)
            return
        attempt.is_written = True
        attempt.sent_at = world.now
        world.observe("attempt", self._machine.name, server.id, bytes(attempt.data))
        request = ServerRequest(attempt, self._machine, reactor, delay_s, attempt.sent_at)
        world.after(delay_s, server.receive, request)
