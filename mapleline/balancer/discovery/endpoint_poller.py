"""Who asks the platform for the endpoint list, and when: the leader by election, others when the list grows old.

One node polls for all; docs/design/system.md, "The polling leader", gives the rules and what was weighed.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

from ..membership.leadership import Leadership, choose_successor
from ..membership.member import Member
from ..transport.messages import Vote, VoteRequest
from .platform_client import EMPTY_POLL_INTERVAL_S, POLL_INTERVAL_S, STALE_AFTER_S

if TYPE_CHECKING:
    from ..context import NodeContext
    from ..membership.electorate import Electorate
    from .endpoints import EndpointList

logger = logging.getLogger(__name__)

JITTER_LOW, JITTER_HIGH = 0.9, 1.1
"""Bounds of the factor by which the polling interval varies."""
SECOND_CANDIDATE_AFTER_S = 1.4
"""Age of the list from which the second candidate polls as well: the leader may be cut off from the platform."""
NO_VOTERS_AFTER_S = 5.0
"""Time after the start from which no control plane is assumed, if none was heard of."""
FALLBACK_POLLERS = 2
"""How many nodes poll a turn, on average, once the list is stale everywhere."""


class EndpointPoller:
    """Drives the election of the polling leader, and the polling."""

    def __init__(
        self,
        context: NodeContext,
        endpoints: EndpointList,
        leadership: Leadership,
        electorate: Electorate,
        fetch: Callable[[], None],
    ) -> None:
        """`fetch` starts one retrieval of the list from the platform, unless one is under way."""
        self._context = context
        self._my_ip = context.membership.local_member.ip
        self._endpoints = endpoints
        self._leadership = leadership
        self._electorate = electorate
        self._fetch = fetch
        self._is_stopped = False

    def run(self) -> None:
        """Poll the platform if it is this node's turn, and set the timer of the next turn."""
        now = self._context.now()
        interval_s = POLL_INTERVAL_S if self._endpoints.digest else EMPTY_POLL_INTERVAL_S
        jitter = self._context.rng.uniform(JITTER_LOW, JITTER_HIGH)
        self._context.reactor.callLater(interval_s * jitter, self.run)
        if self._is_stopped:
            return
        candidates = self._candidates(now)
        self._update_leadership(now, candidates)
        is_due = self._is_polling_due(now, candidates)
        if is_due and self._uptime(now) > EMPTY_POLL_INTERVAL_S / 2:
            self._fetch()

    def stop(self) -> None:
        """End polling, and hand the leadership on if it lies here."""
        self._is_stopped = True
        self._leadership.transfer_leadership(choose_successor(self._candidates(self._context.now())))

    def handle_vote_request(self, ip: int, request: VoteRequest) -> None:
        """Vote for the candidate if the leader is missing here as well."""
        if self._leadership.grant_vote(request.term, self._is_leader_missing(self._context.now())):
            self._context.send(ip, Vote(request.term))

    def receive_vote(self, ip: int, vote: Vote) -> None:
        """Count another node's vote for this one."""
        self._count_vote(ip, vote.term)

    def _count_vote(self, ip: int, term: int) -> None:
        """With a majority this node is the leader, and polls at once."""
        if self._leadership.receive_vote(term, ip, self._electorate.addresses()):
            logger.info("elected leader of endpoint polling", extra={"term": term})
            self._fetch()

    def _uptime(self, now: float) -> float:
        return now - self._context.started_at

    def _candidates(self, now: float) -> list[Member]:
        return [member for member in self._context.membership.alive(now) if not member.is_leaving]

    def _is_leader_missing(self, now: float) -> bool:
        return self._leadership.leader_ip not in {member.ip for member in self._candidates(now)}

    def _update_leadership(self, now: float, candidates: list[Member]) -> None:
        """Stand for election if the leader is missing and this node is next, or hand on to a better candidate."""
        is_next = choose_successor(candidates) == self._my_ip
        is_electorate_known = self._electorate.is_committed() or self._uptime(now) > NO_VOTERS_AFTER_S
        if is_next and is_electorate_known and self._is_leader_missing(now):
            self._request_votes()
        elif self._leadership.is_leader and not is_next:
            # replicas first: all nodes fetch the list from the leader
            self._leadership.transfer_leadership(choose_successor(candidates))

    def _request_votes(self) -> None:
        term = self._leadership.start_election()
        for ip in self._electorate.addresses():
            if ip != self._my_ip:
                self._context.send(ip, VoteRequest(term))
            elif self._leadership.grant_vote(term, True):
                self._count_vote(ip, term)

    def _is_polling_due(self, now: float, candidates: list[Member]) -> bool:
        """Return whether this node polls in this turn.  Draws a random number if the list is stale."""
        list_age_s = now - self._endpoints.fetched_at
        is_fallback = (
            list_age_s > STALE_AFTER_S
            and self._uptime(now) > 2 * EMPTY_POLL_INTERVAL_S
            and self._context.rng.random() < FALLBACK_POLLERS / (1 + len(candidates))
        )
        is_second = list_age_s > SECOND_CANDIDATE_AFTER_S and self._is_second(candidates)
        is_next = choose_successor(candidates) == self._my_ip
        return self._leadership.is_leader or is_next or is_second or is_fallback

    def _is_second(self, candidates: list[Member]) -> bool:
        """Return whether this node is the best candidate beside the leader."""
        others = (member for member in candidates if member.ip != self._leadership.leader_ip)
        return choose_successor(others) == self._my_ip
