"""A small system on loopback: real processes of the role, stand-ins for the platform and the servers.

For trying the commands by hand, and (`--check`) to see one config, one lost machine and one evacuation go through.
"""

from __future__ import annotations

import http.client
import http.server
import json
import os
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path
from shutil import rmtree

from expression import Result

from .calls import ask, rollback

ZONES = {"z1": "east", "z2": "east", "z3": "west"}
FRONT, READY, CONTROL, DIRECTORY, INTERNAL = 8388, 8384, 8381, 8383, 7560
SLOTS = 4
WAIT_S = 15.0
LONG = b"0123456789abcdef" * (3 << 16)
ROUTE = {"host_name": "try.example", "timeout": "3000ms", "target_latency": "800ms", "target_service": "agenda",
         "max_attempts": 2}  # fmt: skip


class Standin(http.server.ThreadingHTTPServer):
    """One server of a service, or (without an id) the platform with its list."""

    daemon_threads = True

    def __init__(self, place: tuple[str, int], id: str = "", listed: list[dict] | None = None) -> None:
        super().__init__(place, _Answer)
        self.id, self.listed, self.seen = id, listed or [], []
        threading.Thread(target=self.serve_forever, daemon=True).start()


class _Answer(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *args: object) -> None:
        """Nothing is written."""

    def _say(self, status: int, body: bytes, **fields: str) -> None:
        self.send_response(status)
        for name, value in fields.items():
            self.send_header(name.replace("_", "-"), value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def do_GET(self) -> None:
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        if not self.server.id:
            return self._say(200, json.dumps({"instance_list": self.server.listed, "next_token": None}).encode())
        wanted, id = self.headers.get("Expect-Instance"), self.server.id
        if wanted and wanted != id:
            return self._say(421, b"", Instance_Id=id)
        self.server.seen.append(self.headers.get("Request-Id"))
        self._say(200, f"{id} for {self.headers.get('Tenant')}\n".encode() + body, Server_Stamp=f"stamp-{id}",
                  Request_Id=self.headers.get("Request-Id", ""), Server_Load=f"1,0,{SLOTS}")  # fmt: skip

    do_POST = do_GET


def configuration(version: int, prefix: str = "/slots/") -> bytes:
    """A whole configuration with one route to read and one to book."""
    return json.dumps({
        "config_version": version,
        "route_table": {"read": dict(ROUTE, path_prefix=prefix, route_kind="idempotent"),
                        "book": dict(ROUTE, path_prefix="/book/", route_kind="non_idempotent")},
        "service_table": {"agenda": {"max_connections": 100, "cold_start": "3s", "cold_rate_s": 20}},
        "tenant_table": {"clinic": {"api_keys": ["try-key"], "rate_per_s": 50, "burst_size": 50}},
    }).encode()  # fmt: skip


class Trial:
    """One ingress with a disk in each zone, at 127.0.1.1, 127.0.2.1, 127.0.3.1."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.places = {zone: f"127.0.{n}.1" for n, zone in enumerate(ZONES, 1)}
        self.processes: dict[str, subprocess.Popen] = {}
        self.servers = {}
        listed = []
        for zone, host in self.places.items():
            for n in range(2):
                server = Standin((host, 9000 + n), f"i-{zone}-{n}")
                self.servers[server.id] = server
                listed.append({"instance_id": server.id, "target_service": "agenda", "address": f"{host}:{9000 + n}",
                               "zone": zone, "slot_count": SLOTS, "state": "ready", "cold_left": "0ms"})  # fmt: skip
        self.platform = Standin(("127.0.9.1", 8382), listed=listed)

    @property
    def control(self) -> str:
        """For `--at`."""
        return ",".join(f"{host}:{CONTROL}" for host in self.places.values())

    def start(self, zone: str, initial: bool) -> None:
        if zone in self.processes:
            return
        host = self.places[zone]
        data = self.folder / zone
        data.mkdir(exist_ok=True)
        lines = [
            f"node_name=try-{zone}", f"ip_address={host}", f"zone={zone}", f"region={ZONES[zone]}",
            *(f"zones.{name}={region}" for name, region in ZONES.items()),
            f"listen_addresses.front_addr={host}:{FRONT}", f"listen_addresses.ready_addr={host}:{READY}",
            f"listen_addresses.control_addr={host}:{CONTROL}", f"listen_addresses.directory_addr={host}:{DIRECTORY}",
            f"internal_port_range={INTERNAL},{INTERNAL + 15}",
            f"seed_nodes={self.control}", f"initial_start={'true' if initial else 'false'}", f"data_directory={data}",
            "protocol_bounds=revocation_strict=true,quota_window=5s,quota_overshoot=0.1,quota_slack=20,grace_period=2s",
            "cloud_api.address=127.0.9.1:8382", "cloud_api.rate_per_s=44.0",
        ]  # fmt: skip
        settings = self.folder / f"{zone}.conf"
        settings.write_text("\n".join(lines) + "\n")
        log = open(self.folder / f"{zone}.log", "ab")
        self.processes[zone] = subprocess.Popen(
            [sys.executable, "-m", "mapleline", "desk"], env={**os.environ, "MAPLELINE_CONFIG": str(settings)},
            stdout=log, stderr=log,
        )  # fmt: skip

    def kill(self, zone: str) -> None:
        process = self.processes.pop(zone, None)
        if process is not None:
            process.kill()
            process.wait()

    def stop(self) -> None:
        """End what was started here."""
        for process in self.processes.values():
            process.terminate()
        for process in self.processes.values():
            try:
                process.wait(5)
            except subprocess.TimeoutExpired:
                process.kill()
        for server in (*self.servers.values(), self.platform):
            server.shutdown()

    def ask(self, zone: str, path: str, id: str, method: str = "GET", body: bytes = b"") -> tuple[int, str]:
        """A client's request at that zone's ingress: status and body; status 0 if there is none."""
        line = http.client.HTTPConnection(self.places[zone], FRONT, timeout=3)
        fields = {"Host": "try.example", "Request-Id": id, "Deadline-Ms": "3000", "Authorization": "Bearer try-key"}
        try:
            line.request(method, path, body, headers=fields)
            answer = line.getresponse()
            return answer.status, answer.read().decode()
        except OSError as err:
            return 0, str(err)
        finally:
            line.close()


def until(what: str, holds: Callable[[], bool]) -> str | None:
    """Ask again and again; a fault if it does not hold in time."""
    end = time.monotonic() + WAIT_S
    while not holds():
        if time.monotonic() > end:
            return f"not seen in {WAIT_S:g} s: {what}"
        time.sleep(0.1)
    return None


def check(trial: Trial, say: Callable[[str], None]) -> str | None:
    """One configuration, one lost machine, one evacuation; what was not seen, or None."""

    def step(what: str, holds: Callable[[], bool]) -> str | None:
        began = time.monotonic()
        fault = until(what, holds)
        if fault is None:
            say(f"{what}: {time.monotonic() - began:.1f} s")
        return fault

    def put(version: int, prefix: str = "/slots/") -> bool:
        return ask(trial.control, "POST", "/config/replace", configuration(version, prefix)).is_ok()

    def served(zone: str, path: str, id: str) -> bool:
        return trial.ask(zone, path, id)[0] == 200

    def elsewhere() -> bool:
        return all("i-z2" not in trial.ask("z1", "/slots/x", f"e{n}")[1] for n in range(8))

    def long(id: str) -> bool:
        """Longer than an ingress holds: it goes on as it comes, both ways."""
        status, text = trial.ask("z1", "/book/long", id, "POST", LONG)
        return status == 200 and text.endswith("\n" + LONG.decode())

    def formed(zone: str) -> bool:
        said = ask(f"{trial.places[zone]}:{CONTROL}", "GET", "/status")
        return said.is_ok() and json.loads(said.ok)["formed"]

    def again(zone: str, spoil: Callable[[Path], object]) -> None:
        """Killed, its folder spoilt, started."""
        trial.kill(zone)
        spoil(trial.folder / zone / "word")
        trial.start(zone, False)

    def all_again() -> None:
        for zone in zones:
            trial.kill(zone)
        for zone in zones:
            trial.start(zone, False)

    def tear(word: Path) -> None:
        os.truncate(next(word.glob("r-*")), 40)

    def evacuated() -> bool:
        return ask(trial.control, "POST", "/evacuations/z2/begin").is_ok()

    def runs() -> int:
        return sum(server.seen.count("once") for server in trial.servers.values())

    zones = list(ZONES)
    for what, act, holds in (
        ("a configuration is acknowledged", None, lambda: put(1)),
        ("every ingress serves", None, lambda: all(served(z, "/slots/x", f"a-{z}") for z in zones)),
        ("three megabytes go up and come back", None, lambda: long("long")),
        ("a machine is killed, the next version acknowledged", lambda: trial.kill("z3"), lambda: put(2, "/free/")),
        ("the others serve by it", None, lambda: all(served(z, "/free/x", f"b-{z}") for z in zones[:2])),
        ("and no longer by the last", None, lambda: trial.ask("z1", "/slots/x", "c")[0] == 404),
        ("the lost machine is back and serves by it", lambda: trial.start("z3", False),
            lambda: served("z3", "/free/x", "d")),
        ("the first version is put in force again", None, lambda: rollback(trial.control, 1).is_ok()),
        ("every ingress serves by that", None, lambda: all(served(z, "/slots/x", f"r-{z}") for z in zones)),
        ("a disk is lost, and joins the core again", lambda: again("z2", rmtree), lambda: formed("z2")),
        ("a torn file is not believed, and mended", lambda: again("z3", tear), lambda: formed("z3")),
        ("all are killed at once, and serve by the last word", all_again,
            lambda: all(served(z, "/slots/x", f"s-{z}") for z in zones)),
        ("an evacuation is acknowledged", None, evacuated),
        ("the zone's servers get nothing", None, elsewhere),
        ("a booking runs once", None, lambda: served("z1", "/book/7", "once") and runs() == 1),
    ):  # fmt: skip
        if act is not None:
            act()
        fault = step(what, holds)
        if fault is not None:
            return fault
    return None


def run(checking: bool) -> Result[str, str]:
    """Start it; `checking`: play and end, else go on until interrupted."""
    for n in range(1, len(ZONES) + 1):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as line:
            try:
                line.bind((f"127.0.{n}.1", INTERNAL))
            except OSError as err:
                return Result.Error(f"127.0.{n}.1:{INTERNAL}: {err.strerror}; is another one still running?")
    with tempfile.TemporaryDirectory(prefix="mapleline-try-") as folder:
        trial = Trial(Path(folder))
        try:
            for zone in ZONES:
                trial.start(zone, True)
            if checking:
                fault = check(trial, print)
                return Result.Error(fault) if fault else Result.Ok("all seen")
            fault = until("a configuration is acknowledged",
                          lambda: ask(trial.control, "POST", "/config/replace", configuration(1)).is_ok())  # fmt: skip
            if fault:
                return Result.Error(fault)
            host = trial.places["z1"]
            print(f"logs and data: {folder}\ncontrol: --at {trial.control}")
            print(f"curl -H 'Host: try.example' -H 'Request-Id: 1' -H 'Authorization: Bearer try-key' "
                  f"http://{host}:{FRONT}/slots/x")  # fmt: skip
            print("Ctrl-C ends it", flush=True)
            threading.Event().wait()
        except KeyboardInterrupt:
            return Result.Ok("ended")
        finally:
            trial.stop()
