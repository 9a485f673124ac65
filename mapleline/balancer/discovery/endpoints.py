"""The endpoint list: the instances of all services, as last listed by the platform.

One node fetches the list; all others copy it from their peers.  `EndpointList` does no input or output, and its times
are in seconds on the clock of its own node.  docs/design/slow-start.md defines when an instance counts as warming up.
"""

from __future__ import annotations

from dataclasses import dataclass
from zlib import crc32

import msgspec

from ..settings import parse_duration

#: The end of the warm-up of an instance that is not known to be warming up.
NOT_WARMING_UP = float("-inf")

#: Two fetches report ends of the same warm-up that differ by less than this.
SAME_END_TOLERANCE_S = 0.05

#: Older lists are reported with this age, an hour.
MAX_AGE_MS = 3_600_000
MS_PER_S = 1000


class ListedInstance(msgspec.Struct, array_like=False):
    """One entry of the list, in the format of the platform and of the nodes; the field names are its keys.

    Attributes:
        instance_id: The id of one run of a server; after a restart the server has another.
        target_service: The service that it belongs to.
        address: Host and port.
        zone: Its zone.
        state: `ready`, or the reason why no requests may be sent to it.
        slot_count: The number of requests that it processes concurrently.
        cold_left: The remaining time of its warm-up, such as `300ms`.
        turn: How often its warm-up restarted before it was over; counted by the nodes, not by the platform.
    """

    instance_id: str
    target_service: str
    address: str
    zone: str
    state: str = "ready"
    slot_count: int = 1
    cold_left: str = "0ms"
    turn: int = 0


class InstancePage(msgspec.Struct):
    """One page of the platform's answer; `next_token` requests the next page, and None ends the list."""

    instance_list: list[ListedInstance]
    next_token: str | None = None


decode_page = msgspec.json.Decoder(InstancePage).decode
_encode_list = msgspec.msgpack.Encoder().encode
_decode_list = msgspec.msgpack.Decoder(list[ListedInstance]).decode


@dataclass(slots=True)
class Instance:
    """One run of a server.

    Attributes:
        id: Its id in the platform's list.
        service: The service that it belongs to.
        address: Host and port.
        zone: Its zone.
        slots: The number of requests that it processes concurrently, at least 1.
        ready: Whether requests may be sent to it at all.
        warming_until: When the current warm-up ends; `NOT_WARMING_UP` if there is none.
        warm_up_count: How often its warm-up restarted before it was over.
        warm_up_ended_at: When its last warm-up ends or ended; `NOT_WARMING_UP` if none was seen.
    """

    id: str
    service: str
    address: tuple[str, int]
    zone: str
    slots: int
    ready: bool
    warming_until: float
    warm_up_count: int = 0
    warm_up_ended_at: float = NOT_WARMING_UP


class EndpointList:
    """The newest list that is known at this node.

    Attributes:
        max_lag_s: How much older than its fetch the platform's list may be.
        instances: The instances by id, in the order of the list.
        fetched_at: When the list was fetched from the platform.
        body: The list in the encoding that is sent to peers.
        digest: A checksum of everything except remaining times; 0 before the first list.
    """

    def __init__(self, max_lag_s: float = 0.8) -> None:
        """Create an empty list."""
        self.max_lag_s = max_lag_s
        self.instances: dict[str, Instance] = {}
        self.fetched_at = float("-inf")
        self.body = b""
        self.digest = 0

    def age_ms(self, now: float) -> int:
        """Return the time since the list was fetched, at most `MAX_AGE_MS`."""
        return int(min(MAX_AGE_MS, (now - self.fetched_at) * MS_PER_S))

    def update_from_platform(self, fetched_at: float, listed: list[ListedInstance]) -> bool:
        """Replace the list by one that this node fetched from the platform.

        Returns:
            Whether anything except remaining times has changed; False also if the list is not newer.
        """
        by_id = sorted(listed, key=lambda entry: entry.instance_id)
        counted = [msgspec.structs.replace(entry, turn=self._warm_up_count(fetched_at, entry)) for entry in by_id]
        return self._replace(fetched_at, counted, _encode_list(counted))

    def update_from_peer(self, fetched_at: float, body: bytes) -> bool:
        """Replace the list by one that another node fetched; the result is that of `update_from_platform`.

        Raises:
            msgspec.DecodeError: The body is not an encoded list.
        """
        return self._replace(fetched_at, _decode_list(body), body)

    def confirm(self, fetched_at: float, digest: int) -> None:
        """Set the age of the list to that of another node's list if both have the same digest."""
        if digest == self.digest and fetched_at > self.fetched_at:
            self.fetched_at = fetched_at

    def _warm_up_count(self, fetched_at: float, entry: ListedInstance) -> int:
        """Return the warm-up count of an entry fetched here; it rises if the warm-up ends later than known so far.

        The count is part of the digest, so peers that know the earlier end fetch the list with the later one.  A
        report of the platform that is up to `max_lag_s` late also seems to end later.  Therefore the ends of counted
        warm-ups are set later by that time (`_warming_until`), and a late report does not raise the count again.
        """
        known = self.instances.get(entry.instance_id)
        if known is None:
            return 0
        remaining_s = parse_duration(entry.cold_left)
        known_end = known.warming_until + SAME_END_TOLERANCE_S
        ends_later = remaining_s > 0 and fetched_at + remaining_s > known_end > NOT_WARMING_UP
        return known.warm_up_count + ends_later

    def _replace(self, fetched_at: float, listed: list[ListedInstance], body: bytes) -> bool:
        if fetched_at <= self.fetched_at:
            return False
        self.fetched_at = fetched_at
        self.body = body
        self.instances = {entry.instance_id: self._make_instance(fetched_at, entry) for entry in listed}
        digest = _digest(self.instances, fetched_at)
        has_changed = digest != self.digest
        self.digest = digest
        return has_changed

    def _make_instance(self, fetched_at: float, entry: ListedInstance) -> Instance:
        known = self.instances.get(entry.instance_id)
        is_warming = parse_duration(entry.cold_left) > 0
        warming_until = self._warming_until(fetched_at, entry, known)
        if is_warming or known is None:
            ended_at = warming_until
        else:
            ended_at = min(max(known.warm_up_ended_at, known.warming_until), fetched_at)
        host, _, port = entry.address.rpartition(":")
        return Instance(
            id=entry.instance_id,
            service=entry.target_service,
            address=(host, int(port)),
            zone=entry.zone,
            slots=max(1, entry.slot_count),
            ready=entry.state == "ready",
            warming_until=warming_until,
            warm_up_count=entry.turn,
            warm_up_ended_at=ended_at,
        )

    def _warming_until(self, fetched_at: float, entry: ListedInstance, known: Instance | None) -> float:
        """Return the end of the warm-up that an entry reports, but not before the known end of the same warm-up."""
        remaining_s = parse_duration(entry.cold_left)
        if remaining_s <= 0:
            return NOT_WARMING_UP
        until = fetched_at + remaining_s
        if known is not None and known.warm_up_count == entry.turn and known.warming_until > NOT_WARMING_UP:
            return max(until, known.warming_until)
        return until + self.max_lag_s if entry.turn > 0 else until


def _digest(instances: dict[str, Instance], now: float) -> int:
    """Return a checksum of the fields that routing depends on, never 0.  All nodes have to compute the same value."""
    rows = [
        (
            instance.id,
            instance.service,
            instance.address,
            instance.ready,
            instance.warming_until > now,
            instance.warm_up_count,
        )
        for instance in instances.values()
    ]
    return crc32(repr(rows).encode()) or 1
