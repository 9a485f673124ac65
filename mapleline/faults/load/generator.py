"""The load generator: draws requests, sends each to an ingress, and logs its outcome."""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field

from ..addresses import CONNECT_TIMEOUT_S, LOOPBACK
from ..logs import EventLogs
from ..reactor import Reactor
from ..schedule import FleetSettings
from .connection import LoadConnection, LoadConnectionFactory, Response
from .request import LoadRequest, RequestClass, encode_request

UNUSED_CONNECTION_S = 1.5  # unused connections of this age get no request, because ingresses close them at 2.4 s
RETRY_INTERVAL_S = 1.0  # between a client's attempts with the same id
CONNECT_RETRY_S = 0.05  # delay after a failed connection
MAX_CONNECTIONS = 400  # limit of open connections to one ingress
SEED_BITS = 64
FOREIGN_BODY_BYTES = 80  # bytes of a wrong answer that the log keeps
SERVED_STATUS = 200
CONFLICT_STATUS = 409  # another ingress processes the request; the client retries


@dataclass(slots=True)
class IngressQueue:
    """The connections to one ingress and the requests that wait for a connection."""

    name: str
    port: int
    idle: list[LoadConnection] = field(default_factory=list)
    waiting: deque[LoadRequest] = field(default_factory=deque)
    open_connections: int = 0


