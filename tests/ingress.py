"""The real program as a process, with the parties around it: plain sockets on loopback, a thread each."""

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
WAIT_S = 20  # a bound on waiting for events, never a measure of time
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
    """One message off a socket: start line, headers, body, and what came behind it; None at the end."""
    while b"\r\n\r\n" not in data:
        more = sock.recv(65536)
        if not more:
            return None
        data += more
    head, _, rest = data.partition(b"\r\n\r\n")
    line, *lines = head.decode().split("\r\n")
    headers = {k.lower(): v.strip() for k, v in (one.split(":", 1) for one in lines)}
    size = int(headers.get("content-length", 0))
    while len(rest) < size:
        more = sock.recv(65536)
        if not more:
            return None
        rest += more
    return line, headers, rest[:size], rest[size:]


def message(status=200, body=b"", **headers):
    lines = "".join(f"{k.replace('_', '-')}: {v}\r\n" for k, v in headers.items())
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{lines}\r\n".encode() + body


class Peer:
    """A server.  `answer(line, headers, body)` gives bytes to write, None for silence, or "close"."""

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
                    *what, rest = got
                    self.seen.put(what)
                    reply = self.answer(*what)
                    if reply == "close":
                        return
                    last = isinstance(reply, tuple)  # the last words, and "close"
                    sock.sendall(reply[0] if last else reply or b"")
                    if last:
                        return
            except OSError:
                pass
            self.ended.put(True)

    def stop(self):
        """Connections are refused from now on (closing alone leaves a blocked `accept` in place)."""
        self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()

    def next(self):
        return self.seen.get(timeout=WAIT_S)


class Counter(Peer):
    """Adds up by name; the first calls have these bodies for an answer in place of their totals."""

    def __init__(self, *instead):
        self.totals, self.instead = {}, list(instead)
        super().__init__(self._add)

    def _add(self, line, headers, body):
        target = line.split()[1]
        name, _, query = target.partition("?")
        amount = float(query.split("delta=")[1].split("&")[0])
        self.totals[name] = self.totals.get(name, 0.0) + amount
        return message(body=self.instead.pop(0) if self.instead else b"%g" % self.totals[name])


class Discovery(Peer):
    """Answers a watch when `tell` gives it something."""

    def __init__(self):
        self.news = queue.Queue()
        super().__init__(lambda *_: message(body=json.dumps(self.news.get(timeout=60)).encode()))

    def tell(self, rev, targets, whole=False):
        self.news.put({"rev": rev, "all": whole, "targets": targets})


def target(peer, n=0, state="in_service"):
    return {
        "uid": f"s-{n}",
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
        Client.ids += 1
        headers = {
            "Host": "api",
            "X-Request-ID": f"id{Client.ids}",
            "X-Tariff": plan,
            "X-Timeout-Ms": str(ttl),
            "X-Weight": "units=1,spread=2,first=0",
            **{k.replace("_", "-"): v for k, v in changes.items()},
        }
        method = method or ("GET" if cls == "look" else "POST")
        if body or method == "POST":
            headers["Content-Length"] = str(len(body))
        lines = "".join(f"{k}: {v}\r\n" for k, v in headers.items() if k not in drop)
        return f"{method} /{cls}/{customer:016x}?q=1 HTTP/1.1\r\n{lines}\r\n".encode() + body

    def send(self, data=None, **kw):
        self.sock.sendall(self.bytes_of(**kw) if data is None else data)
        return self

    def answer(self):
        """Status, headers and body of the next answer; None if the connection ends first."""
        try:
            got = read_message(self.sock, self.rest)
        except ConnectionResetError:
            return None
        if got is None:
            return None
        line, headers, body, self.rest = got
        return int(line.split()[1]), headers, body

    def ask(self, *args, **kw):
        return self.send(*args, **kw).answer()

    def call(self, line, body=b""):
        lines = b"Host: a\r\nContent-Length: %d\r\n" % len(body)
        self.sock.sendall(b"%b HTTP/1.1\r\n%b\r\n%b" % (line.encode(), lines, body))
        status, headers, text = self.answer()
        return status, headers, json.loads(text)

    def ended(self):
        """Wait for the other side to end the connection; what it still said."""
        said = self.rest
        try:
            while more := self.sock.recv(65536):
                said += more
        except ConnectionResetError:
            pass
        return said


def _address(text):
    host, _, port = (text or "").rpartition(":")
    return (host, int(port)) if port else None


class Ingress:
    """The process, its address, and its log line by line."""

    def __init__(self, process, file):
        self.process, self.file, self.lines, self.past = process, file, queue.Queue(), []
        threading.Thread(target=self._read, daemon=True).start()
        serving = self.event("serving")
        self.address, self.door = (_address(serving.get(key)) for key in ("listen", "management"))

    def _read(self):
        for line in self.process.stderr:
            self.lines.put(json.loads(line))

    def event(self, name):
        while True:
            found = self.lines.get(timeout=WAIT_S)
            self.past.append(found)
            if found["event"] == name:
                return found

    def client(self):
        return Client(self.address)

    def call(self, line, body=b""):
        """A call at the operators' door: status, headers and what the JSON holds."""
        return Client(self.door).call(line, body)

    def ready(self):
        """What a front that asks on a connection of its own hears."""
        return self.client().ask(b"GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n")[0]

    def ask_until(self, true, tries=300, **kw):
        """Ask again and again: the module draws by lot which tries it counts."""
        client = self.client()
        for _ in range(tries):
            if true():
                return
            assert client.ask(**kw) is not None
        raise AssertionError("never came")

    def reload(self, config):
        """Replace the file as an operator would, in one step; the caller waits for the event."""
        new = self.file.with_suffix(".new")
        new.write_text(config if isinstance(config, str) else json.dumps(config))
        new.rename(self.file)
        self.process.send_signal(signal.SIGHUP)

    def counts(self):
        self.process.send_signal(signal.SIGUSR1)
        return self.event("counters")["counts"]


def start(config, tmp_path, *flags, command=(), line=None, fds=(), **environment):
    file = tmp_path / "config.json"
    file.write_text(config if isinstance(config, str) else json.dumps(config))
    environment = {**os.environ, "EDGE_CONFIG": str(file), **environment}
    line = line or [sys.executable, *flags, "-m", "mapleline", *command]
    return subprocess.Popen(line, cwd=ROOT, env=environment, stderr=subprocess.PIPE, pass_fds=fds)


def config_for(counter, discovery, servers, settings=None, **changes):
    known = {"rev": 1, "all": True, "targets": [target(s, n) for n, s in enumerate(servers)]}
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
    """An ingress in a debug build before these servers; ends it, and fails if anything raised in it."""
    config = config_for(counter or Counter(), discovery or Discovery(), servers, **changes)
    process = start(config, tmp_path, command=command)
    try:
        ingress = Ingress(process, tmp_path / "config.json")
        yield ingress
        if process.poll() is None:
            faults = ("twisted.caught", "engine.action_failed", "engine.answer_failed", "module.raised")
            assert not {k: n for k, n in ingress.counts().items() if k in faults}
    finally:
        process.kill()
        process.wait()
