"""Open-loop client traffic: requests arrive at random, independently of earlier results, and are retried once."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass

from .client_connection import ClientRequest, IngressListener
from .history import STATUS_OK, ClientAttempt, DirectoryLookup, History
from .machine import Machine
from .workload import HOST, IDEMPOTENT, ROUTES, TENANTS, Route, api_keys
from .world import World

DIRECTORY_REFRESH_S = 2.0
STICKY_SHARE = 0.1
"""Share of the attempts that go to the machines of the first directory response."""
TENANT_WEIGHTS = [5, 2, 1, 3]
"""Relative request rates of `TENANTS`."""
RETRYABLE_STATUSES = frozenset({429, 503})
"""Statuses that guarantee that the request was not executed."""
SERVER_ERROR = 500
DEFAULT_RETRY_S = 0.05
RETRY_TIME_DIVISOR = 3
"""A client retries only if the wait is shorter than the time left to the deadline divided by this number."""
UPLOAD_BODY = b"s" * 1000


@dataclass(frozen=True, slots=True)
class _LogicalRequest:
    """A client's request; all of its attempts share it."""

    path: str
    route: Route
    tenant: str
    zone: str
    deadline_at: float


class ClientTraffic:
    """The clients of all zones."""

    def __init__(self, world: World, history: History, load: float) -> None:
        """Create clients that send `load` times the usual request rates after `start`."""
        self._world = world
        self._history = history
        self._load = load
        self._request_count = 0
        self.directory: dict[str, list[Machine]] = {}
        """The machines of the latest directory response, by the clients' zone."""
        self.sticky_machines: dict[str, list[Machine]] = {}
        """The machines of the first directory response, which some clients keep using."""
        self.load_factors: dict[str, float] = {}
        """Factor on the usual load, by tenant; 1 where a tenant is missing."""
        self.stops_at = float("inf")
        """The moment after which no new request arrives, in seconds."""

    def start(self, zones: dict[str, str]) -> None:
        """Start the traffic of each zone."""
        for zone in zones:
            self._refresh_directory(zone)
            for route_name in ROUTES:
                self._world.after(self._world.rng.random(), self._arrive, zone, route_name)

    # -- directory -----------------------------------------------------------------------------------------

    def _refresh_directory(self, zone: str) -> None:
        """Query the directory for the clients of a zone, and repeat this every `DIRECTORY_REFRESH_S`."""
        world = self._world
        world.after(DIRECTORY_REFRESH_S, self._refresh_directory, zone)
        region = world.zones[zone]
        nearby = [machine for machine in world.known_machines if world.zones[machine.zone] == region]
        machine = world.rng.choice(nearby or world.known_machines)

        def handle_response(status: int, body: bytes, _: bytes) -> None:
            self._history.lookups.append(DirectoryLookup(world.now, machine.name, status))
            if status == STATUS_OK:
                self._store_directory(zone, body)

        world.send_request(
            machine,
            ClientRequest("GET", _lookup_path(region, zone), listener=IngressListener.DIRECTORY),
            handle_response,
        )

    def _store_directory(self, zone: str, body: bytes) -> None:
        addresses = [address.split(":")[0] for address in json.loads(body)["address_list"]]
        machines = [machine for machine in self._world.machines.values() if machine.address in addresses]
        self.directory[zone] = machines
        self.sticky_machines.setdefault(zone, machines)

    def look_up(self, machine: Machine) -> None:
        """Query a machine's directory; only the status of the response is recorded."""
        world = self._world

        def handle_response(status: int, _body: bytes, _headers: bytes) -> None:
            self._history.lookups.append(DirectoryLookup(world.now, machine.name, status))

        path = _lookup_path(world.zones[machine.zone], machine.zone)
        world.send_request(machine, ClientRequest("GET", path, listener=IngressListener.DIRECTORY), handle_response)

    # -- requests ------------------------------------------------------------------------------------------

    def _arrive(self, zone: str, route_name: str) -> None:
        """Send one request of a route from a zone, and schedule the next after an exponentially distributed time."""
        world = self._world
        route = ROUTES[route_name]
        if world.now > self.stops_at:
            return
        weights = [
            weight * self.load_factors.get(tenant, 1.0) for tenant, weight in zip(TENANTS, TENANT_WEIGHTS, strict=True)
        ]
        [tenant] = world.rng.choices(TENANTS, weights)
        total_factor = max(self.load_factors.values(), default=1.0) ** 0.5
        self._request_count += 1
        request = _LogicalRequest(f"/{route_name}/x", route, tenant, zone, world.now + route.deadline_s)
        self._attempt(f"q{self._request_count}", request, retries_left=1)
        interval_s = world.rng.expovariate(route.requests_per_s * self._load * total_factor)
        world.after(interval_s, self._arrive, zone, route_name)

    def _attempt(self, attempt_id: str, request: _LogicalRequest, retries_left: int, avoided: str = "") -> None:
        """Send one attempt to a random machine that the client knows of, except to `avoided`."""
        world = self._world
        machine = self._choose_machine(request.zone, avoided)
        # clients keep using an API key after its revocation
        api_key = world.rng.choice(api_keys(request.tenant))
        attempt = ClientAttempt(attempt_id, request.route.kind, request.tenant, api_key, request.zone, world.now)
        self._history.attempts[attempt_id] = attempt

        def handle_response(status: int, _: bytes, headers: bytes) -> None:
            if attempt.status is not None:
                return
            attempt.status = status
            attempt.ended_at = world.now
            attempt.server_stamp = _header(headers, b"server-stamp: s-").decode()
            if retries_left and _may_retry(request.route, status):
                self._schedule_retry(attempt, request, retries_left, machine, headers)

        self._send(machine, attempt, request, handle_response)

    def _choose_machine(self, zone: str, avoided: str) -> Machine:
        world = self._world
        is_sticky = world.rng.random() < STICKY_SHARE
        known = self.sticky_machines if is_sticky else self.directory
        machines = [machine for machine in known.get(zone, ()) if machine.name != avoided]
        return world.rng.choice(machines or list(world.machines.values()))

    def _send(
        self,
        machine: Machine,
        attempt: ClientAttempt,
        request: _LogicalRequest,
        on_response: Callable[[int, bytes, bytes], None],
    ) -> None:
        """Send the attempt; it ends without a response at the client's deadline."""
        world = self._world
        left_s = request.deadline_at - world.now
        headers = {
            "Host": HOST,
            "Request-Id": attempt.id,
            "Authorization": f"Bearer {attempt.api_key}",
            "Deadline-Ms": str(max(1, int(1000 * left_s))),
        }
        is_idempotent = request.route.kind == IDEMPOTENT
        method = "GET" if is_idempotent else "POST"
        body = b"" if is_idempotent else UPLOAD_BODY
        world.send_request(machine, ClientRequest(method, request.path, headers, body), on_response)
        world.after(max(0.0, left_s), on_response, 0, b"", b"")

    def _schedule_retry(
        self,
        attempt: ClientAttempt,
        request: _LogicalRequest,
        retries_left: int,
        machine: Machine,
        headers: bytes,
    ) -> None:
        """Retry after the `Retry-After` time of the response, unless too little time is left to the deadline."""
        retry_after = _header(headers, b"Retry-After: ")
        wait_s = float(retry_after) if b"Retry-After: " in headers else DEFAULT_RETRY_S
        if wait_s < (request.deadline_at - self._world.now) / RETRY_TIME_DIVISOR:
            retry_id = f"{attempt.id}.{retries_left}"
            self._world.after(wait_s, self._attempt, retry_id, request, retries_left - 1, machine.name)


def _lookup_path(region: str, zone: str) -> str:
    return f"/lookup?name={HOST}&region={region}&zone={zone}"


def _header(headers: bytes, prefix: bytes) -> bytes:
    """Return the text that follows the prefix on its line; empty if there is no such line."""
    return headers.partition(prefix)[2].partition(b"\r\n")[0]


def _may_retry(route: Route, status: int) -> bool:
    """Return whether a client may retry: the request was not executed, or is idempotent."""
    if status in RETRYABLE_STATUSES:
        return True
    return route.kind == IDEMPOTENT and (status == 0 or status >= SERVER_ERROR)
