"""An HTTP server on loopback that stands in for the control address of an ingress."""

import http.server
import threading
from dataclasses import dataclass


@dataclass(frozen=True)
class ReceivedRequest:
    """A request received by the stand-in."""

    method: str
    path: str
    body: bytes


class ControlStandIn(http.server.ThreadingHTTPServer):
    """Answers each path with its status and body in `answers`, others with 404; records the requests."""

    daemon_threads = True

    def __init__(self, answers: dict[str, tuple[int, bytes]]) -> None:
        super().__init__(("127.0.0.1", 0), _Handler)
        self.answers = answers
        self.requests: list[ReceivedRequest] = []
        self.redirects: dict[str, str] = {}  #: path -> location of a 307
        self.thread = threading.Thread(target=self.serve_forever, args=(0.02,), daemon=True)
        self.thread.start()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.server_address[1]}"


class _Handler(http.server.BaseHTTPRequestHandler):
    def log_message(self, *_: object) -> None:
        """Write no access log."""

    def do_GET(self) -> None:
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        self.server.requests.append(ReceivedRequest(self.command, self.path, body))
        if self.path in self.server.redirects:
            self.send_response(307)
            self.send_header("Location", self.server.redirects[self.path])
            self.send_header("Content-Length", "0")
            self.end_headers()
            return
        status, answer = self.server.answers.get(self.path, (404, b"no such call"))
        self.send_response(status)
        self.send_header("Content-Length", str(len(answer)))
        self.end_headers()
        self.wfile.write(answer)

    def do_POST(self) -> None:
        self.do_GET()
