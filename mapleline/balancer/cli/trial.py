"""A small system on loopback: real processes of the role, stand-ins for the platform and the servers.

For trying the commands by hand, and (`--check`) to see orders, rivals, lost, frozen, new and leaving machines go
through.
"""

from __future__ import annotations

import http.client
import http.server
import json
import os
import signal
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

from ..control.snapshot import ASIDE, FOLDER
from .operator_client import ask, rollback

ZONES = {"z1": "east", "z2": "east", "z3": "west"}
FOURTH = "z3-2"  #: a machine that joins later, in the third zone
FRONT, READY, CONTROL, DIRECTORY, INTERNAL = 8388, 8384, 8381, 8383, 7560
SLOTS = 4
WAIT_S = 15.0
ROUNDS, FROZEN_S = 10, 20.0
LONG = b"0123456789abcdef" * (3 << 16)
ROUTE = {
    "host_name": "try.example",
    "timeout": "3000ms",
    "target_latency": "800ms",
    "target_service": "agenda",
    "max_attempts": 2,
}


class Standin(http.server.ThreadingHTTPServer):
    """One server of a service, or (without an id) the platform with its list."""

    daemon_threads = True

    def __init__(self, place: tuple[str, int], id: str = "", listed: list[dict] | None = None) -> None:
        super().__init__(place, _Answer)
        self.id, self.listed, self.seen = id, listed or [], []
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def handle_error(self, request: object, client_address: object) -> None:
        """An ingress that was killed, or called off what it had asked."""


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
        self._say(
            200,
            f"{id} for {self.headers.get('Tenant')}\n".encode() + body,
            Server_Stamp=f"stamp-{id}",
            Request_Id=self.headers.get("Request-Id", ""),
            Server_Load=f"1,0,{SLOTS}",
        )

    do_POST = do_GET


def configuration(version: int, prefix: str = "/slots/") -> bytes:
    """A whole configuration with one route to read and one to book."""
    return json.dumps(
        {
            "config_version": version,
            "route_table": {
                "read": dict(ROUTE, path_prefix=prefix, route_kind="idempotent"),
                "book": dict(ROUTE, path_prefix="/book/", route_kind="non_idempotent"),
            },
            "service_table": {"agenda": {"max_connections": 100, "cold_start": "3s", "cold_rate_s": 20}},
            "tenant_table": {"clinic": {"api_keys": ["try-key"], "rate_per_s": 50, "burst_size": 50}},
        }
    ).encode()


