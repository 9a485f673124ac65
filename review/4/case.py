"""Case 4: a connection to a server whose upload is not complete is used for another request."""

from __future__ import annotations

import asyncio
import hashlib
import socket
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from rig2 import TENANT, TROUBLE, Deployment, Server, configuration, play, read_head  # noqa: E402

ZONE = "zona-diez"
DOCUMENTS = 12
FIRST_BYTES = 1_048_577  # what a client sends of a document before it pauses
REST_BYTES = 2_000
STALL_S = 1.5  # how long the slow server does not read a document
DEADLINE_S = 4.0
BOOKINGS = 140  # 20 a second
BOOKING_BYTES = 7_000
ROUTES = {
    "r-documento": {
        "path_prefix": "/documento/",
        "route_kind": "idempotent",
        "timeout": "4000ms",
        "target_latency": "3000ms",
        "max_attempts": 2,
        "home_regions": ["guate-centro"],
    },
    "r-reserva": {
        "path_prefix": "/reserva/",
        "route_kind": "non_idempotent",
        "timeout": "4000ms",
        "target_latency": "1000ms",
        "max_attempts": 2,
        "home_regions": ["guate-centro"],
    },
}


class DocumentServer(Server):
    """A sound server with the segments of an Ethernet and a small window.

    It reads a whole request, runs it and answers.  If its deadline passes before that, it answers 503 with
    Not-Executed, reads the rest of that body without using it, and goes on to the next request (RFC 9112, section 9.3).
    Empty lines before a request are ignored (section 2.2).
    """

    is_slow = False  #: it does not read the bodies of documents for `STALL_S`

    async def start(self) -> None:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1448)
        sock.bind((self.host, self.port))
        self._server = await asyncio.start_server(self._handle, sock=sock, limit=1 << 16)

    async def _handle(self, reader, writer) -> None:
        try:
            while True:
                first = b"\n"
                while not first.strip():
                    first = await reader.readuntil(b"\n")
                line, headers = await self._read_head(first, reader)
                await self._answer(line, headers, reader, writer)
        except (EOFError, OSError, ValueError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _read_head(self, first, reader) -> tuple[list[str], dict[str, str]]:
        line = first.decode("latin-1").split()
        if len(line) != 3 or line[2] != "HTTP/1.1":
            raise ValueError(first)
        headers = {}
        while (one := (await reader.readuntil(b"\n")).decode("latin-1").strip()) != "":
            name, _, value = one.partition(":")
            headers[name.strip().lower()] = value.strip()
        return line, headers

    async def _answer(self, line, headers, reader, writer) -> None:
        record = self.deployment.record
        method, path, _ = line
        request_id = headers.get("request-id", "")
        size = int(headers.get("content-length", "0"))
        body = bytearray()

        async def read_body() -> None:
            if self.is_slow and path.startswith("/documento/"):
                await asyncio.sleep(STALL_S)
            while len(body) < size:
                part = await reader.read(min(size - len(body), 1 << 16))
                if not part:
                    raise EOFError
                body.extend(part)

        try:
            async with asyncio.timeout(int(headers.get("deadline-ms", "4000")) / 1000):
                await read_body()
        except TimeoutError:
            record.add(
                f"{self.id} turns {request_id} away at its deadline: 503 and Not-Executed, "
                f"{len(body)} of {size} bytes have come"
            )
            self._write(writer, "503 Service Unavailable", request_id, "Not-Executed: deadline\r\n")
            await read_body()
            record.add(f"{self.id} has the rest of the {size} bytes of {request_id}")
            return
        if headers.get("expect-instance", self.id) != self.id:
            self._write(writer, "421 Misdirected Request", request_id, "")
            return
        digest = hashlib.sha256(body).hexdigest()
        self.runs[request_id] = {"at": record.now(), "path": path, "size": size, "ended": 0.0, "digest": digest}
        record.add(f"{self.id} runs {request_id} for tenant {headers.get('tenant')}: {method} {path}, {size} bytes")
        self._write(writer, "200 OK", request_id, f"Server-Stamp: st-{request_id}\r\n")

    def _write(self, writer, status: str, request_id: str, lines: str) -> None:
        head = f"HTTP/1.1 {status}\r\nRequest-Id: {request_id}\r\n{lines}Keep-Alive: timeout=10\r\n"
        writer.write(f"{head}Server-Load: 1,0,16\r\nContent-Length: 5\r\n\r\ndone\n".encode())


async def read_status(reader) -> str:
    """Return the status of the answer, or why there is none."""
    try:
        async with asyncio.timeout(DEADLINE_S + 1):
            first, headers = await read_head(reader)
            await reader.readexactly(int(headers.get("content-length", "0")))
            return first.split(" ")[1]
    except (asyncio.IncompleteReadError, OSError):
        return "connection closed without an answer"
    except TimeoutError:
        return "no answer"


async def send(deployment: Deployment, method: str, path: str, request_id: str, parts: list[bytes]) -> str:
    """Send a request whose body comes in parts, 0.2 s apart, on a connection of its own; return the status."""
    reader, writer = await deployment.connect(ZONE)
    writer.write(deployment.head(method, path, request_id, DEADLINE_S, sum(map(len, parts))))
    deployment.record.add(f"{request_id} sent to {ZONE}: {method} {path}, {sum(map(len, parts))} bytes")
    for number, part in enumerate(parts):
        if number:
            await asyncio.sleep(0.2)
        writer.write(part)
    status = await read_status(reader)
    writer.close()
    deployment.record.add(f"{request_id} gets: {status}")
    return status


def booking_body(number: int) -> bytes:
    """Return the body of a booking: a note, and a copy of a request as the client's own log has it."""
    note = b"n" * (REST_BYTES - 400) + b"\n" * 350
    copy = (
        f"POST /reserva/7 HTTP/1.1\r\nHost: agenda.example\r\nRequest-Id: copia-{number}\r\n"
        "Deadline-Ms: 4000\r\nTenant: otra-clinica\r\nContent-Length: 0\r\n\r\n"
    ).encode()
    return (note + copy).ljust(BOOKING_BYTES, b"\n")


async def case(deployment: Deployment) -> list[str]:
    record = deployment.record
    deployment.servers = [
        DocumentServer(deployment, server.host, server.port, server.zone, number)
        for number, server in enumerate(deployment.servers)
    ]
    await deployment.start(configuration(1, ROUTES))
    await asyncio.sleep(5.0)  # beyond contact_window
    sent: dict[str, str] = {}

    def body_of(request_id: str, parts: list[bytes]) -> list[bytes]:
        sent[request_id] = hashlib.sha256(b"".join(parts)).hexdigest()
        return parts

    for number in range(20):  # usual traffic
        await send(deployment, "PUT", "/documento/1", f"previo-{number}", body_of(f"previo-{number}", [b"p" * 2000]))
    busiest = max(deployment.servers, key=lambda server: len(server.runs))
    if TROUBLE:
        busiest.is_slow = True
        record.add(f"{busiest.id} is the busiest, and slow from now on: it reads a document {STALL_S} s late")
    documents = []
    for number in range(DOCUMENTS):
        parts = [b"d" * (FIRST_BYTES - 1), b"d", b"e" * REST_BYTES]
        name = f"documento-{number}"
        documents.append(
            asyncio.create_task(send(deployment, "PUT", f"/documento/{number}", name, body_of(name, parts)))
        )
        await asyncio.sleep(0.05)
    bookings = []
    for number in range(BOOKINGS):
        name = f"reserva-{number}"
        parts = body_of(name, [booking_body(number)])
        bookings.append(asyncio.create_task(send(deployment, "POST", f"/reserva/{number}", name, parts)))
        await asyncio.sleep(0.05)
    results = await asyncio.gather(*bookings)
    await asyncio.gather(*documents)
    record.add(f"bookings by their answer: { {one: results.count(one) for one in sorted(set(results))} }")
    breaks = []
    for server in deployment.servers:
        for request_id, run in server.runs.items():
            if request_id not in sent:
                breaks.append(f"{server.id} ran {request_id}, which no client sent ({TENANT} is the only tenant)")
            elif run["digest"] != sent[request_id]:
                breaks.append(f"{server.id} ran {request_id} with another body than was sent")
    return breaks


if __name__ == "__main__":
    play(FOLDER, case, servers_per_zone=2)
