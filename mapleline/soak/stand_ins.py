"""Simulated cloud platform and servers of a soak test, as asyncio servers on loopback."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable, Coroutine
from contextlib import suppress
from dataclasses import dataclass

from .history import ServerRun, SoakHistory
from .http_io import NO_ANSWER_ERRORS, Message, encode_message, read_message
from .layout import PLATFORM_ADDRESS, SERVER_NETWORK, SERVER_PORT, ZONES

SERVICE = "agenda"
SERVERS_PER_ZONE = 3
SERVER_SLOTS = 8
MIN_SERVICE_TIME_S = 0.005
MAX_SERVICE_TIME_S = 0.03


@dataclass(frozen=True, slots=True)
class ServerSpec:
    """One simulated server."""

    id: str
    zone: str
    host: str


def server_specs() -> list[ServerSpec]:
    """Return the servers of all zones."""
    return [
        ServerSpec(f"i-{zone}-{number}", zone, f"127.{SERVER_NETWORK + index}.0.{number}")
        for index, zone in enumerate(ZONES)
        for number in range(1, SERVERS_PER_ZONE + 1)
    ]


ConnectionHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Coroutine[None, None, None]]


class StandIns:
    """All simulated servers and the cloud platform."""

    def __init__(self, history: SoakHistory, rng: random.Random, break_off_rate: float) -> None:
        """Initialise without listening.

        Args:
            history: Records every run at a server.
            rng: Source of all random choices.
            break_off_rate: Share of answers that servers drop by closing the connection.
        """
        self._history = history
        self._rng = rng
        self._break_off_rate = break_off_rate
        self._servers: list[asyncio.Server] = []

    async def start(self) -> None:
        """Start to listen on all addresses."""
        specs = server_specs()
        for spec in specs:
            self._servers.append(await asyncio.start_server(self._server_handler(spec), spec.host, SERVER_PORT))
        instance_page = _instance_list(specs)

        async def serve_platform(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with suppress(*NO_ANSWER_ERRORS):
                while True:
                    await read_message(reader)
                    writer.write(encode_message("HTTP/1.1 200 OK", {}, instance_page))
            writer.close()

        self._servers.append(await asyncio.start_server(serve_platform, *PLATFORM_ADDRESS))

    def stop(self) -> None:
        """Stop listening."""
        for server in self._servers:
            server.close()

    def _server_handler(self, spec: ServerSpec) -> ConnectionHandler:
        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with suppress(*NO_ANSWER_ERRORS):
                while True:
                    request = await read_message(reader)
                    answer = await self._serve(spec, request)
                    if answer is None:
                        break
                    writer.write(answer)
            writer.close()

        return handle

    async def _serve(self, spec: ServerSpec, request: Message) -> bytes | None:
        """Run a request and return the answer; None to close the connection without one."""
        headers = {"Instance-Id": spec.id, "Server-Load": f"1,0,{SERVER_SLOTS}"}
        request_id = request.headers.get("request-id")
        if request_id is None:  # a health probe
            return encode_message("HTTP/1.1 200 OK", headers)
        if request.headers.get("expect-instance", spec.id) != spec.id:
            return encode_message("HTTP/1.1 421 Misdirected Request", headers)
        now = asyncio.get_running_loop().time()
        self._history.runs.append(ServerRun(request_id, request.headers.get("tenant", ""), spec.id, now))
        await asyncio.sleep(self._rng.uniform(MIN_SERVICE_TIME_S, MAX_SERVICE_TIME_S))
        if self._rng.random() < self._break_off_rate:
            return None
        headers |= {"Server-Stamp": f"stamp-{request_id}", "Request-Id": request_id}
        return encode_message("HTTP/1.1 200 OK", headers, request_id.encode())


def _instance_list(specs: list[ServerSpec]) -> bytes:
    """Return the platform's list of instances as JSON."""
    entries = [
        {
            "instance_id": spec.id,
            "target_service": SERVICE,
            "address": f"{spec.host}:{SERVER_PORT}",
            "zone": spec.zone,
            "config_version": "1",
            "slot_count": SERVER_SLOTS,
            "state": "ready",
            "cold_left": "0ms",
        }
        for spec in specs
    ]
    return json.dumps({"instance_list": entries, "next_token": None}).encode()
