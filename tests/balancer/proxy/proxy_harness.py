"""A proxy with stub clients, servers and quota counters on a virtual clock; it records a transcript of all messages."""

import random
from pathlib import Path

from twisted.internet.task import Clock

from mapleline.balancer import configuration, routing_table, settings
from mapleline.balancer.discovery.endpoints import EndpointList, ListedInstance
from mapleline.balancer.membership.member import Member, MemberFlags
from mapleline.balancer.membership.table import MembershipTable
from mapleline.balancer.proxy.dependencies import ProxyDependencies
from mapleline.balancer.proxy.outcome import EndReason
from mapleline.balancer.proxy.proxy import Proxy
from mapleline.balancer.proxy.slow_start_leases import SlowStartLeases
from mapleline.balancer.proxy.upstream_pool import UpstreamPool
from mapleline.http1 import Request, Response, Upload
from mapleline.policy.window import WindowUsage

APPROVED = Path(__file__).parent / "approved"
START_S = 100.0  # start of the test on the virtual clock; times in transcripts are relative to it
END_REASON_TEXTS = {  # the texts in the approved transcripts
    EndReason.CONNECTION_LOST: "lost",
    EndReason.PROTOCOL_ERROR: "spoilt",
    EndReason.UNREACHABLE: "unreachable",
}


def approve(case, name, lines):
    """Compare a transcript with the approved one byte for byte; if it differs, write it beside that as `.received`."""
    text, path = "\n".join(lines) + "\n", APPROVED / f"{name}.txt"
    if not path.exists() or path.read_text() != text:
        path.with_suffix(".received").write_text(text)
        case.assertEqual(text, path.read_text() if path.exists() else "", f"{name}: see {path}.received")


def header_fields(fields):
    """Return keyword arguments as header fields, with `-` in place of `_`."""
    return {name.encode().replace(b"_", b"-"): value for name, value in fields.items()}


class StubClientConnection:
    """A client's connection that records the responses sent to it."""

    def __init__(self, harness, name):
        self.harness = harness
        self.name = name
        self.upload = None

    def reply(self, status, body=b"", header_lines=b""):
        fields = " ".join(sorted(line for line in header_lines.decode().split("\r\n") if line))
        self.harness.record(f"{self.name} <- {status} {body.decode()} {fields}".strip())

    def begin_reply(self, status, header_lines, length, source):
        self.harness.record(f"{self.name} <- {status}, {length} bytes to come")

    def end_reply(self, is_complete):
        self.harness.record(f"{self.name} <- {'the end' if is_complete else 'cut off'}")


class StubUpstreamPool(UpstreamPool):
    """A pool whose servers respond only when a test tells them to; `in_flight` lists the attempts by server id."""

    def __init__(self, harness):
        super().__init__(harness.clock, None)
        self.harness = harness
        self.in_flight = {}

    def send(self, attempt, address):
        target = attempt.target
        target.in_flight += 1
        attempt.is_written = True
        attempt.sent_at = self.harness.clock.seconds()
        self.in_flight[target.id] = [*self.in_flight.pop(target.id, []), attempt]
        head = attempt.data.decode().replace("\r\n", " | ").rstrip(" |")
        self.harness.record(f"-> {target.id}  {head}")

    def close_connections(self, target):
        self.harness.record(f"nothing is kept at {target.id}")


