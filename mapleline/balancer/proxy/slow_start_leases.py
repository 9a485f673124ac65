"""Leases on servers that are warming up: at most one node sends to such a server at any time.

A lease is granted by a majority of the control replicas (the voters).  Each voter grants it for `LEASE_S` on its own
clock from when it received the request; the holder counts from when it sent the request, which is earlier.  Any two
majorities have a voter in common, so no two nodes hold the same lease at once, whatever their views of the membership,
and the terms of two holders begin at least `LEASE_S` apart.  A voter keeps its grants in memory only: after a restart
it grants nothing until its earlier grants have expired.  Derivation of the bounds: docs/design/slow-start.md.

A lease's id is the CRC-32 of the server's id.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from ..transport.messages import LeaseGrant, LeaseRequest

if TYPE_CHECKING:
    import random

    from ..clock import Clock

#: Longer than the window of the rule FAILBACK, 1 s, plus `CONNECT_TIMEOUT_S`: a window then has two holders at most.
LEASE_S = 1.5

#: Time between two requests of a holder.  A lease survives one lost request and the round trip of the next.
RENEW_INTERVAL_S = 0.4

#: The holder treats a lease as expired this much before its voters do; clocks drift apart by less in `LEASE_S`.
EXPIRY_MARGIN_S = 0.05

#: Nonces and incarnations are 31 bits wide.
NONCE_MASK = 0x7FFFFFFF
INCARNATION_BITS = 31

NEVER = -1e9


class LeaseOwner(NamedTuple):
    """One run of a node's process."""

    ip: int
    incarnation: int


class Grant(NamedTuple):
    """A lease as one voter has granted it; `expires_at` is on the voter's clock."""

    owner: LeaseOwner
    expires_at: float


class LeaseVoter:
    """The leases that one control replica has granted; `now` is on its own clock."""

    def __init__(self, started_at: float) -> None:
        """`started_at`: when this process started; grants of an earlier process are not known."""
        self.started_at = started_at
        self.grants: dict[int, Grant] = {}

    def grant(self, now: float, owner: LeaseOwner, lease_ids: list[int]) -> list[int]:
        """Grant or renew leases for `LEASE_S`.

        Returns:
            The leases that no other owner holds; none within `LEASE_S` of the start.
        """
        if now - self.started_at < LEASE_S:
            return []
        self.grants = {lease_id: grant for lease_id, grant in self.grants.items() if grant.expires_at > now}
        granted = [lease_id for lease_id in lease_ids if self._owner(lease_id, owner) == owner]
        grant = Grant(owner, now + LEASE_S)
        self.grants.update(dict.fromkeys(granted, grant))
        return granted

    def _owner(self, lease_id: int, default: LeaseOwner) -> LeaseOwner:
        grant = self.grants.get(lease_id)
        return grant.owner if grant is not None else default


class LeaseHolder:
    """The leases that one node has requested and been granted; `now` is on its own clock.

    Attributes:
        requested_at: The time at which each open request was sent, by nonce.
        granted_at: By lease and voter, the time at which the last request that the voter granted was sent.
        voter_counts: The number of voters, as each voter reported it.
    """

    def __init__(self, incarnation: int) -> None:
        """`incarnation` identifies this process; after a restart the node is another owner."""
        self.incarnation = incarnation
        self.nonce = 0
        self.requested_at: dict[int, float] = {}
        self.granted_at: dict[int, dict[int, float]] = {}
        self.voter_counts: dict[int, int] = {}

    def new_request(self, now: float, lease_ids: list[int]) -> LeaseRequest:
        """Return a request for leases, to be sent to each voter now."""
        self._forget_expired(now)
        self.nonce = (self.nonce + 1) & NONCE_MASK
        self.requested_at[self.nonce] = now
        return LeaseRequest(self.nonce, self.incarnation, lease_ids)

    def record_grant(self, voter: int, grant: LeaseGrant) -> None:
        """Record a voter's grant; a grant for a request that is no longer open is ignored."""
        requested_at = self.requested_at.get(grant.nonce)
        if requested_at is None:
            return
        self.voter_counts[voter] = grant.voter_count
        for lease_id in grant.lease_ids:
            by_voter = self.granted_at.setdefault(lease_id, {})
            by_voter[voter] = max(requested_at, by_voter.get(voter, requested_at))

    def is_held(self, lease_id: int, now: float, voters: list[int]) -> bool:
        """Return whether a majority granted the lease.

        The majority is of the largest number of voters that this node or any voter knows of.
        """
        voter_count = max([len(voters), *(self.voter_counts.get(voter, 0) for voter in voters)])
        by_voter = self.granted_at.get(lease_id, {})
        valid = [voter for voter in voters if now - by_voter.get(voter, NEVER) < LEASE_S - EXPIRY_MARGIN_S]
        return len(valid) > voter_count // 2

    def _forget_expired(self, now: float) -> None:
        self.granted_at = {
            lease_id: by_voter
            for lease_id, by_voter in self.granted_at.items()
            if any(now - requested_at < LEASE_S for requested_at in by_voter.values())
        }
        self.requested_at = {nonce: sent_at for nonce, sent_at in self.requested_at.items() if now - sent_at < LEASE_S}


class SlowStartLeases:
    """The lease protocol of one node: its requests as a holder and, on a control replica, its grants as a voter."""

    def __init__(
        self,
        clock: Clock,
        own_ip: int,
        rng: random.Random,
        send: Callable[[int, LeaseRequest], None],
        voters: Callable[[], list[int]],
        wanted: Callable[[float], list[int]],
        is_voter: bool,
    ) -> None:
        """Start with no leases; `start` begins to request them.

        Args:
            clock: Time and timers.
            own_ip: This node's address.
            rng: Draws the incarnation.
            send: Sends a datagram to an address.
            voters: Returns the addresses of the control replicas.
            wanted: Returns the leases that this node should hold at a given time.
            is_voter: Whether this node is a control replica.
        """
        self.clock = clock
        self.own_ip = own_ip
        self.send = send
        self.voters = voters
        self.wanted = wanted
        self.holder = LeaseHolder(rng.getrandbits(INCARNATION_BITS))
        self.voter = LeaseVoter(clock.seconds()) if is_voter else None

    def start(self) -> None:
        """Request the wanted leases now and every `RENEW_INTERVAL_S`."""
        self.clock.callLater(RENEW_INTERVAL_S, self.start)
        self.request_leases()

    def request_leases(self) -> None:
        """Request or renew the wanted leases; those that are no longer wanted expire."""
        now = self.clock.seconds()
        lease_ids = self.wanted(now)
        if not lease_ids:
            return
        request = self.holder.new_request(now, lease_ids)
        for voter in self.voters():
            if voter != self.own_ip:
                self.send(voter, request)
            elif (grant := self.handle_request(voter, request)) is not None:
                self.handle_grant(voter, grant)

    def handle_request(self, ip: int, request: LeaseRequest) -> LeaseGrant | None:
        """Return the grant for a node's request; None if this node is not a voter."""
        if self.voter is None:
            return None
        owner = LeaseOwner(ip, request.incarnation)
        granted = self.voter.grant(self.clock.seconds(), owner, request.lease_ids)
        return LeaseGrant(request.nonce, len(self.voters()), granted)

    def handle_grant(self, ip: int, grant: LeaseGrant) -> None:
        """Record a voter's grant."""
        self.holder.record_grant(ip, grant)

    def is_held(self, lease_id: int, now: float) -> bool:
        """Return whether this node holds the lease now; then no other node does."""
        return self.holder.is_held(lease_id, now, self.voters())
