"""Which servers exist: the platform's list as one ingress fetched it, and the age of that news (pure)."""

from __future__ import annotations

from dataclasses import dataclass
from zlib import crc32

import msgspec

from ..settings import seconds


class ListedInstance(msgspec.Struct, array_like=False):
    """One entry of the platform's list."""

    instance_id: str
    target_service: str
    address: str
    zone: str
    state: str = "ready"
    slot_count: int = 1
    cold_left: str = "0ms"
    turn: int = 0  #: how often it was seen to turn cold while it was; ours, not the platform's


class Page(msgspec.Struct):
    """One answer of the platform."""

    instance_list: list[ListedInstance]
    next_token: str | None = None


WARM = float("-inf")
SAME_END_S = 0.05  # ends of one cold time, as two fetches tell them, lie apart by less
read_page = msgspec.json.Decoder(Page).decode
_pack = msgspec.msgpack.Encoder().encode
_unpack = msgspec.msgpack.Decoder(list[ListedInstance]).decode


@dataclass(slots=True)
class Instance:
    """One life of a server."""

    id: str
    service: str
    address: tuple[str, int]
    zone: str
    slots: int
    ready: bool
    cold_until: float
    turn: int = 0
    ended: float = WARM  #: when its last cold time ends, or ended


class EndpointList:
    """The newest list known here; times are on this ingress's clock."""

    def __init__(self, lag_s: float = 0.8) -> None:
        """`lag_s`: how much older than its fetching a list may be."""
        self.lag_s = lag_s
        self.instances: dict[str, Instance] = {}
        self.fetched = float("-inf")
        self.body, self.digest = b"", 0

    def age_ms(self, now: float) -> int:
        return int(min(3_600_000, (now - self.fetched) * 1000))

    def take_list(self, fetched: float, listed: list[ListedInstance]) -> bool:
        """A list that was fetched at that time; says whether anything but ages has changed."""
        listed = sorted(listed, key=lambda one: one.instance_id)
        listed = [msgspec.structs.replace(one, turn=self._turn(fetched, one)) for one in listed]
        return self._take(fetched, listed, _pack(listed))

    def _turn(self, fetched: float, one: ListedInstance) -> int:
        """Counts on where a later end is told than is known, for those who heard of the earlier one have to hear of it.

        What is left is told up to `lag_s` late, which looks the same: from the second time on the end is taken so much
        later, and late news is no news any more.
        """
        known, cold = self.instances.get(one.instance_id), seconds(one.cold_left)
        if known is None:
            return 0
        return known.turn + (cold > 0 and fetched + cold > known.cold_until + SAME_END_S > WARM)

    def take_body(self, fetched: float, body: bytes) -> bool:
        """The same from another ingress."""
        return self._take(fetched, _unpack(body), body)

    def _take(self, fetched: float, listed: list[ListedInstance], body: bytes) -> bool:
        if fetched <= self.fetched:
            return False
        self.fetched, self.body = fetched, body
        found = {}
        for one in listed:
            host, _, port = one.address.rpartition(":")
            known, cold = self.instances.get(one.instance_id), seconds(one.cold_left)
            until = fetched + cold if cold > 0 else WARM
            if cold > 0 and known is not None and known.turn == one.turn and known.cold_until > WARM:
                until = max(until, known.cold_until)
            elif one.turn > 0:
                until += self.lag_s
            found[one.instance_id] = Instance(
                one.instance_id,
                one.target_service,
                (host, int(port)),
                one.zone,
                max(1, one.slot_count),
                one.state == "ready",
                until,
                one.turn,
                until if cold > 0 or known is None else min(max(known.ended, known.cold_until), fetched),
            )
        self.instances = found
        told = [(i.id, i.service, i.address, i.ready, i.cold_until > fetched, i.turn) for i in found.values()]
        digest = crc32(repr(told).encode()) or 1
        changed, self.digest = digest != self.digest, digest
        return changed

    def same_at(self, fetched: float, digest: int) -> None:
        """Another has fetched the same list later."""
        if digest == self.digest and fetched > self.fetched:
            self.fetched = fetched
