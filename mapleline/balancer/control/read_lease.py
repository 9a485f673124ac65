"""The read lease: since when a node is certain to know the newest chosen state (pure; times are arguments).

Ages on the steady clock, never times of day.  A node answers for the system only after contact with a majority: each
of more than half of the voters, asked at some moment, had accepted nothing beyond the state committed here.  Whatever
was chosen before the oldest of these moments is committed here, since the first state chosen after it stands on a
majority of the same voters, one of which answered and would have shown it (docs/design/control.md, point 1).
"""

from __future__ import annotations

from .state import Replica, ReplicaId, State

#: The moment that a lease is valid since where there is none.
NEVER = float("-inf")


class ReadLease:
    """Collects the answers of voters, and what other nodes pass on of theirs; all times are steady seconds."""

    def __init__(self) -> None:
        """Begin without a lease."""
        self._asked_at: dict[ReplicaId, float] = {}
        self._relayed_since = NEVER

    def on_agreement(self, replica_id: ReplicaId, asked_at: float) -> None:
        """Take in that a replica, asked at that time, had accepted nothing beyond the state committed here now."""
        self._asked_at[replica_id] = max(asked_at, self._asked_at.get(replica_id, NEVER))

    def on_relayed_lease(self, asked_at: float, age_s: float) -> None:
        """Take in that another node, asked at that time, knew nothing newer and had a lease of that age.

        The age counts from the question, as the answer was given no earlier.
        """
        self._relayed_since = max(self._relayed_since, asked_at - age_s)

    def valid_since(self, state: State | None) -> float:
        """Return the moment before which everything chosen is contained in `state`; `NEVER` if none is known."""
        if state is None or not state.number:
            return NEVER
        own = min(self._majority_asked_at(voters) for voters in (state.voters, state.former) if voters)
        return max(own, self._relayed_since)

    def retain_voters(self, state: State) -> None:
        """Drop the answers of replicas that vote no more."""
        voters = state.all_voters()
        self._asked_at = {
            replica_id: asked_at
            for replica_id, asked_at in self._asked_at.items()
            if any(voter.matches(replica_id) for voter in voters)
        }

    def _majority_asked_at(self, voters: tuple[Replica, ...]) -> float:
        """Return the latest moment at or after which a majority of the voters was asked."""
        times = sorted((self._voter_asked_at(voter) for voter in voters), reverse=True)
        return times[len(voters) // 2]

    def _voter_asked_at(self, voter: Replica) -> float:
        times = (asked_at for replica_id, asked_at in self._asked_at.items() if voter.matches(replica_id))
        return max(times, default=NEVER)
