"""Runs the program as a process, with its peers (clients, servers, counter, discovery) as threads on loopback."""

from __future__ import annotations

import json
import os
import queue
import signal
import socket
import subprocess
import sys
import threading
from contextlib import contextmanager
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
WAIT_S = 20  # for an event; long, so that a busy machine does not fail a test
SETTINGS = {
    "balancers": 2,
    "me": 0,
    "zones": ["z"],
    "kinds": ["k"],
    "quantum_ns": 2_000_000,
    "weight_kind": "rough",
    "classes": [
        {"name": "look", "effect": "free", "aim_ns": 1_200_000_000, "deadline_ns": 4_000_000_000, "late_worth": 0.2},
        {"name": "book", "effect": "single_shot", "aim_ns": 750_000_000, "deadline_ns": 2_500_000_000},
    ],
    "plans": [{"name": "tight", "refill": 1.0, "depth": 2.0}, {"name": "wide", "refill": 500.0, "depth": 5000.0}],
    "limits": {
        "attempts_cap": 3,
        "cancel": True,
        "conn_idle_ns": 30_000_000_000,
        "dial_timeout_ns": 250_000_000,
        "max_retry_after_ns": 2_000_000_000,
    },
    "invariants": {
        "drain_grace_ns": 1_000_000_000,
        "cold_from": 0.2,
        "warm_up_ns": 10_000_000_000,
        "fall_multiple": 2.5,
        "fall_ns": 2_000_000_000,
    },
    "specifics": {"may_count": True, "count_wait_ns": 30_000_000},
}


def read_message(sock, data=b""):
    """Read a message: its start line, headers, body and the bytes read behind it; None at the end of the stream."""
    while b"\r\n\r\n" not in data:
        more = sock.recv(65536)
        if not more:
            return None
        data += more
    head, _, rest = data.partition(b"\r\n\r\n")
    start_line, *lines = head.decode().split("\r\n")
    headers = {key.lower(): value.strip() for key, value in (line.split(":", 1) for line in lines)}
    size = int(headers.get("content-length", 0))
    while len(rest) < size:
        more = sock.recv(65536)
        if not more:
            return None
        rest += more
    return start_line, headers, rest[:size], rest[size:]


def message(status=200, body=b"", **headers):
    """Return a response; underscores in the names of headers stand for hyphens."""
    lines = "".join(f"{key.replace('_', '-')}: {value}\r\n" for key, value in headers.items())
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{lines}\r\n".encode() + body


class Peer:
    """A server that answers each request with `answer(line, headers, body)`.

    `answer` returns the bytes to write, None to send nothing, "close" to close the connection, or a pair of bytes and
    "close".  `seen` has the requests; `ended` gets an entry for each connection that the other side ended.
    """

    made = []

    def __init__(self, answer):
        self.made.append(self)
        self.answer, self.seen, self.ended = answer, queue.Queue(), queue.Queue()
        self.socket = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.socket.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                sock, _ = self.socket.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        rest = b""
        with sock:
            try:
                while got := read_message(sock, rest):
                    *request, rest = got
                    self.seen.put(request)
                    reply = self.answer(*request)
                    if reply == "close":
                        return
                    closes = isinstance(reply, tuple)  # bytes and "close"
                    sock.sendall(reply[0] if closes else reply or b"")
                    if closes:
                        return
            except OSError:
                pass
            self.ended.put(True)

    def stop(self):
        """Refuse connections from now on; the shutdown is needed because a close does not end a blocked `accept`."""
        self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()

    def next(self):
        """Return the next request: its start line, headers and body."""
        return self.seen.get(timeout=WAIT_S)


class Counter(Peer):
    """A quota counter; its first calls are answered with the bodies in `replacements` in place of totals."""

    def __init__(self, *replacements):
        self.totals, self.replacements = {}, list(replacements)
        super().__init__(self._add)

    def _add(self, line, headers, body):
        target = line.split()[1]
        name, _, query = target.partition("?")
        amount = float(query.split("delta=")[1].split("&")[0])
        self.totals[name] = self.totals.get(name, 0.0) + amount
        return message(body=self.replacements.pop(0) if self.replacements else b"%g" % self.totals[name])


class Discovery(Peer):
    """A discovery agent that answers a watch once `tell` has given it a change."""

    def __init__(self):
        self.news = queue.Queue()
        super().__init__(lambda *_: message(body=json.dumps(self.news.get(timeout=60)).encode()))

    def tell(self, rev, targets, whole=False):
        """Answer the next watch with changes, or with a complete list if `whole`."""
        self.news.put({"rev": rev, "all": whole, "targets": targets})


def target(peer, number=0, state="in_service"):
    """Return the entry of a server in discovery's form."""
    return {
        "uid": f"s-{number}",
        "endpoint": peer.address,
        "az": "z",
        "model": "k",
        "pod_group": 1,
        "state": state,
        "capacity_hint": 1.0,
        "boot_ms": 0,
    }


