"""Where clients go: the ingresses of their own zone, or the nearest there are."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from urllib.parse import parse_qs

import msgspec

from ...http1.messages import Request
from ..membership.member import Member, MemberFlags
from ..membership.table import MembershipTable
from ..proxy.listener import ClientConnection
from ..settings import Settings
from ..transport.addresses import ip_from_int

MOST, ENOUGH = 64, 2
TTL_S = 2.0


def near(
    members: list[Member], zones: list[str], regions: dict[str, str], zone: str, region: str, rng: Random
) -> list[Member]:
    """Those in the zone and one besides, for a zone may be lost at once; with fewer than `ENOUGH` there those of the
    region, else all.
    """
    found = [m for m in members if zones[m.zone] == zone]
    beside = [m for m in members if zones[m.zone] != zone and regions[zones[m.zone]] == region]
    if len(found) >= ENOUGH:
        return found + (rng.sample(beside, 1) if beside else [])
    found += beside
    return found if len(found) >= ENOUGH else members


class Directory:
    """Answers for one ingress, while `in_touch()`: one without contact with the core speaks for nobody."""

    def __init__(
        self,
        reactor: object,
        settings: Settings,
        membership: MembershipTable,
        rng: Random,
        in_touch: Callable[[], bool],
    ):
        self.reactor, self.settings, self.membership, self.rng, self.in_touch = (
            reactor,
            settings,
            membership,
            rng,
            in_touch,
        )
        self.zones = sorted(settings.zones)

    def take(self, client_conn: ClientConnection, request: Request) -> None:
        """`GET /lookup?name=&region=&zone=`."""
        path, _, query = request.target.decode("latin-1").partition("?")
        if path != "/lookup" or request.method != b"GET":
            return client_conn.reply(404, b"no such call")
        asked = parse_qs(query)
        members = [m for m in self.membership.alive(self.reactor.seconds(), MemberFlags.READY) if not m.is_leaving]
        where = (asked.get(name, [""])[0] for name in ("zone", "region"))
        found = near(members, self.zones, self.settings.zones, *where, self.rng)
        if not found or not self.in_touch() or self.settings.listen_addresses.front_addr is None:
            return client_conn.reply(503, b"no ingress is ready, or no contact with the core", b"Retry-After: 0.3\r\n")
        port = self.settings.listen_addresses.front_addr[1]
        if len(found) > MOST:
            found = self.rng.sample(found, MOST)
        ttl = min(TTL_S, self.settings.protocol_bounds.ttl_max)
        body = {"address_list": [f"{ip_from_int(m.ip)}:{port}" for m in found], "ttl": f"{ttl:g}s"}
        client_conn.reply(200, msgspec.json.encode(body), b"Content-Type: application/json\r\n")
