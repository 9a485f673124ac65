"""Where clients go: the ingresses of their own zone, or the nearest there are."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import parse_qs

import msgspec

from ..http1.messages import Request
from .courier import host
from .doors import Door
from .register import LEAVING, READY, Member

if TYPE_CHECKING:
    from .node import Node

MOST, ENOUGH = 64, 2
TTL_S = 2.0


def near(members: list[Member], zones: list[str], regions: dict[str, str], zone: str, region: str) -> list[Member]:
    """Those in the zone; with fewer than `ENOUGH` there those of the region as well, else all."""
    found = [m for m in members if zones[m.zone] == zone]
    if len(found) >= ENOUGH:
        return found
    found = [m for m in members if regions[zones[m.zone]] == region]
    return found if len(found) >= ENOUGH else members


def answer(node: Node, door: Door, request: Request) -> None:
    """`GET /lookup?name=&region=&zone=`."""
    path, _, query = request.target.decode("latin-1").partition("?")
    if path != "/lookup" or request.method != b"GET":
        return door.reply(404, b"no such call")
    asked = parse_qs(query)
    members = [m for m in node.register.alive(node.reactor.seconds(), READY) if not m.flags & LEAVING]
    found = near(members, node.zones, node.boot.zones, asked.get("zone", [""])[0], asked.get("region", [""])[0])
    if not found or node.boot.listen_addresses.front_addr is None:
        return door.reply(503, b"no ingress is ready", b"Retry-After: 0.3\r\n")
    port = node.boot.listen_addresses.front_addr[1]
    if len(found) > MOST:
        found = node.rng.sample(found, MOST)
    body = {"address_list": [f"{host(m.ip)}:{port}" for m in found], "ttl": f"{min(TTL_S, node.bounds.ttl_max):g}s"}
    door.reply(200, msgspec.json.encode(body), b"Content-Type: application/json\r\n")
