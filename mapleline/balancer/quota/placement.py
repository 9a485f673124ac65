"""Chooses the two replicas that hold a tenant's counters, and tracks replicas that do not answer.

Tenants are divided into shards.  A shard's two replicas are in different regions if the home regions of the tenant
allow it, so that one of them survives the loss of a region; otherwise they are in different zones
(docs/design/system.md, Quota counters).
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Iterable
from enum import IntEnum
from typing import TYPE_CHECKING, NamedTuple
from zlib import crc32

from ..membership.table import MembershipTable
from ..transport.addresses import ip_from_int

if TYPE_CHECKING:
    from ..clock import Clock
    from ..settings import Settings

logger = logging.getLogger(__name__)

#: The number of shards does not depend on the configuration, so that adding or removing a tenant moves no other
#: tenant's counters.  It grows with the zones, because a large deployment needs more shards to keep the load on each
#: replica bearable.  Fewer shards mean fewer messages between replicas.
SHARDS_PER_ZONE = 4

#: The placement is recomputed from the membership after this time, and at once when a suspicion begins or ends.
VIEW_MAX_AGE_S = 0.05

#: A node that is asked although it is not a replica shares its counts with at most this many of the nodes that the
#: shard prefers to it.
MAX_PREFERRED_PEERS = 6

#: After this many consecutive consultations without an answer a replica is suspected, and not used for this time.
MAX_MISSES = 2
SUSPECT_S = 1.2

NEVER = -1.0


class Candidate(NamedTuple):
    """A node that may be a replica; `zone` is an index into the sorted zones."""

    ip: int
    zone: int
    region: str
    has_disk: bool


class Distance(IntEnum):
    """How far away a node is; links between regions are slow and expensive."""

    OWN_NODE = 0
    SAME_ZONE = 1
    SAME_REGION = 2
    OTHER_REGION = 3


def shard_of(tenant: str, shard_count: int) -> int:
    """Return the shard of a tenant."""
    return crc32(tenant.encode()) % shard_count


def rank_candidates(shard: int, home_regions: str, candidates: Iterable[Candidate]) -> list[Candidate]:
    """Return the candidates in a shard's order of preference, on which all nodes agree.

    The order is that of rendezvous hashing.  Nodes with a disk, which are the control replicas, come last, so that a
    partition through the control plane does not also separate two counter replicas.

    Args:
        shard: The shard.
        home_regions: The home regions of the tenant, sorted and joined by commas; they are part of the hash.
        candidates: The nodes to rank.
    """

    def preference(candidate: Candidate) -> tuple[bool, int]:
        return candidate.has_disk, crc32(b"%d %d %s" % (candidate.ip, shard, home_regions.encode()))

    return sorted(candidates, key=preference)


def choose_replicas(ranked: list[Candidate]) -> list[int]:
    """Return the addresses of a shard's replicas, at most two, given its candidates in order of preference.

    The second one is in another region than the first, or else in another zone.
    """
    if not ranked:
        return []
    first = ranked[0]
    separate = [candidate for candidate in ranked if candidate.region != first.region]
    if not separate:
        separate = [candidate for candidate in ranked if candidate.zone != first.zone]
    return [candidate.ip for candidate in (first, *separate[:1])]


class SuspectReplicas:
    """Replicas that have not answered lately, by address.

    Attributes:
        clock: Supplies the time.
        changes: Number of suspicions that have begun or been withdrawn so far.
    """

    def __init__(self, clock: Clock) -> None:
        """Begin without any suspicion."""
        self.clock = clock
        self.changes = 0
        self._misses: dict[int, int] = {}
        self._suspect_until: dict[int, float] = {}

    def record_miss(self, ip: int) -> None:
        """Record that a replica did not answer a consultation in time."""
        self._misses[ip] = self._misses.get(ip, 0) + 1
        if self._misses[ip] < MAX_MISSES:
            return
        now = self.clock.seconds()
        if not self.is_suspect(ip, now):
            logger.info("counter replica suspected", extra={"replica": ip_from_int(ip), "misses": self._misses[ip]})
            self.changes += 1
        self._suspect_until[ip] = now + SUSPECT_S

    def record_answer(self, ip: int) -> None:
        """Record that a replica has answered a consultation, which ends its suspicion and resets its misses."""
        self._misses.pop(ip, None)
        self.clear_suspicion(ip)

    def clear_suspicion(self, ip: int) -> None:
        """End the suspicion of a replica that has sent a message; its misses stay, so one more suspects it again."""
        if self._suspect_until.pop(ip, None) is not None:
            self.changes += 1

    def is_suspect(self, ip: int, now: float) -> bool:
        """Return whether a replica is suspected, and therefore not to be used."""
        return self._suspect_until.get(ip, NEVER) > now


class ShardPlacement(NamedTuple):
    """The addresses of a shard's replicas, and of all its candidates in order of preference."""

    replicas: list[int]
    ranked: list[int]


