"""DENIED: after a configuration that raises `max_body_bytes`, kept connections still refuse uploads with 413."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import rig

CLIENTS_PER_NODE = 6
FIRST_LIMIT, SECOND_LIMIT = 100_000, 1_000_000
SMALL, LARGE = 50_000, 300_000
CONFIG_APPLY_S = 3.0
CONTACT_WINDOW_S = 4.0


def limits(max_body_bytes):
    return {
        "max_header_bytes": 16384, "max_body_bytes": max_body_bytes, "header_timeout": "3000ms",
        "idle_timeout": "15000ms",
    }  # fmt: skip


class Client:
    """Keeps one connection for many uploads; counts the 4xx that it gets."""

    def __init__(self, name, address, record):
        self.name, self.address, self.record = name, address, record
        self.sent = self.served = 0
        self.denied = []
        self.reader = self.writer = None

    async def upload(self, size):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(*self.address)
        self.sent += 1
        request_id = f"{self.name}-{self.sent}"
        self.writer.write(
            f"POST /scan/{request_id} HTTP/1.1\r\nHost: {rig.HOST}\r\nRequest-Id: {request_id}\r\nDeadline-Ms: 4000\r\n"
            f"Authorization: Bearer {rig.KEY}\r\nContent-Length: {size}\r\n\r\n".encode()
            + b"s" * size
        )
        try:
            head = await asyncio.wait_for(self.reader.readuntil(b"\r\n\r\n"), 4.0)
            status = int(head.split(b" ")[1])
            lines = head.lower().split(b"\r\n")
            length = next(int(line.split(b":")[1]) for line in lines if line.startswith(b"content-length:"))
            await self.reader.readexactly(length)
        except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
            self.record(f"client {request_id}: {size} bytes -> no answer ({error!r})")
            self.close()
            return
        own = b"server-stamp" not in head.lower()
        self.record(
            f"client {request_id}: {size} bytes to {self.address[0]} -> {status}", "from the node" if own else ""
        )
        self.served += status == 200
        if own and 300 <= status < 500 and status not in (408, 409, 421, 429):
            self.denied.append(request_id)
        if b"connection: close" in lines:
            self.close()

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


async def case(deployment, record, trouble):
    async def serve(instance_id, request, reader, writer):
        body = await rig.read_body(reader, request)
        request_id = request["headers"].get("request-id", "")
        record(f"server {instance_id}: runs {request_id}, {len(body)} bytes")
        writer.write(
            f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nServer-Stamp: {instance_id}.{request_id}\r\n"
            f"Server-Load: 0,0,{deployment.slots}\r\nContent-Length: 2\r\n\r\nok".encode()
        )

    deployment.serve = serve
    first = limits(FIRST_LIMIT if trouble else SECOND_LIMIT)
    await deployment.start(rig.configuration(1, limits=first))
    await asyncio.sleep(CONTACT_WINDOW_S + 1)
    clients = [
        Client(f"c{number}-{zone}", (ip, deployment.front), record)
        for zone, ip in deployment.ips.items()
        for number in range(CLIENTS_PER_NODE)
    ]

    async def all_upload(size):
        for client in clients:
            await client.upload(size)

    await all_upload(SMALL)
    await all_upload(SMALL)
    kept = [client for client in clients if client.writer is not None]
    await deployment.put(rig.configuration(2, limits=limits(SECOND_LIMIT)))
    for _ in range(int(CONFIG_APPLY_S) + 2):  # the connections stay in use; config_apply passes
        await asyncio.sleep(1.0)
        await all_upload(SMALL)
    still_kept = [client for client in kept if client.writer is not None]
    record(f"{len(still_kept)} of {len(clients)} connections kept; uploads of {LARGE} bytes follow")
    await all_upload(LARGE)
    await all_upload(LARGE)
    sent = sum(client.sent for client in clients)
    denied = sum(len(client.denied) for client in clients)
    allowed = 5 + sent / 500
    record(f"{sent} requests, {denied} ended with a 4xx of a node's own; allowed {allowed:.2f}")
    for client in clients:
        client.close()
    if not still_kept or not any(client.served for client in clients):
        raise rig.CannotRunError("no kept connection, or nothing was served")
    return denied <= allowed


if __name__ == "__main__":
    rig.run(case, Path(__file__).resolve().parent)
