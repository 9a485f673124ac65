"""Open-loop load generator: arrival times are drawn in advance, and latency is measured from the scheduled time.

A request that is due while every connection is busy waits for a free one.  This wait is part of its latency, which
avoids coordinated omission.
"""

from __future__ import annotations

import asyncio
import gc
import os
import sys
import time
from collections import Counter, deque
from typing import Any

import numpy
import orjson
from hdrh.histogram import HdrHistogram

MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS = 1, 60_000_000, 3
GRACE_S = 3.0  # wait for responses after the last arrival


def histogram() -> HdrHistogram:
    """Return an empty histogram of latencies in whole microseconds."""
    return HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


class Connection(asyncio.Protocol):
    """A client connection with one request in flight at a time."""

    def __init__(self, load: Load) -> None:
        self.load, self.data = load, b""
        self.due = -1.0

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.load.release(self)

    def send(self, due: float, request: bytes) -> None:
        """Send a request that was scheduled for the monotonic time `due`, in seconds."""
        self.due = due
        self.transport.write(request)

    def data_received(self, data: bytes) -> None:
        data = self.data + data if self.data else data
        end = data.find(b"\r\n\r\n")
        if end >= 0:
            start = data.find(b"Content-Length: ", 0, end)
            length = int(data[start + 16 : data.find(b"\r\n", start)])
            if len(data) >= end + 4 + length:
                self.data = b""
                return self.load.answered(self, int(data[9:12]))
        self.data = data

    def connection_lost(self, reason: Exception | None) -> None:
        self.load.lost(self)


class Load:
    """The load of one process."""

    def __init__(self, settings: dict[str, Any]) -> None:
        self.settings = settings
        rng = numpy.random.default_rng(settings["seed"])
        self.seconds, draws = settings["seconds"], int(settings["rate"] * settings["seconds"] * 1.3) + 100
        self.due = numpy.cumsum(rng.exponential(1.0 / settings["rate"], draws))
        self.due = self.due[self.due < self.seconds].tolist()
        # A part of the load comes from metered customers, whose load exceeds their quota.
        metered = rng.random(len(self.due)) < settings["metered_share"]
        customers = rng.integers(settings["metered"], settings["customers"], len(self.due))
        customers[metered] = rng.integers(0, settings["metered"], int(metered.sum()))
        self.customers = customers.tolist()
        self.prefix = b"%08x" % (settings["seed"] & 0xFFFFFFFF)
        self.idle: deque[Connection] = deque()
        self.backlog: deque[int] = deque()
        self.latency, self.lag = histogram(), histogram()
        self.ends: Counter[str] = Counter()
        self.in_flight = 0

    def request(self, index: int) -> bytes:
        """Return the bytes of the request with this index."""
        customer = self.customers[index]
        plan = b"metered" if customer < self.settings["metered"] else b"wide"
        return (
            b"GET /look/%016x HTTP/1.1\r\nHost: a\r\nX-Request-ID: %b%08x\r\nX-Tariff: %b\r\n"
            b"X-Timeout-Ms: 2000\r\nX-Weight: units=1,spread=1,first=0\r\n\r\n" % (customer, self.prefix, index, plan)
        )

    def release(self, connection: Connection) -> None:
        """Use a free connection for the oldest request of the backlog, or keep it idle."""
        if self.backlog:
            self._send(connection, self.backlog.popleft())
        else:
            self.idle.append(connection)

    def _send(self, connection: Connection, index: int) -> None:
        self.in_flight += 1
        due = self.start + self.due[index]
        self.lag.record_value(max(1, int((time.monotonic() - due) * 1e6)))
        connection.send(due, self.request(index))

    def answered(self, connection: Connection, status: int) -> None:
        """Record the response on a connection and release the connection."""
        self.in_flight -= 1
        latency_us = max(1, int((time.monotonic() - connection.due) * 1e6))
        self.latency.record_value(min(latency_us, MAX_LATENCY_US - 1))
        self.ends[str(status)] += 1
        connection.due = -1.0
        self.release(connection)

    def lost(self, connection: Connection) -> None:
        """Record the loss of a connection, and of its request in flight."""
        if connection.due >= 0:
            self.in_flight -= 1
            self.ends["lost"] += 1
        elif connection in self.idle:
            self.idle.remove(connection)

    async def run(self) -> dict[str, Any]:
        """Generate the load and return its results."""
        loop = asyncio.get_running_loop()
        host, port = self.settings["address"]
        for _ in range(self.settings["connections"]):
            await loop.create_connection(lambda: Connection(self), host, port)
        gc.collect()
        gc.disable()
        self.start = max(self.settings["start"], time.monotonic())
        index, due, offered = 0, self.due, len(self.due)
        while index < offered:
            elapsed_s = time.monotonic() - self.start
            while index < offered and due[index] <= elapsed_s:
                if self.idle:
                    self._send(self.idle.popleft(), index)
                else:
                    self.backlog.append(index)
                index += 1
            if index < offered:
                await asyncio.sleep(max(0.0, min(0.001, due[index] - elapsed_s)))
        end = time.monotonic() + GRACE_S
        while (self.in_flight or self.backlog) and time.monotonic() < end:
            await asyncio.sleep(0.01)
        self.ends["unanswered"] += self.in_flight + len(self.backlog)
        cpu_s = sum(os.times()[:2])
        return {
            "offered": offered,
            "ends": dict(self.ends),
            "latency": self.latency.encode().decode(),
            "lag": self.lag.encode().decode(),
            "cpu_s": cpu_s,
        }


def main() -> None:
    """Run the load that the JSON argument describes, and print its results as JSON."""
    import uvloop

    print(orjson.dumps(uvloop.run(Load(orjson.loads(sys.argv[1])).run())).decode(), flush=True)


if __name__ == "__main__":
    main()
