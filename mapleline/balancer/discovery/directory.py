"""The directory service: answers clients with the addresses of the nearest ingresses (`GET /lookup`)."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING
from urllib.parse import parse_qs

import msgspec

from ..membership.member import Member, MemberFlags
from ..transport.addresses import ip_from_int

if TYPE_CHECKING:
    from random import Random

    from ...http1 import Request
    from ..clock import Clock
    from ..membership.table import MembershipTable
    from ..proxy.client_connection import ClientConnection
    from ..settings import Settings

#: Maximum number of addresses in one answer.
MAX_ADDRESSES = 64

#: An answer has the ingresses of the client's region if its zone has fewer, and all ingresses if the region has fewer.
MIN_ADDRESSES = 2

#: How long clients may cache an answer, unless `protocol_bounds.ttl_max` is less.
TTL_S = 2.0

JSON_HEADER = b"Content-Type: application/json\r\n"
RETRY_HEADER = b"Retry-After: 0.3\r\n"


class Directory:
    """Answers clients' look-ups from this node's membership table."""

    def __init__(
        self,
        clock: Clock,
        settings: Settings,
        membership: MembershipTable,
        rng: Random,
        has_read_lease: Callable[[], bool],
    ) -> None:
        """Create the service; without a read lease the table may be outdated, so it answers with no addresses."""
        self.clock = clock
        self.settings = settings
        self.membership = membership
        self.rng = rng
        self.has_read_lease = has_read_lease
        self._zone_names = sorted(settings.zones)

    def handle_request(self, client_conn: ClientConnection, request: Request) -> None:
        """Answer `GET /lookup?name=&region=&zone=` with addresses and their time to live."""
        path, _, query = request.target.decode("latin-1").partition("?")
        if path != "/lookup" or request.method != b"GET":
            client_conn.reply(404, b"no such call")
            return
        parameters = parse_qs(query)
        zone = parameters.get("zone", [""])[0]
        region = parameters.get("region", [""])[0]
        found = self._nearest(self._ready_members(), zone, region)
        front_addr = self.settings.listen_addresses.front_addr
        if not found or not self.has_read_lease() or front_addr is None:
            client_conn.reply(503, b"no ingress is ready, or no contact with the core", RETRY_HEADER)
            return
        if len(found) > MAX_ADDRESSES:
            found = self.rng.sample(found, MAX_ADDRESSES)
        _, port = front_addr  # each ingress uses the same port
        client_conn.reply(200, self._encode_answer(found, port), JSON_HEADER)

    def _ready_members(self) -> list[Member]:
        ready = self.membership.live_members(self.clock.seconds(), MemberFlags.READY)
        return [member for member in ready if not member.is_leaving]

    def _nearest(self, members: list[Member], zone: str, region: str) -> list[Member]:
        """Return the members of the zone, and one of another zone of the region because a whole zone may fail at once.

        If the zone has fewer than `MIN_ADDRESSES`, return those of the region; if the region has fewer, return all.
        """
        in_zone = [member for member in members if self._zone_names[member.zone] == zone]
        in_other_zones = [
            member for member in members if self._zone_names[member.zone] != zone and self._region_of(member) == region
        ]
        if len(in_zone) >= MIN_ADDRESSES:
            spare = self.rng.sample(in_other_zones, 1) if in_other_zones else []
            return in_zone + spare
        in_region = in_zone + in_other_zones
        return in_region if len(in_region) >= MIN_ADDRESSES else members

    def _region_of(self, member: Member) -> str:
        return self.settings.zones[self._zone_names[member.zone]]

    def _encode_answer(self, members: list[Member], port: int) -> bytes:
        ttl_s = min(TTL_S, self.settings.protocol_bounds.ttl_max)
        addresses = [f"{ip_from_int(member.ip)}:{port}" for member in members]
        return msgspec.json.encode({"address_list": addresses, "ttl": f"{ttl_s:g}s"})