class ReplicaView:
    """The nodes that may be replicas, as this node knows them at one time, and the placement that follows."""

    def __init__(self, candidates: tuple[Candidate, ...], shard_count: int) -> None:
        """Create a view.

        Args:
            candidates: The nodes that are alive and not leaving; without suspected ones if the view excludes these.
            shard_count: The number of shards.
        """
        self.candidates = candidates
        self._shard_count = shard_count
        self._placements: dict[tuple[int, tuple[str, ...]], ShardPlacement] = {}

    def placement_of(self, tenant: str, home_regions: tuple[str, ...]) -> ShardPlacement:
        """Return where a tenant's counters are: only in its home regions, if it has any."""
        key = shard_of(tenant, self._shard_count), home_regions
        placement = self._placements.get(key)
        if placement is None:
            allowed = [
                candidate for candidate in self.candidates if not home_regions or candidate.region in home_regions
            ]
            ranked = rank_candidates(key[0], ",".join(home_regions), allowed)
            placement = ShardPlacement(choose_replicas(ranked), [candidate.ip for candidate in ranked])
            self._placements[key] = placement
        return placement


class DatedView(NamedTuple):
    """A view of all nodes that are alive, suspected or not, and the time in seconds since which it has applied."""

    since: float
    view: ReplicaView


class ReplicaPlacement:
    """Places tenants on replicas that this node knows to be alive."""

    def __init__(self, clock: Clock, settings: Settings, membership: MembershipTable, history_s: float) -> None:
        """Begin without a view.

        Args:
            clock: Supplies the time.
            settings: The node's settings: zones, and its own zone and region.
            membership: The nodes that are known.
            history_s: The period that `was_replica` covers.
        """
        self.clock = clock
        self.settings = settings
        self.membership = membership
        self.suspects = SuspectReplicas(clock)
        self._history_s = history_s
        self._zone_names = sorted(settings.zones)
        self._views_with_suspects: deque[DatedView] = deque()
        self._shard_count = SHARDS_PER_ZONE * len(self._zone_names)
        self._view = ReplicaView((), self._shard_count)
        self._refreshed_at = NEVER
        self._suspicion_changes_seen = -1

    def replicas_of(self, tenant: str, home_regions: tuple[str, ...]) -> list[int]:
        """Return the addresses of a tenant's replicas, only in its home regions if it has any."""
        return list(self._current_view().placement_of(tenant, home_regions).replicas)

    def peers_of(self, tenant: str, home_regions: tuple[str, ...]) -> list[int]:
        """Return the addresses of the nodes that this node shares a tenant's counts with.

        These are the tenant's other replicas, both with suspected nodes excluded and with them included.  A node that
        is asked although it is not a replica by its own view also shares with the candidates that rank just above it:
        other nodes do not use some nodes that this one considers alive, and may use any of those candidates instead.
        """
        own_ip = self.membership.local_member.ip
        replicas = self._current_view().placement_of(tenant, home_regions).replicas
        replicas_with_suspects, ranked = self._views_with_suspects[-1].view.placement_of(tenant, home_regions)
        peers = [*replicas, *replicas_with_suspects]
        if own_ip not in replicas_with_suspects and own_ip in ranked:
            peers += ranked[: ranked.index(own_ip)][-MAX_PREFERRED_PEERS:]
        return [ip for ip in dict.fromkeys(peers) if ip != own_ip]

    def was_replica(self, ip: int, tenant: str, home_regions: tuple[str, ...]) -> bool:
        """Return whether a node was a replica of the tenant for the whole remembered period, ignoring suspicions."""
        self._current_view()
        return all(ip in dated.view.placement_of(tenant, home_regions).replicas for dated in self._views_with_suspects)

    def distance(self, ip: int) -> Distance:
        """Return the distance of a node; an unknown node counts as this one."""
        member = self.membership.members.get(ip)
        if ip == self.membership.local_member.ip or member is None:
            return Distance.OWN_NODE
        if self._zone_names[member.zone] == self.settings.zone:
            return Distance.SAME_ZONE
        if self._region(member.zone) == self.settings.region:
            return Distance.SAME_REGION
        return Distance.OTHER_REGION

    def _current_view(self) -> ReplicaView:
        now = self.clock.seconds()
        is_fresh = now - self._refreshed_at < VIEW_MAX_AGE_S and self._suspicion_changes_seen == self.suspects.changes
        if not is_fresh:
            self._refresh(now)
        return self._view

    def _refresh(self, now: float) -> None:
        """Update the views from the membership as it is now, and drop views that are older than the history."""
        self._refreshed_at, self._suspicion_changes_seen = now, self.suspects.changes
        alive = tuple(
            Candidate(member.ip, member.zone, self._region(member.zone), member.has_disk)
            for member in self.membership.live_members(now)
            if not member.is_leaving
        )
        views = self._views_with_suspects
        if not views or views[-1].view.candidates != alive:
            views.append(DatedView(now, ReplicaView(alive, self._shard_count)))
        while len(views) > 1 and views[1].since <= now - self._history_s:
            views.popleft()
        unsuspected = tuple(candidate for candidate in alive if not self.suspects.is_suspect(candidate.ip, now))
        if unsuspected == alive:
            self._view = views[-1].view
        elif unsuspected != self._view.candidates:
            self._view = ReplicaView(unsuspected, self._shard_count)

    def _region(self, zone: int) -> str:
        return self.settings.zones[self._zone_names[zone]]
