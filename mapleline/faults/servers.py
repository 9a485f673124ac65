"""Simulated agenda servers of a zone in one process, with slow start, failure on overload, and a record of all runs.

Each line of the record (`zone-Z.jsonl`) is an event of a server: `run` (id, class, number of requests in progress),
`repeat`, `turned away`, `fell over`, `back`.  An overloaded server falls over: it resets its connections, and new ones
while it is down, and then starts cold.
"""

from __future__ import annotations

import asyncio
import sys
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import BinaryIO

import orjson

from ..lab.standins import OK, Http
from .addresses import LOOPBACK
from .zone_settings import ZoneSettings

REFUSED_RESPONSE = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
HEALTHY_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
HEALTH_CHECK = b"GET /health/live "
REQUEST_ID_HEADER = b"x-request-id: "
IDEMPOTENCY_KEY_HEADER = b"\r\nidempotency-key: "


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The parts of a request's head that a server uses."""

    request_id: str
    request_class: str
    is_keyed: bool

    @classmethod
    def parse(cls, head: bytes) -> RequestHead:
        """Read the request line and the headers; the path begins with the class."""
        request_line, _, headers = head.partition(b"\r\n")
        lowercase = headers.lower()
        start = lowercase.find(REQUEST_ID_HEADER) + len(REQUEST_ID_HEADER)
        end = headers.find(b"\r\n", start)
        request_id = headers[start:end] if end > 0 else headers[start:]
        request_class = request_line.split(b"/")[1]
        return cls(request_id.decode(), request_class.decode(), IDEMPOTENCY_KEY_HEADER in lowercase)


class AgendaServer:
    """One agenda server; its connections pass each request to `answer`."""

    def __init__(self, uid: str, settings: ZoneSettings, record: BinaryIO, processed_keys: set[str]) -> None:
        """Initialise without requests.

        Args:
            uid: Name of the server in the endpoint list and in the record.
            settings: Settings of the zone.
            record: File to which record lines are appended.
            processed_keys: Ids of requests with an idempotency key that have run; all servers of the process share it.
        """
        self._uid = uid
        self._settings = settings
        self._record = record
        self._processed_keys = processed_keys
        self._started_at = time.time() if settings.is_cold else 0.0
        self._down_until = 0.0
        self._arrivals: deque[float] = deque()
        self._connections: set[Http] = set()
        self._in_work = 0

    def answer(self, head: bytes, connection: Http) -> bytes | None:
        """Handle a request.

        Args:
            head: The request line and headers.
            connection: Connection of the request; a delayed answer is written to it.

        Returns:
            The immediate answer; None if the answer is delayed or there is none.
        """
        now = time.time()
        self._connections.add(connection)
        if now < self._down_until:
            connection.transport.abort()
            return None
        if head.startswith(HEALTH_CHECK):
            return HEALTHY_RESPONSE
        if self._down_until:
            self._restart_cold(now)
        request = RequestHead.parse(head)
        if request.is_keyed:
            if request.request_id in self._processed_keys:
                self._write_record("repeat", id=request.request_id)
                return _served_response(request)
            self._processed_keys.add(request.request_id)
        if self._is_overloaded(now):
            self._fall_over(now)
            return None
        if self._in_work >= self._settings.slots:
            self._write_record("turned away", id=request.request_id)
            return REFUSED_RESPONSE
        self._run(request, connection, now)
        return None

    def _run(self, request: RequestHead, connection: Http, now: float) -> None:
        """Start a request and set the timer of its answer."""
        self._in_work += 1
        self._write_record("run", id=request.request_id, cls=request.request_class, in_work=self._in_work)
        loop = asyncio.get_running_loop()
        loop.call_later(self._settings.work_s, self._finish, connection, request, now)

    def _finish(self, connection: Http, request: RequestHead, began_at: float) -> None:
        """Answer a request, unless the server has fallen over since its start and lost it."""
        if began_at < self._started_at or self._down_until:
            return
        self._in_work -= 1
        if not connection.transport.is_closing():
            connection.transport.write(_served_response(request))

    def _is_overloaded(self, now: float) -> bool:
        """Count an arrival; return whether the arrivals in the window exceed the limit."""
        settings = self._settings
        if settings.capacity_per_s <= 0:
            return False
        self._arrivals.append(now)
        while self._arrivals[0] < now - settings.overload_window_s:
            self._arrivals.popleft()
        return len(self._arrivals) > self._max_arrivals(now)

    def _max_arrivals(self, now: float) -> float:
        """Return the greatest number of arrivals in the window that does not make the server fall over."""
        return self._settings.overload_factor * self._capacity_per_s(now) * self._settings.overload_window_s

    def _capacity_per_s(self, now: float) -> float:
        """Return the capacity in requests per second, which rises while the server warms up."""
        settings = self._settings
        warm_up_progress = min(1.0, (now - self._started_at) / settings.warm_up_s)
        return settings.capacity_per_s * (settings.cold_share + (1 - settings.cold_share) * warm_up_progress)

    def _fall_over(self, now: float) -> None:
        """Reset every connection and drop all requests in progress."""
        self._write_record("fell over", arrivals=len(self._arrivals), most=self._max_arrivals(now))
        self._down_until = now + self._settings.down_s
        self._arrivals.clear()
        for connection in self._connections:
            connection.transport.abort()
        self._connections.clear()
        self._in_work = 0

    def _restart_cold(self, now: float) -> None:
        """Start again in the cold state."""
        self._down_until = 0.0
        self._started_at = now
        self._write_record("back")

    def _write_record(self, event: str, **fields: str | float) -> None:
        line = {"at": time.time(), "event": event, "server": self._uid, **fields}
        self._record.write(orjson.dumps(line) + b"\n")


def _served_response(request: RequestHead) -> bytes:
    """Return the answer to a request that has run; its body is the request id."""
    body = request.request_id.encode()
    return OK % (len(body), body)


async def serve(settings: ZoneSettings, record: BinaryIO) -> None:
    """Run the servers until standard input closes; print their ports as one JSON line."""
    loop = asyncio.get_running_loop()
    processed_keys: set[str] = set()
    ports = []
    for number in range(settings.servers):
        server = AgendaServer(f"s-{settings.zone}{number}", settings, record, processed_keys)
        listener = await loop.create_server(_connection_factory(server), LOOPBACK, 0)
        ports.append(listener.sockets[0].getsockname()[1])
    print(orjson.dumps(ports).decode(), flush=True)
    await loop.run_in_executor(None, sys.stdin.read)


def _connection_factory(server: AgendaServer) -> Callable[[], Http]:
    return lambda: Http(server)


def main() -> None:
    """Run the servers that the command line's argument describes."""
    import uvloop

    settings = ZoneSettings.from_json(sys.argv[1])
    with open(settings.record, "ab", buffering=0) as record:
        uvloop.run(serve(settings, record))


if __name__ == "__main__":
    main()
