"""Open-loop load from one process: arrivals are drawn ahead, and latency counts from when each was due.

What is due while every connection is busy waits for one, and its waiting counts (no coordinated omission).
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

LOWEST_US, HIGHEST_US, DIGITS = 1, 60_000_000, 3
GRACE_S = 3.0  # for answers after the last arrival


def histogram() -> HdrHistogram:
    """Latencies in whole microseconds."""
    return HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)


class Connection(asyncio.Protocol):
    """One client connection: one request at a time."""

    def __init__(self, load: Load) -> None:
        self.load, self.data = load, b""
        self.due = -1.0

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.load.rest(self)

    def ask(self, due: float, request: bytes) -> None:
        self.due = due
        self.transport.write(request)

    def data_received(self, data: bytes) -> None:
        data = self.data + data if self.data else data
        end = data.find(b"\r\n\r\n")
        if end >= 0:
            at = data.find(b"Content-Length: ", 0, end)
            length = int(data[at + 16 : data.find(b"\r\n", at)])
            if len(data) >= end + 4 + length:
                self.data = b""
                return self.load.answered(self, int(data[9:12]))
        self.data = data

    def connection_lost(self, reason: Exception | None) -> None:
        self.load.lost(self)


class Load:
    """One process's share of the load."""

    def __init__(self, told: dict[str, Any]) -> None:
        self.told = told
        rng = numpy.random.default_rng(told["seed"])
        self.seconds, many = told["seconds"], int(told["rate"] * told["seconds"] * 1.3) + 100
        self.due = numpy.cumsum(rng.exponential(1.0 / told["rate"], many))
        self.due = self.due[self.due < self.seconds].tolist()
        # A part of the load comes from metered customers, who ask for more than their quota.
        metered = rng.random(len(self.due)) < told["metered_share"]
        customers = rng.integers(told["metered"], told["customers"], len(self.due))
        customers[metered] = rng.integers(0, told["metered"], int(metered.sum()))
        self.customers = customers.tolist()
        self.prefix = b"%08x" % (told["seed"] & 0xFFFFFFFF)
        self.idle: deque[Connection] = deque()
        self.backlog: deque[int] = deque()
        self.latency, self.lag = histogram(), histogram()
        self.ends: Counter[str] = Counter()
        self.out = 0

    def request(self, n: int) -> bytes:
        customer = self.customers[n]
        plan = b"metered" if customer < self.told["metered"] else b"wide"
        return (
            b"GET /look/%016x HTTP/1.1\r\nHost: a\r\nX-Request-ID: %b%08x\r\nX-Tariff: %b\r\n"
            b"X-Timeout-Ms: 2000\r\nX-Weight: units=1,spread=1,first=0\r\n\r\n" % (customer, self.prefix, n, plan)
        )

    def rest(self, connection: Connection) -> None:
        if self.backlog:
            self._send(connection, self.backlog.popleft())
        else:
            self.idle.append(connection)

    def _send(self, connection: Connection, n: int) -> None:
        self.out += 1
        due = self.start + self.due[n]
        self.lag.record_value(max(1, int((time.monotonic() - due) * 1e6)))
        connection.ask(due, self.request(n))

    def answered(self, connection: Connection, status: int) -> None:
        self.out -= 1
        taken = max(1, int((time.monotonic() - connection.due) * 1e6))
        self.latency.record_value(min(taken, HIGHEST_US - 1))
        self.ends[str(status)] += 1
        connection.due = -1.0
        self.rest(connection)

    def lost(self, connection: Connection) -> None:
        if connection.due >= 0:
            self.out -= 1
            self.ends["lost"] += 1
        elif connection in self.idle:
            self.idle.remove(connection)

    async def run(self) -> dict[str, Any]:
        loop = asyncio.get_running_loop()
        host, port = self.told["address"]
        for _ in range(self.told["connections"]):
            await loop.create_connection(lambda: Connection(self), host, port)
        gc.collect()
        gc.disable()
        self.start = max(self.told["start"], time.monotonic())
        n, due, many = 0, self.due, len(self.due)
        while n < many:
            into = time.monotonic() - self.start
            while n < many and due[n] <= into:
                if self.idle:
                    self._send(self.idle.popleft(), n)
                else:
                    self.backlog.append(n)
                n += 1
            if n < many:
                await asyncio.sleep(max(0.0, min(0.001, due[n] - into)))
        end = time.monotonic() + GRACE_S
        while (self.out or self.backlog) and time.monotonic() < end:
            await asyncio.sleep(0.01)
        self.ends["unanswered"] += self.out + len(self.backlog)
        cpu = sum(os.times()[:2])
        return {
            "offered": many,
            "ends": dict(self.ends),
            "latency": self.latency.encode().decode(),
            "lag": self.lag.encode().decode(),
            "cpu_s": cpu,
        }


def main() -> None:
    import uvloop

    print(orjson.dumps(uvloop.run(Load(orjson.loads(sys.argv[1])).run())).decode(), flush=True)


if __name__ == "__main__":
    main()
