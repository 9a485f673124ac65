"""Stand-ins on loopback for the platform's API and for the servers of a service."""

from __future__ import annotations

import http.server
import json
import threading
from dataclasses import asdict, dataclass

SLOTS_PER_SERVER = 4


@dataclass(frozen=True, slots=True)
class PlatformInstance:
    """One entry of the platform's list; the field names are the keys of the platform."""

    instance_id: str
    target_service: str
    address: str
    zone: str
    slot_count: int = SLOTS_PER_SERVER
    state: str = "ready"
    cold_left: str = "0ms"


class _StandIn(http.server.ThreadingHTTPServer):
    """An HTTP server that runs in its own thread."""

    daemon_threads = True

    def __init__(self, address: tuple[str, int], handler: type[_Handler]) -> None:
        super().__init__(address, handler)
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def handle_error(self, request: object, client_address: object) -> None:
        """Ignore broken connections: nodes are killed, and cancel requests."""


class ServerStandIn(_StandIn):
    """One server: it echoes each request's body, and records the ids of the requests that it executed."""

    def __init__(self, address: tuple[str, int], instance_id: str) -> None:
        """Listen at the address."""
        self.instance_id = instance_id
        self.request_ids: list[str | None] = []
        super().__init__(address, _ServerHandler)


class PlatformStandIn(_StandIn):
    """The platform: it answers each request with its list of instances."""

    def __init__(self, address: tuple[str, int], instances: list[PlatformInstance]) -> None:
        """Listen at the address."""
        listed = [asdict(instance) for instance in instances]
        self.page = json.dumps({"instance_list": listed, "next_token": None}).encode()
        super().__init__(address, _PlatformHandler)


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *_: object) -> None:
        """Write no access log."""

    def read_body(self) -> bytes:
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def reply(self, status: int, body: bytes, headers: dict[str, str] | None = None) -> None:
        self.send_response(status)
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class _PlatformHandler(_Handler):
    server: PlatformStandIn

    def do_GET(self) -> None:
        self.read_body()
        self.reply(200, self.server.page)


class _ServerHandler(_Handler):
    server: ServerStandIn

    def do_GET(self) -> None:
        body = self.read_body()
        instance_id = self.server.instance_id
        expected = self.headers.get("Expect-Instance")
        if expected and expected != instance_id:
            self.reply(421, b"", {"Instance-Id": instance_id})
            return
        request_id = self.headers.get("Request-Id")
        self.server.request_ids.append(request_id)
        headers = {
            "Server-Stamp": f"stamp-{instance_id}",
            "Request-Id": request_id or "",
            "Server-Load": f"1,0,{SLOTS_PER_SERVER}",
        }
        self.reply(200, f"{instance_id} for {self.headers.get('Tenant')}\n".encode() + body, headers)

    def do_POST(self) -> None:
        self.do_GET()
