"""Where a tenant's counters are: the two replicas of its shard, and which of them do not answer.

A shard of tenants has two replicas, in different regions if the tenant's homes allow it, else in different zones, so
that one of them survives the loss of a region (docs/design/system.md, Quota counters).
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

#: Shards are as many whatever the configuration: tenants that come or go move no other tenant's counters.  A large
#: deployment has more zones, and needs more shards, so that no replica is asked for more than it bears; fewer shards
#: mean fewer messages between replicas.
SHARDS_PER_ZONE = 4

#: The members are looked at again after that time, and at once when a suspicion begins or ends.
VIEW_MAX_AGE_S = 0.05

#: A node that is asked though it is no replica shares with so many at most that its shard prefers.
MAX_PREFERRED_PEERS = 6

#: After so many consultations in a row without an answer a replica is suspected, and passed over for a while.
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
    """How far away a node is; links between regions are slow and dear."""

    OWN_NODE = 0
    SAME_ZONE = 1
    SAME_REGION = 2
    OTHER_REGION = 3


def shard_of(tenant: str, shard_count: int) -> int:
    """Return the shard of a tenant."""
    return crc32(tenant.encode()) % shard_count


def rank_candidates(shard: int, homes: str, candidates: Iterable[Candidate]) -> list[Candidate]:
    """Return the candidates in the order in which a shard prefers them, on which all nodes agree.

    By rendezvous hashing.  Nodes with a disk, which are the control replicas, come last: a partition through the
    control plane must not lie between two counter replicas.
    """

    def preference(candidate: Candidate) -> tuple[bool, int]:
        return candidate.has_disk, crc32(b"%d %d %s" % (candidate.ip, shard, homes.encode()))

    return sorted(candidates, key=preference)


def choose_replicas(ranked: list[Candidate]) -> list[int]:
    """Return the addresses of a shard's replicas, two if there are, of its candidates in its order."""
    if not ranked:
        return []
    first = ranked[0]
    apart = [candidate for candidate in ranked if candidate.region != first.region]
    if not apart:
        apart = [candidate for candidate in ranked if candidate.zone != first.zone]
    return [candidate.ip for candidate in (first, *apart[:1])]


class SuspectReplicas:
    """Replicas that have not answered lately, by address."""

    def __init__(self, clock: Clock) -> None:
        """All are trusted at first."""
        self.clock = clock
        self.changes = 0
        """How many suspicions have begun or been taken back."""
        self._misses: dict[int, int] = {}
        self._suspect_until: dict[int, float] = {}

    def record_miss(self, ip: int) -> None:
        """A consultation of that replica got no answer in time."""
        self._misses[ip] = self._misses.get(ip, 0) + 1
        if self._misses[ip] < MAX_MISSES:
            return
        now = self.clock.seconds()
        if not self.is_suspect(ip, now):
            logger.info("counter replica suspected", extra={"replica": ip_from_int(ip), "misses": self._misses[ip]})
            self.changes += 1
        self._suspect_until[ip] = now + SUSPECT_S

    def record_answer(self, ip: int) -> None:
        """It has answered a consultation."""
        self._misses.pop(ip, None)
        self.trust(ip)

    def trust(self, ip: int) -> None:
        """It has sent something: it is no longer suspected, but one more miss makes it so again."""
        if self._suspect_until.pop(ip, None) is not None:
            self.changes += 1

    def is_suspect(self, ip: int, now: float) -> bool:
        """Return whether it is to be passed over."""
        return self._suspect_until.get(ip, NEVER) > now


class ShardPlacement(NamedTuple):
    """Addresses: of a shard's replicas, and of all its candidates in its order."""

    replicas: list[int]
    ranked: list[int]


