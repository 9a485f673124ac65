"""Polling of the platform for the endpoint list: by an elected leader, and by other nodes when the list is stale.

One node polls for all.  docs/design/system.md, "The polling leader", has the rules and the alternatives considered.
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
"""Bounds of the random factor of the polling interval."""
SECOND_CANDIDATE_AFTER_S = 1.4
"""Age of the list above which the second candidate polls too: the leader may be unable to reach the platform."""
NO_CONTROL_PLANE_AFTER_S = 5.0
"""Time after the start at which a node that has learnt of no voters assumes that there is no control plane."""
FALLBACK_POLLERS = 2
"""Average number of nodes that poll per interval once the list is stale on all of them."""


class EndpointPoller:
    """Runs the election of the polling leader, and the polling."""

    def __init__(
        self,
        context: NodeContext,
        endpoints: EndpointList,
        leadership: Leadership,
        electorate: Electorate,
        fetch: Callable[[], None],
    ) -> None:
        """Create a poller; `fetch` starts to fetch the list from the platform, unless a fetch is in progress."""
        self._context = context
        self._local_ip = context.membership.local_member.ip
        self._endpoints = endpoints
        self._leadership = leadership
        self._electorate = electorate
        self._fetch = fetch
        self._is_stopped = False

    def run(self) -> None:
        """Poll the platform if polling is due here, and set the timer for the next interval."""
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
        """Stop polling; if this node is the leader, transfer the leadership."""
        self._is_stopped = True
        self._leadership.transfer_leadership(choose_successor(self._candidates(self._context.now())))

    def handle_vote_request(self, ip: int, request: VoteRequest) -> None:
        """Vote for the candidate if this node has lost the leader too."""
        if self._leadership.grant_vote(request.term, self._is_leader_missing(self._context.now())):
            self._context.send(ip, Vote(request.term))

    def receive_vote(self, ip: int, vote: Vote) -> None:
        """Count another node's vote for this one."""
        self._count_vote(ip, vote.term)

    def _count_vote(self, ip: int, term: int) -> None:
        """Count a vote; with a majority this node becomes the leader and polls at once."""
        if self._leadership.receive_vote(term, ip, self._electorate.addresses()):
            logger.info("elected leader of endpoint polling", extra={"term": term})
            self._fetch()

    def _uptime(self, now: float) -> float:
        return now - self._context.started_at

    def _candidates(self, now: float) -> list[Member]:
        return [member for member in self._context.membership.live_members(now) if not member.is_leaving]

    def _is_leader_missing(self, now: float) -> bool:
        return self._leadership.leader_ip not in {member.ip for member in self._candidates(now)}

    def _update_leadership(self, now: float, candidates: list[Member]) -> None:
        """Start an election if the leader is lost and this node is the best candidate, or transfer to a better one."""
        is_next = choose_successor(candidates) == self._local_ip
        is_electorate_known = self._electorate.is_committed() or self._uptime(now) > NO_CONTROL_PLANE_AFTER_S
        if is_next and is_electorate_known and self._is_leader_missing(now):
            self._request_votes()
        elif self._leadership.is_leader and not is_next:
            # Nodes with a disk are better candidates, because all nodes fetch the list from the leader.
            self._leadership.transfer_leadership(choose_successor(candidates))

    def _request_votes(self) -> None:
        term = self._leadership.start_election()
        for ip in self._electorate.addresses():
            if ip != self._local_ip:
                self._context.send(ip, VoteRequest(term))
            elif self._leadership.grant_vote(term, True):
                self._count_vote(ip, term)

    def _is_polling_due(self, now: float, candidates: list[Member]) -> bool:
        """Return whether this node polls in this interval.  Draws a random number if the list is stale."""
        list_age_s = now - self._endpoints.fetched_at
        is_fallback_due = (
            list_age_s > STALE_AFTER_S
            and self._uptime(now) > 2 * EMPTY_POLL_INTERVAL_S
            and self._context.rng.random() < FALLBACK_POLLERS / (1 + len(candidates))
        )
        is_second_candidate_due = list_age_s > SECOND_CANDIDATE_AFTER_S and self._is_second_candidate(candidates)
        is_next = choose_successor(candidates) == self._local_ip
        return self._leadership.is_leader or is_next or is_second_candidate_due or is_fallback_due

    def _is_second_candidate(self, candidates: list[Member]) -> bool:
        """Return whether this node is the best candidate apart from the leader."""
        others = (member for member in candidates if member.ip != self._leadership.leader_ip)
        return choose_successor(others) == self._local_ip