class LoadGenerator:
    """Sends the schedule's load to the members of the fleet."""

    def __init__(
        self,
        reactor: Reactor,
        ports: dict[str, int],
        members: set[str],
        fleet: FleetSettings,
        logs: EventLogs,
        generator: random.Random,
        has_own_answers: bool = False,
    ) -> None:
        """Initialise without connections; `start` begins the load.

        Args:
            reactor: The event loop.
            ports: Port of each ingress, by name.
            members: Ingresses that receive requests; the controller changes the set.
            fleet: The schedule's `fleet` block.
            logs: Logs that receive the events, under the source `load`.
            generator: Source of the seeds of the load's own random generators.
            has_own_answers: Whether stand-ins, whose answers differ from the servers', take the ingresses' place.
        """
        self.reactor = reactor
        self._members = members
        self._fleet = fleet
        self._logs = logs
        self._has_own_answers = has_own_answers
        self._arrival_random = random.Random(generator.getrandbits(SEED_BITS))
        self._request_random = random.Random(generator.getrandbits(SEED_BITS))
        self._queues = {name: IngressQueue(name, port) for name, port in ports.items()}
        self._pending: dict[str, LoadConnection | None] = {}  # by id; None while it waits for a connection
        self._request_count = 0
        self._is_finished = False

    def start(self, duration_s: float) -> None:
        """Draw all arrivals of the load and set a timer for each."""
        fleet = self._fleet
        at = 0.0
        while True:
            at += self._arrival_random.expovariate(fleet.rate)
            if at >= duration_s:
                break
            ingress_draw = self._arrival_random.random()
            customer = self._draw_customer()
            self.reactor.callLater(at, self._send_new, ingress_draw, customer, int(at / fleet.shift_s))

    def finish(self) -> None:
        """End the load; log all open requests as unanswered."""
        self._is_finished = True
        for queue in self._queues.values():
            for request in queue.waiting:
                self._pending.pop(request.id, None)
                self._log("unanswered", id=request.id, ingress=queue.name)
        for request_id, connection in list(self._pending.items()):
            self._log("unanswered", id=request_id, ingress=connection.ingress if connection else "")

    def requests_at(self, ingress: str) -> list[str]:
        """Return the ids of the requests that were sent to an ingress and have no answer yet."""
        return [
            request_id
            for request_id, connection in self._pending.items()
            if connection is not None and connection.ingress == ingress
        ]

    # -- events of connections ------------------------------------------------------------------------------

    def handle_connected(self, connection: LoadConnection) -> None:
        """Use a new connection for waiting requests."""
        queue = self._queues[connection.ingress]
        queue.idle.append(connection)
        self._send_waiting(queue)

    def handle_response(self, connection: LoadConnection, request: LoadRequest, response: Response) -> None:
        """Log a response, or retry the request after a conflict."""
        queue = self._queues[connection.ingress]
        self._pending.pop(request.id, None)
        if response.status != CONFLICT_STATUS or not self._retry(request, "in hand"):
            self._log_answer(queue.name, request, response)
        if not response.is_closing and not self._is_finished:
            queue.idle.append(connection)
        self._send_waiting(queue)

    def handle_closed(self, connection: LoadConnection, request: LoadRequest | None) -> None:
        """Handle the end of a connection and of the unanswered request on it, if any."""
        queue = self._queues[connection.ingress]
        queue.open_connections -= 1
        if connection in queue.idle:
            queue.idle.remove(connection)
        if self._is_finished:
            return
        if request is not None:
            self._handle_cut_off(queue, request, "connection ended")
        self._send_waiting(queue)

    def _handle_connect_failed(self, ingress: str) -> None:
        """Cut off the first request that waits for a connection, after a connection failed."""
        queue = self._queues[ingress]
        queue.open_connections -= 1
        if queue.waiting:
            self._handle_cut_off(queue, queue.waiting.popleft(), "no connection")
            self.reactor.callLater(CONNECT_RETRY_S, self._send_waiting, queue)

    # -- requests ----------------------------------------------------------------------------------------------

    def _draw_customer(self) -> int:
        """Return a random customer number; the first `hot` customers send `hot_share` of the load."""
        fleet = self._fleet
        hot_draw = self._arrival_random.random()
        customer_draw = self._arrival_random.random()
        if fleet.hot and hot_draw < fleet.hot_share:
            return int(customer_draw * fleet.hot)
        return fleet.hot + int(customer_draw * (fleet.customers - fleet.hot))

    def _draw_class(self) -> RequestClass:
        fleet = self._fleet
        draw = self._request_random.random()
        if draw < fleet.once_share:
            return RequestClass.BOOK
        if draw < fleet.once_share + fleet.keyed_share:
            return RequestClass.PAY
        return RequestClass.LOOK

    def _choose_ingress(self, members: list[str], draw: float, shift: int) -> str:
        """Return the ingress for a request; a share `lean` of requests goes to the ingress favoured in period `shift`.

        Args:
            members: Names of the members, sorted.
            draw: Random number in [0, 1).
            shift: Number of periods of `shift_s` seconds that have passed.
        """
        lean = self._fleet.lean
        if draw < lean:
            return members[shift % len(members)]
        return members[int((draw - lean) / (1 - lean) * len(members))]

    def _send_new(self, ingress_draw: float, customer: int, shift: int) -> None:
        """Send a new request to one of the current members."""
        members = sorted(self._members)
        if self._is_finished or not members:
            return
        fleet = self._fleet
        ingress = self._choose_ingress(members, ingress_draw, shift)
        self._request_count += 1
        request_id = f"{fleet.seed:x}-{self._request_count:08x}"
        request_class = self._draw_class()
        data = encode_request(request_id, request_class, customer, fleet.timeout_ms, len(self._queues))
        timeout_ms = fleet.timeout_ms + int(1000 * fleet.retry_s)
        self._log(
            "sent", id=request_id, ingress=ingress, customer=customer, cls=request_class.value, timeout_ms=timeout_ms
        )
        retry_until = self.reactor.seconds() + fleet.retry_s if fleet.retry_s > 0 else 0.0
        self._enqueue(ingress, LoadRequest(request_id, data, retry_until))

    def _retry(self, request: LoadRequest, reason: str) -> bool:
        """Schedule a retry with the same id at a random ingress; return False if the client doesn't retry any more."""
        if self.reactor.seconds() >= request.retry_until or self._is_finished:
            return False
        self._log("again", id=request.id, why=reason)
        self._pending[request.id] = None
        self.reactor.callLater(RETRY_INTERVAL_S, self._send_again, request)
        return True

    def _send_again(self, request: LoadRequest) -> None:
        members = sorted(self._members)
        if self._is_finished or not members:
            return
        ingress = members[int(self._request_random.random() * len(members))]
        self._log("sent again", id=request.id, ingress=ingress)
        self._enqueue(ingress, request)

    def _handle_cut_off(self, queue: IngressQueue, request: LoadRequest, reason: str) -> None:
        """Retry a request whose connection ended or failed, or log it as cut off."""
        self._pending.pop(request.id, None)
        if not self._retry(request, reason):
            self._log("cut off", id=request.id, ingress=queue.name, why=reason)

    def _enqueue(self, ingress: str, request: LoadRequest) -> None:
        self._pending[request.id] = None
        queue = self._queues[ingress]
        queue.waiting.append(request)
        self._send_waiting(queue)

    def _send_waiting(self, queue: IngressQueue) -> None:
        """Send waiting requests on idle connections, and open another connection if some remain."""
        while queue.waiting and queue.idle:
            connection = queue.idle.pop()
            unused_s = self.reactor.seconds() - connection.created_at
            if not connection.was_used and unused_s > UNUSED_CONNECTION_S:
                connection.transport.loseConnection()  # an ingress is about to close it as idle
                continue
            request = queue.waiting.popleft()
            self._pending[request.id] = connection
            connection.send(request)
        if queue.waiting and queue.open_connections < MAX_CONNECTIONS:
            queue.open_connections += 1
            factory = LoadConnectionFactory(self, queue.name, self._handle_connect_failed)
            self.reactor.connectTCP(LOOPBACK, queue.port, factory, timeout=CONNECT_TIMEOUT_S)

    def _log_answer(self, ingress: str, request: LoadRequest, response: Response) -> None:
        details: dict[str, object] = {}
        if response.is_outcome_unknown:
            details["unknown"] = True
        is_foreign = response.status == SERVED_STATUS and response.body != request.id.encode()
        if is_foreign and not self._has_own_answers:
            details["foreign"] = response.body[:FOREIGN_BODY_BYTES].decode("latin-1")
        self._log("answer", id=request.id, ingress=ingress, status=response.status, **details)

    def _log(self, event: str, **fields: object) -> None:
        self._logs.write("load", event, **fields)