class Client:
    """One client connection."""

    ids, made = 0, []

    def __init__(self, address):
        self.made.append(self)
        self.sock = socket.create_connection(address, timeout=WAIT_S)
        self.rest = b""

    def bytes_of(self, cls="look", plan="wide", customer=5, ttl=3000, method=None, body=b"", drop=(), **changes):
        """Return a request; `changes` sets headers, `drop` names those to leave out, and `ttl` is in milliseconds."""
        Client.ids += 1
        headers = {
            "Host": "api",
            "X-Request-ID": f"id{Client.ids}",
            "X-Tariff": plan,
            "X-Timeout-Ms": str(ttl),
            "X-Weight": "units=1,spread=2,first=0",
            **{key.replace("_", "-"): value for key, value in changes.items()},
        }
        method = method or ("GET" if cls == "look" else "POST")
        if body or method == "POST":
            headers["Content-Length"] = str(len(body))
        lines = "".join(f"{key}: {value}\r\n" for key, value in headers.items() if key not in drop)
        return f"{method} /{cls}/{customer:016x}?q=1 HTTP/1.1\r\n{lines}\r\n".encode() + body

    def send(self, data=None, **request):
        """Send bytes, or the request that `bytes_of` makes."""
        self.sock.sendall(self.bytes_of(**request) if data is None else data)
        return self

    def answer(self):
        """Return the status, headers and body of the next answer; None if the connection ends first."""
        try:
            got = read_message(self.sock, self.rest)
        except ConnectionResetError:
            return None
        if got is None:
            return None
        line, headers, body, self.rest = got
        return int(line.split()[1]), headers, body

    def ask(self, *args, **request):
        """Send a request and return its answer."""
        return self.send(*args, **request).answer()

    def call(self, line, body=b""):
        """Make a call with this start line, and return the status, headers and decoded JSON body of its answer."""
        lines = b"Host: a\r\nContent-Length: %d\r\n" % len(body)
        self.sock.sendall(b"%b HTTP/1.1\r\n%b\r\n%b" % (line.encode(), lines, body))
        status, headers, text = self.answer()
        return status, headers, json.loads(text)

    def ended(self):
        """Wait for the other side to end the connection, and return the bytes that it still sent."""
        received = self.rest
        try:
            while more := self.sock.recv(65536):
                received += more
        except ConnectionResetError:
            pass
        return received


def _address(text):
    host, _, port = (text or "").rpartition(":")
    return (host, int(port)) if port else None


class Ingress:
    """An ingress process, its addresses and its log."""

    def __init__(self, process, file):
        self.process, self.file, self.lines, self.past = process, file, queue.Queue(), []
        threading.Thread(target=self._read, daemon=True).start()
        serving = self.event("serving")
        self.address, self.management_address = (_address(serving.get(key)) for key in ("listen", "management"))

    def _read(self):
        for line in self.process.stderr:
            self.lines.put(json.loads(line))

    def event(self, name):
        """Wait for a log event and return its fields."""
        while True:
            found = self.lines.get(timeout=WAIT_S)
            self.past.append(found)
            if found["event"] == name:
                return found

    def client(self):
        return Client(self.address)

    def call(self, line, body=b""):
        """Make a management call, and return the status, headers and decoded JSON body of its answer."""
        return Client(self.management_address).call(line, body)

    def ready(self):
        """Return the status of a readiness check on a new connection, as a load balancer makes it."""
        return self.client().ask(b"GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n")[0]

    def ask_until(self, condition, tries=300, **request):
        """Repeat a request until the condition holds: the module chooses at random which ones it counts."""
        client = self.client()
        for _ in range(tries):
            if condition():
                return
            assert client.ask(**request) is not None
        raise AssertionError("never came")

    def reload(self, config):
        """Replace the configuration file atomically and send SIGHUP; the caller waits for the log event."""
        new = self.file.with_suffix(".new")
        new.write_text(config if isinstance(config, str) else json.dumps(config))
        new.rename(self.file)
        self.process.send_signal(signal.SIGHUP)

    def counts(self):
        """Return the process's counters."""
        self.process.send_signal(signal.SIGUSR1)
        return self.event("counters")["counts"]


def start(config, tmp_path, *flags, command=(), line=None, fds=(), **environment):
    """Start an ingress process.

    Args:
        config: its configuration, or the text of the file.
        tmp_path: the folder of the configuration file.
        flags: of the interpreter.
        command: arguments of the program.
        line: replaces the whole command line.
        fds: descriptors that the process inherits.
        environment: added to this process's.
    """
    file = tmp_path / "config.json"
    file.write_text(config if isinstance(config, str) else json.dumps(config))
    environment = {**os.environ, "EDGE_CONFIG": str(file), **environment}
    line = line or [sys.executable, *flags, "-m", "mapleline", *command]
    return subprocess.Popen(line, cwd=ROOT, env=environment, stderr=subprocess.PIPE, pass_fds=fds)


def config_for(counter, discovery, servers, settings=None, **changes):
    """Return a configuration with these servers known; `settings` and `changes` replace keys."""
    known = {"rev": 1, "all": True, "targets": [target(server, number) for number, server in enumerate(servers)]}
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": discovery.address,
        "counter": counter.address,
        "seed": "2a",
        "limits": {"sockets": 256},
        "known": known,
        "settings": {**SETTINGS, **(settings or {})},
        **changes,
    }


@contextmanager
def running(tmp_path, *servers, counter=None, discovery=None, command=(), **changes):
    """Run an ingress in front of these servers; fails if its counters show an unexpected exception."""
    config = config_for(counter or Counter(), discovery or Discovery(), servers, **changes)
    process = start(config, tmp_path, command=command)
    try:
        ingress = Ingress(process, tmp_path / "config.json")
        yield ingress
        if process.poll() is None:
            faults = ("twisted.caught", "engine.action_failed", "engine.answer_failed", "module.raised")
            assert not {name: count for name, count in ingress.counts().items() if name in faults}
    finally:
        process.kill()
        process.wait()