class Trial:
    """One ingress with a disk in each zone, at 127.0.1.1, 127.0.2.1, 127.0.3.1; and one that may join, at 127.0.4.1."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.places = {name: f"127.0.{n}.1" for n, name in enumerate((*ZONES, FOURTH), 1)}
        self.processes: dict[str, subprocess.Popen] = {}
        self.servers = {}
        listed = []
        for zone in ZONES:
            host = self.places[zone]
            for n in range(2):
                server = Standin((host, 9000 + n), f"i-{zone}-{n}")
                self.servers[server.id] = server
                listed.append(
                    {
                        "instance_id": server.id,
                        "target_service": "agenda",
                        "address": f"{host}:{9000 + n}",
                        "zone": zone,
                        "slot_count": SLOTS,
                        "state": "ready",
                        "cold_left": "0ms",
                    }
                )
        self.platform = Standin(("127.0.9.1", 8382), listed=listed)

    @property
    def control(self) -> str:
        """For `--at`: of the first three, the seeds."""
        return ",".join(f"{self.places[zone]}:{CONTROL}" for zone in ZONES)

    def start(self, name: str, initial: bool) -> None:
        if name in self.processes:
            return
        host, zone = self.places[name], name.partition("-")[0]
        data = self.folder / name
        data.mkdir(exist_ok=True)
        lines = [
            f"node_name=try-{name}",
            f"ip_address={host}",
            f"zone={zone}",
            f"region={ZONES[zone]}",
            *(f"zones.{one}={region}" for one, region in ZONES.items()),
            f"listen_addresses.front_addr={host}:{FRONT}",
            f"listen_addresses.ready_addr={host}:{READY}",
            f"listen_addresses.control_addr={host}:{CONTROL}",
            f"listen_addresses.directory_addr={host}:{DIRECTORY}",
            f"internal_port_range={INTERNAL},{INTERNAL + 15}",
            f"seed_nodes={self.control}",
            f"initial_start={'true' if initial else 'false'}",
            f"data_directory={data}",
            "protocol_bounds=revocation_strict=true,quota_window=5s,quota_overshoot=0.1,quota_slack=20,grace_period=2s",
            "cloud_api.address=127.0.9.1:8382",
            "cloud_api.rate_per_s=44.0",
        ]
        settings = self.folder / f"{name}.conf"
        settings.write_text("\n".join(lines) + "\n")
        log = open(self.folder / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen(
            [sys.executable, "-m", "mapleline", "balancer"],
            env={**os.environ, "MAPLELINE_CONFIG": str(settings)},
            stdout=log,
            stderr=log,
        )

    def kill(self, name: str) -> None:
        process = self.processes.pop(name, None)
        if process is not None:
            process.kill()
            process.wait()

    def leave(self, name: str) -> int:
        """Stopped in order: its status."""
        process = self.processes.pop(name)
        process.terminate()
        return process.wait(WAIT_S)

    def stop(self) -> None:
        """End what was started here."""
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.terminate()
        for process in self.processes.values():
            try:
                process.wait(5)
            except subprocess.TimeoutExpired:
                process.kill()
        for server in (*self.servers.values(), self.platform):
            server.shutdown()

    def ask(
        self, zone: str, path: str, id: str, method: str = "GET", body: bytes = b"", timeout: float = 3.0
    ) -> tuple[int, str]:
        """A client's request at that zone's ingress: status and body; status 0 if there is none."""
        fields = {"Host": "try.example", "Request-Id": id, "Deadline-Ms": "3000", "Authorization": "Bearer try-key"}
        return self.call(zone, FRONT, method, path, body, fields, timeout)

    def call(
        self,
        name: str,
        port: int,
        method: str,
        path: str,
        body: bytes = b"",
        fields: dict[str, str] | None = None,
        timeout: float = 3.0,
    ) -> tuple[int, str]:
        """One call at that machine, and nowhere else: status and body; status 0 if there is none."""
        line = http.client.HTTPConnection(self.places[name], port, timeout=timeout)
        try:
            line.request(method, path, body, headers=fields or {})
            answer = line.getresponse()
            return answer.status, answer.read().decode()
        except (OSError, http.client.HTTPException) as err:
            return 0, str(err)
        finally:
            line.close()

    def order(self, name: str, body: bytes, within: float = WAIT_S) -> int:
        """A configuration at that machine, sent again until there is a clear answer: that."""
        end = time.monotonic() + within
        while True:
            status, _ = self.call(name, CONTROL, "POST", "/config/replace", body, timeout=6.0)
            if status not in (0, 503) or time.monotonic() > end:
                return status
            time.sleep(0.1)


def until(what: str, holds: Callable[[], bool]) -> str | None:
    """Ask again and again; a fault if it does not hold in time."""
    end = time.monotonic() + WAIT_S
    while not holds():
        if time.monotonic() > end:
            return f"not seen in {WAIT_S:g} s: {what}"
        time.sleep(0.1)
    return None


class Frozen:
    """Asks one machine all the while what is in force, whether it names ingresses, and by the old for service: what it
    answers must be 503 (or nothing), or the newest that was acknowledged before it was asked.
    """

    def __init__(self, trial: Trial, name: str, old_path: str) -> None:
        self.trial, self.name, self.old_path = trial, name, old_path
        self.newest, self.applied = 0, float("inf")  #: and when the old has to be over everywhere
        self.faults: list[str] = []
        self.said = {"read": 0, "lookup": 0, "late": 0}  #: answers that were no 503
        self.over = threading.Event()
        self.threads = [threading.Thread(target=work, daemon=True) for work in (self.reads, self.clients, self.waits)]
        for thread in self.threads:
            thread.start()

    def _read(self, timeout: float) -> bool:
        asked = self.newest
        status, text = self.trial.call(self.name, CONTROL, "GET", "/config/read", timeout=timeout)
        if status == 200 and json.loads(text)["config_version"] < asked:
            self.faults.append(f"read {json.loads(text)['config_version']}, acknowledged {asked}")
        elif status not in (0, 200, 503):
            self.faults.append(f"read: {status}")
        return status == 200

    def reads(self) -> None:
        while not self.over.wait(0.02):
            self.said["read"] += self._read(0.3)

    def waits(self) -> None:
        """One who asks while it stands still, and waits for the answer."""
        while not self.over.wait(0.5):
            self.said["late"] += self._read(FROZEN_S + 5)

    def clients(self) -> None:
        n = 0
        while not self.over.wait(0.02):
            n += 1
            late = time.monotonic() > self.applied
            status, _ = self.trial.call(self.name, DIRECTORY, "GET", "/lookup?name=try.example&zone=z3", timeout=0.3)
            self.said["lookup"] += status == 200
            if status not in (0, 200, 503):
                self.faults.append(f"lookup: {status}")
            status, _ = self.trial.ask(self.name, self.old_path, f"old-{n}", timeout=0.3)
            if late and status not in (0, 404, 503):
                self.faults.append(f"served by the old: {status}")

    def end(self) -> list[str]:
        self.over.set()
        for thread in self.threads:
            thread.join(FROZEN_S + 6)
        return self.faults


class Check:
    """The steps, and what the operator knows: the newest version, and what was sent under it."""

    def __init__(self, trial: Trial) -> None:
        self.trial, self.version, self.body = trial, 0, b""
        self.frozen: Frozen | None = None

    # -- the operator --------------------------------------------------------------------------------------

    def put(self, prefix: str = "/slots/", at: str | None = None) -> bool:
        """A new version, acknowledged."""
        body = configuration(self.version + 1, prefix)
        if at is not None:
            done = self.trial.order(at, body) == 200
        else:
            done = ask(self.trial.control, "POST", "/config/replace", body).is_ok()
        if done:
            self.version, self.body = self.version + 1, body
        return done

    def rollback(self, version: int) -> bool:
        done = rollback(self.trial.control, version).is_ok()
        if done:
            self.version += 1
        return done

    def status(self, name: str) -> dict:
        status, text = self.trial.call(name, CONTROL, "GET", "/status")
        return json.loads(text) if status == 200 else {}

    def formed(self, name: str) -> bool:
        return self.status(name).get("formed", False)

    def voters(self, name: str) -> list[str]:
        return [row["address"] for row in self.status(name).get("members", ()) if row["part"] == "voter"]

    def served(self, zone: str, path: str, id: str) -> bool:
        return self.trial.ask(zone, path, id)[0] == 200

    def all_read(self, body: bytes, names: tuple[str, ...]) -> bool:
        return all(self.trial.call(name, CONTROL, "GET", "/config/read") == (200, body.decode()) for name in names)

    # -- rivals, and orders sent again ---------------------------------------------------------------------

    def rivals(self) -> bool:
        """Two contents of one version at the same moment to two ingresses: one is confirmed, for good."""
        zones = list(ZONES)
        for n in range(ROUNDS):
            version = self.version + 1
            bodies = [configuration(version, f"/{who}/") for who in ("one", "two")]
            at = [zones[n % 3], zones[(n + 1) % 3]]
            said: list[int] = [0, 0]
            start = threading.Barrier(2)

            def send(which: int, at: list[str], bodies: list[bytes], said: list[int], start: threading.Barrier) -> None:
                start.wait()
                said[which] = self.trial.order(at[which], bodies[which])

            threads = [threading.Thread(target=send, args=(which, at, bodies, said, start)) for which in (0, 1)]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            if sorted(said) != [200, 409]:
                raise Broken(f"round {n}: {said}")
            self.version, self.body = version, bodies[said.index(200)]
            again = [self.trial.order(at[1 - which], bodies[which]) for which in (0, 1)]
            if again != said or not self.all_read(self.body, tuple(zones)):
                raise Broken(f"round {n}: {said}, then {again}, or another was read")
        return True

    def thrown_away(self) -> bool:
        """The operator's line breaks before the answer; the same again at another ingress."""
        body = configuration(self.version + 1, "/again/")
        with socket.create_connection((self.trial.places["z1"], CONTROL), timeout=3) as line:
            line.sendall(b"POST /config/replace HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        if self.trial.order("z2", body) != 200:
            return False
        self.version, self.body = self.version + 1, body
        return self.trial.order("z3", body) == 200

    def newest_again(self) -> bool:
        return all(self.trial.order(zone, self.body) == 200 for zone in ZONES) and self.all_read(self.body, (*ZONES,))

    def another_content(self) -> bool:
        other = configuration(self.version, "/other/")
        return all(self.trial.order(zone, other) == 409 for zone in ZONES) and self.all_read(self.body, (*ZONES,))

    # -- one that stands still -----------------------------------------------------------------------------

    def freeze(self) -> None:
        self.frozen = Frozen(self.trial, "z3", "/still/x")
        self.trial.processes["z3"].send_signal(signal.SIGSTOP)

    def while_frozen(self) -> bool:
        """Orders go on at the others, for as long as it stands still."""
        end, first = time.monotonic() + FROZEN_S, True
        while time.monotonic() < end:
            if not self.put(f"/free/{self.version + 1}/", at="z1"):
                raise Broken("an order was not acknowledged")
            self.frozen.newest = self.version
            if first:
                self.frozen.applied, first = time.monotonic() + 5.0, False
            time.sleep(0.5)
        return True

    def thaw(self) -> None:
        self.trial.processes["z3"].send_signal(signal.SIGCONT)

    def thawed(self) -> bool:
        """It comes to the newest, and had never said anything else."""
        if not (
            self.all_read(self.body, ("z3",))
            and self.formed("z3")
            and self.trial.call("z3", DIRECTORY, "GET", "/lookup?name=try.example&zone=z3")[0] == 200
        ):
            return False
        if not all(self.frozen.said.values()):
            return False  # each who asked all the while has to have had an answer since
        if faults := self.frozen.end():
            raise Broken("; ".join(faults[:3]))
        return True

    # -- machines that go and come -------------------------------------------------------------------------

    def again(self, zone: str, spoil: Callable[[Path], object]) -> None:
        """Killed, its folder spoilt, started."""
        self.trial.kill(zone)
        spoil(self.trial.folder / zone / FOLDER)
        self.trial.start(zone, False)

    def all_again(self) -> None:
        for zone in ZONES:
            self.trial.kill(zone)
        for zone in ZONES:
            self.trial.start(zone, False)

    def mended(self, zone: str) -> bool:
        """Named, put aside, and a voter again."""
        log = (self.trial.folder / f"{zone}.log").read_text()
        aside = list((self.trial.folder / zone / ASIDE).glob("c-*"))
        return self.formed(zone) and "archive: bad file" in log and bool(aside)

    def join(self) -> None:
        self.epoch = self.status("z1")["epoch"]
        self.trial.start(FOURTH, False)

    def joined(self) -> bool:
        said = self.status("z1")
        return said.get("epoch", 0) >= self.epoch + 2 and len(self.voters("z1")) == 4 and self.formed(FOURTH)

    def leaves(self) -> None:
        status = self.trial.leave("z2")
        if status:
            raise Broken(f"it left with status {status}")

    def three_left(self) -> bool:
        gone = self.trial.places["z2"]
        return all(len(self.voters(one)) == 3 and gone not in self.voters(one) for one in ("z1", "z3", FOURTH))


class Broken(Exception):
    """What must not be; the text says what."""


def tear(word: Path) -> None:
    os.truncate(next(word.glob("c-*")), 40)


def check(trial: Trial, say: Callable[[str], None]) -> str | None:
    """Every step in its turn; what was not seen, or None."""

    def step(what: str, act: Callable[[], object] | None, holds: Callable[[], bool]) -> str | None:
        began = time.monotonic()
        try:
            if act is not None:
                act()
            fault = until(what, holds)
        except Broken as err:
            return f"{what}: {err}"
        if fault is None:
            say(f"{what}: {time.monotonic() - began:.1f} s")
        return fault

    def elsewhere() -> bool:
        return all("i-z2" not in trial.ask("z1", "/slots/x", f"e{n}")[1] for n in range(8))

    def long(id: str) -> bool:
        """Longer than an ingress holds: it goes on as it comes, both ways."""
        status, text = trial.ask("z1", "/book/long", id, "POST", LONG)
        return status == 200 and text.endswith("\n" + LONG.decode())

    def evacuated() -> bool:
        return ask(trial.control, "POST", "/evacuations/z2/begin").is_ok()

    def runs() -> int:
        return sum(server.seen.count("once") for server in trial.servers.values())

    c = Check(trial)
    zones, put, served = list(ZONES), c.put, c.served
    for what, act, holds in (
        ("a configuration is acknowledged", None, put),
        ("every ingress serves", None, lambda: all(served(z, "/slots/x", f"a-{z}") for z in zones)),
        ("three megabytes go up and come back", None, lambda: long("long")),
        ("a machine is killed, the next version acknowledged", lambda: trial.kill("z3"), lambda: put("/free/")),
        ("the others serve by it", None, lambda: all(served(z, "/free/x", f"b-{z}") for z in zones[:2])),
        ("and no longer by the last", None, lambda: trial.ask("z1", "/slots/x", "c")[0] == 404),
        (
            "the lost machine is back and serves by it",
            lambda: trial.start("z3", False),
            lambda: served("z3", "/free/x", "d"),
        ),
        ("the first version is put in force again", None, lambda: c.rollback(1)),
        ("every ingress serves by that", None, lambda: all(served(z, "/slots/x", f"r-{z}") for z in zones)),
        (f"of two rivals one is confirmed and one refused, {ROUNDS} times", None, c.rivals),
        ("an order whose answer was thrown away is confirmed at another", None, c.thrown_away),
        ("the newest again is confirmed everywhere", None, c.newest_again),
        ("another content under its number is refused everywhere", None, c.another_content),
        ("a disk is lost, and joins the core again", lambda: c.again("z2", rmtree), lambda: c.formed("z2")),
        ("a torn file is not believed, and mended", lambda: c.again("z3", tear), lambda: c.mended("z3")),
        (
            "an order is acknowledged and in force everywhere",
            None,
            lambda: put("/still/") and all(served(z, "/still/x", f"f-{z}") for z in zones),
        ),
        ("a machine stands still, orders go on", c.freeze, c.while_frozen),
        ("thawed it comes to the newest, and never said the old", c.thaw, c.thawed),
        (
            "all are killed at once, and serve by the last word",
            c.all_again,
            lambda: all(served(z, f"/free/{c.version}/x", f"s-{z}") for z in zones),
        ),
        ("a fourth machine joins", c.join, c.joined),
        ("one leaves in order", c.leaves, c.three_left),
        ("and right after one is killed: orders go on", lambda: trial.kill("z3"), lambda: put(at=FOURTH)),
        ("an evacuation is acknowledged", None, evacuated),
        ("the zone's servers get nothing", None, elsewhere),
        ("a booking runs once", None, lambda: served("z1", "/book/7", "once") and runs() == 1),
    ):
        fault = step(what, act, holds)
        if fault is not None:
            return fault
    return None


def run(checking: bool) -> Result[str, str]:
    """Start it; `checking`: play and end, else go on until interrupted."""
    for n in range(1, len(ZONES) + 2):
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
            fault = until(
                "a configuration is acknowledged",
                lambda: ask(trial.control, "POST", "/config/replace", configuration(1)).is_ok(),
            )
            if fault:
                return Result.Error(fault)
            host = trial.places["z1"]
            print(f"logs and data: {folder}\ncontrol: --at {trial.control}")
            print(
                f"curl -H 'Host: try.example' -H 'Request-Id: 1' -H 'Authorization: Bearer try-key' "
                f"http://{host}:{FRONT}/slots/x"
            )
            print("Ctrl-C ends it", flush=True)
            threading.Event().wait()
        except KeyboardInterrupt:
            return Result.Ok("ended")
        finally:
            trial.stop()
