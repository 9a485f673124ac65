"""Where a tenant's counters are: the two replicas of its shard, and which of them do not answer.

A shard of tenants has two replicas, in different regions if the tenant's homes allow it, else in different zones, so
that one of them survives the loss of a region (docs/design/system.md, Quota counters).
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from enum import IntEnum
from typing import TYPE_CHECKING, NamedTuple
from zlib import crc32

from ..membership.table import MembershipTable
from ..transport.addresses import ip_from_int

if TYPE_CHECKING:
    from ..clock import Clock
    from ..settings import Settings

logger = logging.getLogger(__name__)

#: Tenants of a shard: what its replicas tell each other fits one datagram.
TENANTS_PER_SHARD = 16

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


def shard_of(tenant: str, tenant_count: int) -> int:
    """Return the shard of a tenant, out of as many as `tenant_count` tenants fill."""
    return crc32(tenant.encode()) % max(1, tenant_count // TENANTS_PER_SHARD)


def choose_replicas(shard: int, homes: str, candidates: list[Candidate]) -> list[int]:
    """Return the addresses of a shard's replicas, two if there are, in an order that all nodes agree on.

    Chosen by rendezvous hashing.  Nodes with a disk, which are the control replicas, come last: a partition through
    the control plane must not lie between two counter replicas.
    """
    if not candidates:
        return []

    def preference(candidate: Candidate) -> tuple[bool, int]:
        return candidate.has_disk, crc32(b"%d %d %s" % (candidate.ip, shard, homes.encode()))

    ranked = sorted(candidates, key=preference)
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
        self._suspect_until[ip] = now + SUSPECT_S

    def record_answer(self, ip: int) -> None:
        """It has answered a consultation."""
        self._misses.pop(ip, None)
        self.trust(ip)

    def trust(self, ip: int) -> None:
        """It has sent something: it is no longer suspected, but one more miss makes it so again."""
        self._suspect_until.pop(ip, None)

    def is_suspect(self, ip: int, now: float) -> bool:
        """Return whether it is to be passed over."""
        return self._suspect_until.get(ip, NEVER) > now


class ReplicaPlacement:
    """Places tenants on the replicas that this node knows to be alive."""

    def __init__(
        self, clock: Clock, settings: Settings, membership: MembershipTable, tenant_count: Callable[[], int]
    ) -> None:
        """`tenant_count` returns how many tenants the configuration in force has."""
        self.clock = clock
        self.settings = settings
        self.membership = membership
        self.tenant_count = tenant_count
        self.suspects = SuspectReplicas(clock)
        self._zone_names = sorted(settings.zones)

    def shard_of(self, tenant: str) -> int:
        """Return the tenant's shard."""
        return shard_of(tenant, self.tenant_count())

    def replicas_of(self, tenant: str, homes: tuple[str, ...]) -> list[int]:
        """Return the addresses of a tenant's replicas, in its home regions only if it has any."""
        now = self.clock.seconds()
        candidates = []
        for member in self.membership.alive(now):
            region = self._region(member.zone)
            if member.is_leaving or self.suspects.is_suspect(member.ip, now):
                continue
            if not homes or region in homes:
                candidates.append(Candidate(member.ip, member.zone, region, member.has_disk))
        return choose_replicas(self.shard_of(tenant), ",".join(homes), candidates)

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

    def _region(self, zone: int) -> str:
        return self.settings.zones[self._zone_names[zone]]