class ProxyHarness:
    """The proxy of one node in zone z1 of region r1, with methods for the actions of clients, servers and quotas."""

    def __init__(self, settings_text, configuration_text, servers):
        self.clock = Clock()
        self.transcript = []
        self.list_count = 0
        leases = SlowStartLeases(
            self.clock, 1, random.Random(5), lambda *_: None, lambda: [1], self.wanted_leases, True
        )
        self.clock.advance(START_S)
        self.can_serve = True
        self.membership = MembershipTable(Member(1, 0, MemberFlags.READY, last_heartbeat=START_S), 1e6)
        self.endpoints = EndpointList()
        self.upstream_pool = StubUpstreamPool(self)
        self.quota_requests = []
        self.proxy = Proxy(
            ProxyDependencies(
                clock=self.clock,
                settings=settings.parse_settings(settings_text),
                membership=self.membership,
                endpoints=self.endpoints,
                upstream_pool=self.upstream_pool,
                can_serve=lambda: self.can_serve,
                consult_quota=self.quota_requests.append,
                rng=random.Random(7),
            )
        )
        self.set_configuration(configuration_text)
        self.proxy.slow_start.leases = leases
        self.set_endpoints(servers)

    def wanted_leases(self, now):
        return self.proxy.slow_start.wanted_leases(now)

    def record(self, text):
        self.transcript.append(f"{self.clock.seconds() - START_S:6.2f}  {text}")

    def advance(self, seconds):
        self.clock.advance(seconds)

    def set_configuration(self, text):
        self.proxy.table = routing_table.RoutingTable(configuration.parse_configuration(text))

    def set_endpoints(self, servers):
        """Set the endpoint list; `servers` has tuples of id, service, zone and further fields of the list."""
        listed = [
            ListedInstance(instance_id, service, f"10.9.0.{number}:80", zone, **fields)
            for number, (instance_id, service, zone, fields) in enumerate(servers, 1)
        ]
        self.list_count += 1
        self.endpoints.update_from_platform(self.clock.seconds() + 1e-6 * self.list_count, listed)
        self.proxy.update_endpoints()

    # -- clients -------------------------------------------------------------------------------------------

    def request(self, name, method=b"GET", path=b"/one/x", key=b"k1", upload_bytes=0, **fields):
        """Send a client's request, with a streamed body if `upload_bytes` is not 0; return its context."""
        headers = {b"host": b"a.example", b"request-id": name.encode(), b"deadline-ms": b"3000"}
        if key:
            headers[b"authorization"] = b"Bearer " + key
        headers.update(header_fields(fields))
        self.record(f"{name} -> {method.decode()} {path.decode()}")
        body = b"scan" if method == b"POST" else b""
        client_conn = StubClientConnection(self, name)
        if upload_bytes:
            client_conn.upload = Upload(upload_bytes, lambda: None, lambda: None)
        request = Request(method, path, headers, body, True, bool(upload_bytes), b"1", upload_bytes or len(body))
        return self.proxy.handle_request(client_conn, request)

    # -- quota ---------------------------------------------------------------------------------------------

    def answer_quota(self, current=0.0, previous=0.0, share_left=0.5):
        """Answer the oldest quota request."""
        is_counted = self.quota_requests.pop(0).on_answer(WindowUsage(current, previous, share_left))
        self._record_quota(current, is_counted)

    def time_out_quota(self):
        """End the oldest quota request without an answer."""
        is_counted = self.quota_requests.pop(0).on_answer(None)
        self._record_quota("silent", is_counted)

    def _record_quota(self, answer, is_counted):
        self.record(f"tally: {answer}, the units {'stay' if is_counted else 'are taken off'}")

    # -- servers -------------------------------------------------------------------------------------------

    def last_server(self):
        """Return the server that got the newest attempt, of those with an attempt in flight."""
        return [instance_id for instance_id, attempts in self.upstream_pool.in_flight.items() if attempts][-1]

    def respond(self, status=200, **fields):
        """Have the last server respond to its oldest attempt."""
        instance_id = self.last_server()
        attempt = self.upstream_pool.in_flight[instance_id].pop(0)
        headers = {
            b"request-id": attempt.request_id,
            b"server-stamp": b"st-" + instance_id.encode(),
            b"keep-alive": b"timeout=9",
        }
        headers.update(header_fields(fields))
        self.record(f"{instance_id}: {status}{' not executed' if 'not_executed' in fields else ''}")
        attempt.end(EndReason.RESPONSE, Response(status, headers, b"bytes", True))

    def start_response(self, status=200, **fields):
        """Have the last server begin a long response.

        Returns a function that ends the response; None if the proxy does not stream it, in which case the attempt has
        ended with the whole response.
        """
        attempts = self.upstream_pool.in_flight[self.last_server()]
        attempt = attempts[0]
        response = Response(status, header_fields(fields), b"part", True, True, 1 << 21)
        self.record(f"{attempt.target.id}: {status}, more to come")
        if attempt.on_response_start(attempt, response, None) is None:
            attempts.pop(0)
            attempt.end(EndReason.RESPONSE, response)
            return None

        def end_response(reason):
            self.upstream_pool.in_flight[attempt.target.id].pop(0)
            attempt.end(reason, response)

        return end_response

    def end_without_response(self, reason=EndReason.CONNECTION_LOST, is_written=True):
        """End the last server's oldest attempt without a response."""
        instance_id = self.last_server()
        attempt = self.upstream_pool.in_flight[instance_id].pop(0)
        attempt.is_written = is_written
        self.record(f"{instance_id}: {END_REASON_TEXTS[reason]}")
        attempt.end(reason)
