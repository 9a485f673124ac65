"""Where clients go: the ingresses of their own zone, or the nearest there are."""

from __future__ import annotations

from random import Random
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


def answer(node: Node, door: Door, request: Request) -> None:
    """`GET /lookup?name=&region=&zone=`."""
    path, _, query = request.target.decode("latin-1").partition("?")
    if path != "/lookup" or request.method != b"GET":
        return door.reply(404, b"no such call")
    asked = parse_qs(query)
    members = [m for m in node.register.alive(node.reactor.seconds(), READY) if not m.flags & LEAVING]
    where = (asked.get(name, [""])[0] for name in ("zone", "region"))
    found = near(members, node.zones, node.boot.zones, *where, node.rng)
    if not found or node.boot.listen_addresses.front_addr is None:
        return door.reply(503, b"no ingress is ready", b"Retry-After: 0.3\r\n")
    port = node.boot.listen_addresses.front_addr[1]
    if len(found) > MOST:
        found = node.rng.sample(found, MOST)
    body = {"address_list": [f"{host(m.ip)}:{port}" for m in found], "ttl": f"{min(TTL_S, node.bounds.ttl_max):g}s"}
    door.reply(200, msgspec.json.encode(body), b"Content-Type: application/json\r\n")
