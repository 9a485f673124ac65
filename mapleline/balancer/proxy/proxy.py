"""The data plane: one decision a request, from a client's request to its one final answer."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any
from zlib import crc32

from ...http1.messages import Request, Response, write_chunk
from ...http1.upload import Upload
from ...policy.placing import Target, choose, too_late
from ...policy.window import Ask, Tenancy
from ..configuration import Route
from ..discovery.endpoints import EndpointList, Instance
from ..membership.member import MemberFlags
from ..membership.table import MembershipTable
from ..routing_table import RoutingTable
from ..settings import Settings
from ..transport.messages import LoadReport
from . import outcome
from .listener import ClientConnection
from .outcome import EndReason, Outcome, of_response
from .slow_start_leases import SlowStartLeases
from .upstream import Attempt, UpstreamConnection, UpstreamPool

HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
OWN = HOP | {b"authorization", b"tenant", b"deadline-ms", b"expect-instance", b"host"}
MARGIN_S = 0.03  # before the deadline, for the answer's way back
LEAST_S = 0.02  # with less left nothing is sent
AGAIN_PART = 0.97  # of the longest deadline: with less a try is not the first
BACK_MOST_S = 0.5
BACK_S = 0.3  # when to come back where nothing better is known
BUDGET_PART = 0.7  # of a further try's ratio is spent: what others count may lag
NEAR_S = 3.0  # what another has out is believed so long
DOUBT = 0.2  # weight of a long silence in a server's sickness
HEDGE = 4.0  # usual answer times without an answer: then another server is asked as well
USUAL_FIRST_S = 0.25
USUAL_GAIN = 0.05
WARM_UP_MARGIN_S = 1.05  # beyond a cold time: the span of the rule, and what clocks and ways differ by
UNREACHABLE_MOST = 4  # servers that could not be reached are no servers that it was sent to


class RequestContext:
    """One request in hand."""

    __slots__ = (
        "again",
        "arrived",
        "attempts",
        "proxy",
        "client_conn",
        "end_at",
        "hedge",
        "id",
        "kind",
        "over",
        "passing",
        "request",
        "route",
        "sent",
        "service",
        "is_body_discarded",
        "tenant",
        "timer",
        "tried",
        "unreachable",
        "upload",
        "worst",
    )

    def __init__(self, proxy: Proxy, client_conn: ClientConnection, request: Request, now: float) -> None:
        self.proxy, self.client_conn, self.request, self.arrived = proxy, client_conn, request, now
        self.attempts: list[Attempt] = []  #: out now
        self.sent = self.unreachable = 0
        self.tried: list[str] = []
        self.worst, self.over, self.timer, self.hedge = Outcome.NOT_EXECUTED, False, None, None
        self.upload: Upload | None = client_conn.upload  #: the rest of its body, still coming
        self.is_body_discarded = False  #: more of the body has gone out than is held
        self.passing: Attempt | None = None  #: its answer is on its way out in parts
        self.id = request.headers.get(b"request-id", b"")
        self.tenant: str | None = None

    def on_client_disconnected(self) -> None:
        """The client is gone."""
        self.end()
        self.cancel_attempts()

    def cancel_attempts(self) -> None:
        for attempt in list(self.attempts):
            attempt.cancel()

    def answer(self, status: int, body: bytes = b"", lines: bytes = b"") -> None:
        if not self.over:
            self.end()
            self.client_conn.reply(status, body, lines)

    def end(self) -> None:
        """Out of hand: its answer is out, or nobody wants one."""
        if self.over:
            return
        self.over = True
        for timer in (self.timer, self.hedge):
            if timer is not None and timer.active():
                timer.cancel()
        self.proxy.requests_in_flight.discard(self)

    def refuse(self, status: int, back_s: float, why: bytes) -> None:
        """Refused before it ran: says when to come back."""
        self.answer(status, why, b"Retry-After: %.2f\r\n" % max(0.05, back_s))


class Proxy:
    """Decides and sends; told of the configuration, the servers and the other ingresses by its node."""

    def __init__(
        self,
        reactor: Any,
        settings: Settings,
        membership: MembershipTable,
        endpoints: EndpointList,
        servers: UpstreamPool,
        may_serve: Callable[[], bool],
        ask: Callable[[Ask], None],
        rng: random.Random,
    ) -> None:
        self.reactor, self.settings, self.membership, self.endpoints = reactor, settings, membership, endpoints
        self.servers, self.may_serve, self.ask, self.rng = servers, may_serve, ask, rng
        self.table: RoutingTable | None = None
        self.evacuated_zones: set[str] = set()
        self.cooling: dict[str, float] = {}  #: zones taken back, whose servers count as cold until a list is as new
        self.slow_start_leases: SlowStartLeases | None = (
            None  #: who alone sends to which cold server; without them nobody does
        )
        self.targets: dict[str, Target] = {}
        self.requests_in_flight: set[RequestContext] = set()
        self.usual: dict[tuple[str, str], float] = {}  #: answer time by service and prefix
        self.longest: dict[str, float] = {}  #: deadlines of first tries, by prefix
        self.sizes: dict[tuple[str, str], float] = {}  #: bytes of an answer, likewise
        self.near: dict[int, tuple[float, LoadReport]] = {}  #: what others of the region have out
        self.told = LoadReport({}, {})
        self.credit: dict[str, float] = {}  #: further tries saved up, by service
        self.tenancies: dict[str, Tenancy] = {}
        self.counters: dict[str, int] = {}

    def count(self, what: str) -> None:
        self.counters[what] = self.counters.get(what, 0) + 1

    # -- the servers ---------------------------------------------------------------------------------------

    def update_endpoints(self) -> None:
        """The list has changed."""
        listed = self.endpoints.instances
        for id, one in listed.items():
            target = self.targets.get(id)
            if target is None:
                region = self.settings.zones.get(one.zone, "")
                target = self.targets[id] = Target(id, one.service, one.zone, region, one.slots)
            target.cold_until = max(target.cold_until, one.warming_until)
        for id in [id for id in self.targets if id not in listed]:
            self.servers.close_connections(self.targets.pop(id))
        if self.slow_start_leases is not None:
            self.slow_start_leases.request_leases()

    def next_load_report(self) -> LoadReport | None:
        """What is out at servers of this region, and which are sick, if that differs from what was last told."""
        now = self.reactor.seconds()
        near = [(crc32(t.id.encode()), t) for t in self.targets.values() if t.region == self.settings.region]
        tenths = ((id, int(10 * t.seen(now))) for id, t in near if t.bad)
        told = LoadReport({id: t.out for id, t in near if t.out}, {id: tenth for id, tenth in tenths if tenth > 2})
        if told == self.told:
            return None
        self.told = told
        return told

    def receive_load_report(self, ip: int, told: LoadReport, now: float) -> None:
        """Another ingress of the region has told that."""
        self.near[ip] = (now, told)
        sums: dict[int, int] = {}
        worst: dict[int, int] = {}
        for at, one in self.near.values():
            if now - at < NEAR_S:
                for id, count in one.in_flight.items():
                    sums[id] = sums.get(id, 0) + count
                for id, tenth in one.failure_tenths.items():
                    worst[id] = max(tenth, worst.get(id, 0))
        for target in self.targets.values():
            id = crc32(target.id.encode())
            target.near, target.bad_near = sums.get(id, 0), worst.get(id, 0) / 10

    def on_evacuation_ended(self, zone: str) -> None:
        """The zone's evacuation is over, and its servers may have turned cold shortly before: only a list that is
        fetched so much later than this shows it.
        """
        self.cooling[zone] = self.reactor.seconds() + self.settings.cloud_api.max_lag
        if self.slow_start_leases is not None:
            self.slow_start_leases.request_leases()

    def is_warming_up(self, one: Instance, now: float) -> bool:
        """Also in the second after: any span of one that begins while it is cold counts whole."""
        ends = max(one.warming_until, one.warm_up_ended_at + WARM_UP_MARGIN_S)
        return now < ends or self.endpoints.fetched_at < self.cooling.get(one.zone, -1e9)

    def cold_rate(self, one: Instance, now: float, rate: float) -> float:
        """Requests a second for the one that sends to it: what a cold server bears, and in the second after what the
        rule leaves (docs/design/cold.md: two holders send 2 + 1.35 x this in a second at most).
        """
        bounds = self.settings.protocol_bounds
        if now < one.warming_until or self.endpoints.fetched_at < self.cooling.get(one.zone, -1e9):
            return rate
        return max(rate, (rate * bounds.cold_overshoot + bounds.cold_slack - 2.5) / 1.35)

    def wanted_leases(self, now: float) -> list[int]:
        """The cold servers that this one should be the only one to send to: the first by lot of those in a zone asks
        for them.  Views of who is there may differ: it is the lease that counts.
        """
        cold = [
            one
            for one in self.endpoints.instances.values()
            if one.ready and one.zone not in self.evacuated_zones and self.is_warming_up(one, now)
        ]
        if not cold:
            return []
        ready, zones = self.membership.alive(now, MemberFlags.READY), sorted(self.settings.zones)
        near = {name: [m.ip for m in ready if m.zone == n] for n, name in enumerate(zones)}
        everywhere = [m.ip for m in ready]

        def lot(one: Instance) -> int:
            id = one.id.encode()
            ips = near.get(one.zone) or everywhere
            return min(ips, key=lambda ip: crc32(b"%d %s" % (ip, id)), default=0)

        return [crc32(one.id.encode()) for one in cold if lot(one) == self.membership.local_member.ip]

    def has_lease(self, one: Instance, now: float) -> bool:
        return self.slow_start_leases is not None and self.slow_start_leases.is_held(crc32(one.id.encode()), now)

    def usable(self, service: str, homes: set[str] | None, now: float) -> list[Target]:
        """Servers of a service that a request may go to now."""
        found = []
        rate = self.table.services[service].cold_rate_s if service in self.table.services else 0.0
        for one in self.endpoints.instances.values():
            target = self.targets.get(one.id)
            if target is None or one.service != service or not one.ready or one.zone in self.evacuated_zones:
                continue
            if homes is not None and target.region not in homes:
                continue
            if self.is_warming_up(one, now) and not (
                self.has_lease(one, now) and target.cold_turn(now, self.cold_rate(one, now, rate))
            ):
                continue
            found.append(target)
        return found

    # -- a request's path ----------------------------------------------------------------------------------

    def handle_request(self, client_conn: ClientConnection, request: Request) -> RequestContext:
        """A client's request has come in whole."""
        now = self.reactor.seconds()
        call = RequestContext(self, client_conn, request, now)
        self.requests_in_flight.add(call)
        self._admit(call, now)
        return call

    def _admit(self, call: RequestContext, now: float) -> None:
        table, headers = self.table, call.request.headers
        if table is None or not self.may_serve():
            self.count("unknowing")
            return call.refuse(503, BACK_S, b"not ready")
        host = headers.get(b"host", b"").decode("latin-1").lower()
        path = call.request.target.partition(b"?")[0].decode("latin-1")
        route = table.route(host, path)
        if route is None:
            return call.answer(404, b"no route")
        if not call.id:
            return call.answer(400, b"no Request-Id")
        owner = table.owner(headers.get(b"authorization", b"").decode("latin-1"))
        if owner is None and table.tenants and not route.anonymous:
            return call.answer(401, b"unknown key")
        call.route, call.tenant, call.kind = route, owner, route.route_kind
        said = headers.get(b"deadline-ms", b"")
        wait = min(route.timeout, int(said) / 1000 if said.isdigit() else route.timeout)
        call.end_at = now + wait - MARGIN_S
        longest = self.longest[route.path_prefix] = max(wait, self.longest.get(route.path_prefix, 0.0))
        call.again = wait < AGAIN_PART * longest  # a later try has what the earlier ones left of the deadline
        call.service = self._service(route)
        earned = BUDGET_PART * self.settings.protocol_bounds.retry_budget_ratio
        credit = self.credit.get(call.service, self._slack() / 2)
        self.credit[call.service] = min(self._slack(), credit + earned)
        call.timer = self.reactor.callLater(max(0.0, wait - MARGIN_S), self._late, call)
        tenant = table.tenants.get(owner) if owner else None
        if tenant is not None and tenant.rate_per_s > 0:
            tenancy = self.tenancies.get(owner)
            limits = (tenant.rate_per_s, tenant.burst_size)
            if tenancy is None or tenancy.limits != limits:
                bounds = self.settings.protocol_bounds
                tenancy = self.tenancies[owner] = Tenancy(
                    owner, *limits, bounds.quota_window, bounds.quota_overshoot, bounds.quota_slack
                )
            self.ask(Ask(tenancy, tenant.home_regions, lambda answer: self._counted(call, tenancy, answer)))
        else:
            self._dispatch(call)

    def _service(self, route: Route) -> str:
        shares = route.shares
        if len(shares) == 1:
            return shares[0][0]
        return self.rng.choices([name for name, _ in shares], [weight for _, weight in shares])[0]

    def _counted(self, call: RequestContext, tenancy: Tenancy, answer: Any) -> bool:
        """The tally has answered (None: it has not); says whether the units stay on it."""
        if call.over:
            return False
        if answer is None:
            self.count("tally.silent")
            call.refuse(503, BACK_S, b"quota unknown")
            return False
        before, previous, left = answer
        over = tenancy.judge(before, previous, left, self.reactor.seconds())
        if over is not None:
            self.count("over")
            call.refuse(429, over, b"over quota")
            return False
        self._dispatch(call)
        return call.sent > 0

    def _slack(self) -> float:
        """This ingress's part of the fleet's slack: half of it divided by all that are known."""
        return max(1.0, 0.5 * self.settings.protocol_bounds.retry_budget_slack / max(1, len(self.membership.members)))

    def _allowed_regions(self, call: RequestContext) -> set[str] | None:
        homes = set(call.route.home_regions) or None
        tenant = self.table.tenants.get(call.tenant) if call.tenant else None
        if tenant is not None and tenant.home_regions:
            homes = set(tenant.home_regions) if homes is None else homes & set(tenant.home_regions)
        return homes

    def _dispatch(self, call: RequestContext) -> None:
        now = self.reactor.seconds()
        if call.over:
            return
        if not self.may_serve() or not self._still_allowed(call):
            return None if call.attempts else self._give_up(call, False)
        left = call.end_at - now
        homes = self._allowed_regions(call)
        targets = self.usable(call.service, homes, now) if left > LEAST_S else []
        kilobytes = ((call.request.length or len(call.request.body)) + self.sizes.get(self._key(call), 0.0)) / 1000
        kept = self.table.homes.get(call.service, ()) if homes is None else ()
        best = choose(now, targets, self.settings.zone, self.settings.region, call.tried, self.rng, kilobytes, kept)
        if best is None:
            self.count("no_server")
            return None if call.attempts else self._give_up(call, False)
        usual, wait = self._usual(call), best.wait(now)
        if call.sent == 0 and not call.again and too_late(wait, usual, call.route.target_latency):
            self.count("full")
            return call.refuse(503, min(BACK_MOST_S, wait * usual), b"full")
        one = self.endpoints.instances[best.id]
        if self.is_warming_up(one, now):
            best.cold_store -= 1.0
        call.tried.append(best.id)
        data = self._head(call, one, left)
        attempt = Attempt(
            call.id,
            best,
            data,
            lambda a: self._ended(call, a),
            call.kind == "idempotent",
            lambda a, response, link: self._begun(call, a, response, link),
            call.upload,
        )
        attempt.free = wait == 0.0
        call.attempts.append(attempt)
        call.sent += 1
        if call.kind == "idempotent" and call.hedge is None:
            call.hedge = self.reactor.callLater(HEDGE * self._usual(call), self._hedge, call)
        self.servers.send(attempt, one.address)

    def _usual(self, call: RequestContext) -> float:
        """The time that an answer on its route takes."""
        return self.usual.get(self._key(call), USUAL_FIRST_S)

    def _key(self, call: RequestContext) -> tuple[str, str]:
        return call.service, call.route.path_prefix

    def _hedge(self, call: RequestContext) -> None:
        """No answer for long: the first one of two servers counts.  Breaking the other off would gain nothing."""
        now = self.reactor.seconds()
        if not call.over and call.passing is None and call.attempts and self._again(call):
            self.count("hedged")
            call.attempts[0].target.judged(now, True, DOUBT)
            self._dispatch(call)

    def _still_allowed(self, call: RequestContext) -> bool:
        """The key was not taken away while the request waited."""
        table = self.table
        owner = table.owner(call.request.headers.get(b"authorization", b"").decode("latin-1"))
        return owner == call.tenant

    def _head(self, call: RequestContext, one: Instance, left: float) -> bytes:
        request = call.request
        host = request.headers.get(b"host", b"")
        lines = [b"%b %b HTTP/1.1\r\nHost: %b\r\n" % (request.method, request.target, host)]
        lines += [b"%b: %b\r\n" % item for item in request.headers.items() if item[0] not in OWN]
        lines.append(b"Deadline-Ms: %d\r\nExpect-Instance: %b\r\n" % (max(1, left * 1000), one.id.encode()))
        if call.tenant:
            lines.append(b"Tenant: %b\r\n" % call.tenant.encode())
        body = request.body
        if call.upload is not None and call.upload.length is None:
            lines.append(b"Transfer-Encoding: chunked\r\n")
            body = write_chunk(body)
        elif body or request.method not in (b"GET", b"HEAD"):
            lines.append(b"Content-Length: %d\r\n" % (call.upload.length if call.upload is not None else len(body)))
        return b"%b\r\n%b" % (b"".join(lines), body)

    def _begun(
        self, call: RequestContext, attempt: Attempt, response: Response, link: UpstreamConnection
    ) -> ClientConnection | None:
        """A long answer has begun: it goes out as it comes, if it is the request's answer and the first of two."""
        if (
            call.over
            or call.passing is not None
            or of_response(response) is Outcome.NOT_EXECUTED
            or not outcome.may_pass(call.kind, response)
        ):
            return None
        call.passing = attempt
        call.client_conn.begin(response.status, self._lines(response), response.length, link)
        return call.client_conn

    def _ended(self, call: RequestContext, attempt: Attempt) -> None:
        """An attempt is over, by an answer or without one."""
        now, target, response = self.reactor.seconds(), attempt.target, attempt.response
        if attempt in call.attempts:
            call.attempts.remove(attempt)
        if attempt.outcome is not Outcome.NOT_EXECUTED:
            call.worst = max(call.worst, attempt.outcome)
        self._learn(call, attempt, now)
        if attempt is call.passing and not call.over:
            self.count("served" if response.status < 300 else "passed")
            call.end()
            return call.client_conn.ended(attempt.end_reason is EndReason.RESPONSE)
        if call.over or call.passing is not None:
            return
        good = response is not None and attempt.outcome is Outcome.EXECUTED and outcome.may_pass(call.kind, response)
        if good and response.status < 500:
            return self._pass(call, response)
        if response is not None and response.status == 421:
            self.targets.pop(target.id, None)
        if attempt.end_reason is EndReason.UNREACHABLE:
            call.sent -= 1
            call.unreachable += 1
            if call.unreachable < UNREACHABLE_MOST and not call.attempts:
                return self._dispatch(call)
        elif self._again(call):
            return self._dispatch(call)
        if call.attempts:
            return  # the other one may still answer
        if good:
            return self._pass(call, response)
        self._give_up(call, False)

    def _again(self, call: RequestContext) -> bool:
        """A further try is allowed, and the budget bears it."""
        if (
            call.is_body_discarded
            or not outcome.may_repeat(call.kind, call.worst)
            or call.sent >= call.route.max_attempts
        ):
            return False
        if call.end_at - self.reactor.seconds() < 2 * LEAST_S:
            return False
        credit = self.credit.get(call.service, self._slack() / 2)
        if credit < 1.0:
            self.count("no_budget")
            return False
        self.credit[call.service] = credit - 1.0
        return True

    def _learn(self, call: RequestContext, attempt: Attempt, now: float) -> None:
        target, response = attempt.target, attempt.response
        if response is None:
            if attempt.end_reason is EndReason.UNREACHABLE:
                target.unreachable(now)
            if attempt.end_reason in (
                EndReason.UNREACHABLE,
                EndReason.CONNECTION_LOST,
                EndReason.CONNECTION_CLOSED,
                EndReason.PROTOCOL_ERROR,
            ):
                target.judged(now, True)
            return
        load = response.headers.get(b"server-load", b"").split(b",")
        if len(load) == 3 and all(part.strip().isdigit() for part in load):
            target.told, target.told_at = float(load[0]) + float(load[1]), now
        if attempt.outcome is Outcome.NOT_EXECUTED:
            if response.status != 421:
                target.told, target.told_at = max(target.told, target.slots + 6.0), now
            return
        target.judged(now, response.status >= 500)
        took, usual, key = now - attempt.sent_at, self._usual(call), self._key(call)
        target.answered(took / usual)
        if response.status < 500 and attempt.free:
            self.usual[key] = usual + USUAL_GAIN * (took - usual)
            size = self.sizes.get(key, len(response.body))
            self.sizes[key] = size + USUAL_GAIN * (len(response.body) - size)

    def _pass(self, call: RequestContext, response: Response) -> None:
        """The server's answer, unchanged."""
        self.count("served" if response.status < 300 else "passed")
        call.answer(response.status, response.body, self._lines(response))

    @staticmethod
    def _lines(response: Response) -> bytes:
        return b"".join(b"%b: %b\r\n" % item for item in response.headers.items() if item[0] not in HOP)

    def _give_up(self, call: RequestContext, timed_out: bool) -> None:
        """No server has answered it, and none will be asked: told at once."""
        status = outcome.final_status(call.worst, timed_out)
        self.count(f"own.{status}")
        if status == 503:
            call.refuse(503, BACK_S, b"no server")
        else:
            call.answer(status, b"gone" if status == 502 else b"late")

    def _late(self, call: RequestContext) -> None:
        """The deadline: an attempt that is out may have run, or runs still."""
        if call.over:
            return
        if call.passing is not None:  # the client has waited as long as it would: it sees a part, and no end
            call.end()
            call.client_conn.ended(False)
            return call.cancel_attempts()
        if any(attempt.written for attempt in call.attempts):
            call.worst = max(call.worst, Outcome.UNKNOWN)
        self._give_up(call, True)
        call.cancel_attempts()
