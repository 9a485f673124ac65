"""A desk among stand-ins, on a clock of its own: what is told and said becomes a transcript."""

import random
from pathlib import Path

from twisted.internet.task import Clock

from mapleline.balancer import configuration, routing_table, settings
from mapleline.balancer.discovery.endpoints import EndpointList, ListedInstance
from mapleline.balancer.membership.member import Member, MemberFlags
from mapleline.balancer.membership.table import MembershipTable
from mapleline.balancer.proxy.outcome import EndReason
from mapleline.balancer.proxy.proxy import Proxy
from mapleline.balancer.proxy.slow_start_leases import SlowStartLeases
from mapleline.balancer.proxy.upstream import UpstreamPool
from mapleline.http1.messages import Request, Response
from mapleline.http1.upload import Upload

APPROVED = Path(__file__).parent / "approved"
REASON_TEXTS = {  # as the approved transcripts have them
    EndReason.CONNECTION_LOST: "lost",
    EndReason.PROTOCOL_ERROR: "spoilt",
    EndReason.UNREACHABLE: "unreachable",
}


def approve(case, name, lines):
    """The transcript is the approved one, word for word; a new one lies beside it to be read."""
    text, path = "\n".join(lines) + "\n", APPROVED / f"{name}.txt"
    if not path.exists() or path.read_text() != text:
        path.with_suffix(".received").write_text(text)
        case.assertEqual(text, path.read_text() if path.exists() else "", f"{name}: see {path}.received")


class ClientConnection:
    """A client's connection."""

    def __init__(self, world, name):
        self.world, self.name, self.upload = world, name, None

    def reply(self, status, body=b"", lines=b""):
        fields = " ".join(sorted(line for line in lines.decode().split("\r\n") if line))
        self.world.say(f"{self.name} <- {status} {body.decode()} {fields}".strip())

    def begin(self, status, lines, length, source):
        self.world.say(f"{self.name} <- {status}, {length} bytes to come")

    def ended(self, whole):
        self.world.say(f"{self.name} <- {'the end' if whole else 'cut off'}")


class Lines(UpstreamPool):
    """Servers that never answer by themselves; the address says which is which."""

    def __init__(self, world):
        super().__init__(world.clock, None)
        self.world, self.out = world, {}

    def send(self, attempt, address):
        attempt.target.out += 1
        attempt.written, attempt.sent_at = True, self.world.clock.seconds()
        self.out[attempt.target.id] = [*self.out.pop(attempt.target.id, []), attempt]
        head = attempt.data.decode().replace("\r\n", " | ").rstrip(" |")
        self.world.say(f"-> {attempt.target.id}  {head}")

    def close_connections(self, target):
        self.world.say(f"nothing is kept at {target.id}")


class World:
    """One ingress in z1 of region r1, three servers, and what a test tells them."""

    def __init__(self, boot, whole, servers, answers_for=None):
        self.clock, self.lines, self.lists = Clock(), [], 0
        leases = SlowStartLeases(self.clock, 1, random.Random(5), lambda *_: None, lambda: [1], self.cold_numbers, True)
        self.clock.advance(100.0)
        self.serving = True
        boot = settings.parse_settings(boot)
        self.membership = MembershipTable(Member(1, 0, MemberFlags.READY, last_heartbeat=100.0), 1e6)
        self.endpoints = EndpointList()
        self.servers = Lines(self)
        self.asks = []
        self.proxy = Proxy(
            self.clock,
            boot,
            self.membership,
            self.endpoints,
            self.servers,
            lambda: self.serving,
            self.asks.append,
            random.Random(7),
        )
        self.proxy.table = routing_table.RoutingTable(configuration.parse_configuration(whole))
        self.proxy.slow_start_leases = leases
        self.list(servers)

    def cold_numbers(self, now):
        return self.proxy.wanted_leases(now)

    def say(self, text):
        self.lines.append(f"{self.clock.seconds() - 100.0:6.2f}  {text}")

    def list(self, servers):
        """(id, service, zone) and what else the platform's list says of each."""
        found = [
            ListedInstance(id, service, f"10.9.0.{n}:80", zone, **more)
            for n, (id, service, zone, more) in enumerate(servers, 1)
        ]
        self.lists += 1
        self.endpoints.update_from_platform(self.clock.seconds() + 1e-6 * self.lists, found)
        self.proxy.update_endpoints()

    def ask(self, name, method=b"GET", path=b"/one/x", key=b"k1", long=0, **fields):
        """A client's request."""
        headers = {b"host": b"a.example", b"request-id": name.encode(), b"deadline-ms": b"3000"}
        if key:
            headers[b"authorization"] = b"Bearer " + key
        headers.update({k.encode().replace(b"_", b"-"): v for k, v in fields.items()})
        self.say(f"{name} -> {method.decode()} {path.decode()}")
        body, client_conn = b"scan" if method == b"POST" else b"", ClientConnection(self, name)
        if long:
            client_conn.upload = Upload(long, lambda: None, lambda: None)
        return self.proxy.handle_request(
            client_conn, Request(method, path, headers, body, True, bool(long), b"1", long or len(body))
        )

    def count(self, before=0.0, previous=0.0, left=0.5, silent=False):
        """The tally's holder answers the oldest question, or doesn't."""
        stays = self.asks.pop(0).done(None if silent else (before, previous, left))
        self.say(f"tally: {'silent' if silent else before}, the units {'stay' if stays else 'are taken off'}")

    def out(self):
        """The server that was sent to last and has not answered."""
        return [id for id, out in self.servers.out.items() if out][-1]

    def answer(self, status=200, id=None, **fields):
        """The server answers the oldest request it has."""
        id = id or self.out()
        attempt = self.servers.out[id].pop(0)
        headers = {
            b"request-id": attempt.request_id,
            b"server-stamp": b"st-" + id.encode(),
            b"keep-alive": b"timeout=9",
        }
        headers.update({k.encode().replace(b"_", b"-"): v for k, v in fields.items()})
        self.say(f"{id}: {status}{' not executed' if 'not_executed' in fields else ''}")
        attempt.end(EndReason.RESPONSE, Response(status, headers, b"bytes", True))

    def begin(self, status=200, **fields):
        """The server begins a long answer, which goes on as it comes; gives what is to be ended."""
        attempt = self.servers.out[self.out()][0]
        headers = {k.encode().replace(b"_", b"-"): v for k, v in fields.items()}
        response = Response(status, headers, b"part", True, True, 1 << 21)
        self.say(f"{attempt.target.id}: {status}, more to come")
        if attempt.begun(attempt, response, None) is None:
            self.servers.out[attempt.target.id].pop(0)
            return attempt.end(EndReason.RESPONSE, response)
        return lambda why: (self.servers.out[attempt.target.id].pop(0), attempt.end(why, response))

    def lose(self, why=EndReason.CONNECTION_LOST, written=True):
        """The connection ends without an answer, or never came up."""
        id = self.out()
        attempt = self.servers.out[id].pop(0)
        attempt.written = written
        self.say(f"{id}: {REASON_TEXTS[why]}")
        attempt.end(why)

    def wait(self, seconds):
        self.clock.advance(seconds)