class ReplicaView:
    """The nodes that may be replicas, as this node knows them at some time, and where they put each shard."""

    def __init__(self, candidates: tuple[Candidate, ...], shard_count: int) -> None:
        """`candidates`: alive and not leaving; not suspected either, where suspicions count."""
        self.candidates = candidates
        self._shard_count = shard_count
        self._placements: dict[tuple[int, tuple[str, ...]], ShardPlacement] = {}

    def placement_of(self, tenant: str, homes: tuple[str, ...]) -> ShardPlacement:
        """Return where a tenant's counters are, in its home regions only if it has any."""
        key = shard_of(tenant, self._shard_count), homes
        placement = self._placements.get(key)
        if placement is None:
            allowed = [candidate for candidate in self.candidates if not homes or candidate.region in homes]
            ranked = rank_candidates(key[0], ",".join(homes), allowed)
            placement = ShardPlacement(choose_replicas(ranked), [candidate.ip for candidate in ranked])
            self._placements[key] = placement
        return placement


class DatedView(NamedTuple):
    """A view of the nodes that are alive, be they suspected or not, and since when it is the current one."""

    since: float
    view: ReplicaView


class ReplicaPlacement:
    """Places tenants on the replicas that this node knows to be alive."""

    def __init__(self, clock: Clock, settings: Settings, membership: MembershipTable, history_s: float) -> None:
        """`history_s`: how far back `was_replica` can tell."""
        self.clock = clock
        self.settings = settings
        self.membership = membership
        self.suspects = SuspectReplicas(clock)
        self._history_s = history_s
        self._zone_names = sorted(settings.zones)
        self._trusting_views: deque[DatedView] = deque()
        self._shard_count = SHARDS_PER_ZONE * len(self._zone_names)
        self._view = ReplicaView((), self._shard_count)
        self._looked_at = NEVER
        self._suspicions_seen = -1

    def replicas_of(self, tenant: str, homes: tuple[str, ...]) -> list[int]:
        """Return the addresses of a tenant's replicas, in its home regions only if it has any."""
        return list(self._current_view().placement_of(tenant, homes).replicas)

    def peers_of(self, tenant: str, homes: tuple[str, ...]) -> list[int]:
        """Return with whom this node shares what it counts of a tenant.

        They are the tenant's other replicas, with and without the suspicions of this node.  Where it is no replica by
        its own view, but is asked, others pass over some that it takes for alive, and may be at any that the shard
        prefers to it.
        """
        own_ip = self.membership.local_member.ip
        replicas = self._current_view().placement_of(tenant, homes).replicas
        trusted, ranked = self._trusting_views[-1].view.placement_of(tenant, homes)
        peers = [*replicas, *trusted]
        if own_ip not in trusted and own_ip in ranked:
            peers += ranked[: ranked.index(own_ip)][-MAX_PREFERRED_PEERS:]
        return [ip for ip in dict.fromkeys(peers) if ip != own_ip]

    def was_replica(self, ip: int, tenant: str, homes: tuple[str, ...]) -> bool:
        """Return whether a node was a replica of the tenant all the time that is remembered, suspicions apart."""
        self._current_view()
        return all(ip in dated.view.placement_of(tenant, homes).replicas for dated in self._trusting_views)

    def distance(self, ip: int) -> Distance:
        """Return the distance of a node; one that is not known counts as this one."""
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
        is_fresh = now - self._looked_at < VIEW_MAX_AGE_S and self._suspicions_seen == self.suspects.changes
        if not is_fresh:
            self._look(now)
        return self._view

    def _look(self, now: float) -> None:
        """Take the members as they are now for the current views, and forget views that are too old."""
        self._looked_at, self._suspicions_seen = now, self.suspects.changes
        alive = tuple(
            Candidate(member.ip, member.zone, self._region(member.zone), member.has_disk)
            for member in self.membership.alive(now)
            if not member.is_leaving
        )
        views = self._trusting_views
        if not views or views[-1].view.candidates != alive:
            views.append(DatedView(now, ReplicaView(alive, self._shard_count)))
        while len(views) > 1 and views[1].since <= now - self._history_s:
            views.popleft()
        trusted = tuple(candidate for candidate in alive if not self.suspects.is_suspect(candidate.ip, now))
        if trusted == alive:
            self._view = views[-1].view
        elif trusted != self._view.candidates:
            self._view = ReplicaView(trusted, self._shard_count)

    def _region(self, zone: int) -> str:
        return self.settings.zones[self._zone_names[zone]]
