"""The read lease: the time up to which a node is certain to know all chosen states (pure; times are arguments).

Times are seconds of the monotonic clock, never times of day.  A node answers for the system only after contact with a
majority: more than half of the voters, each queried at some time, had accepted nothing beyond the state committed here.
All states chosen before the earliest of these times are committed here: a newer chosen state needs acceptances from a
majority of the same voters, so one of the replicas that replied would have reported it (docs/design/control.md,
point 1).
"""

from __future__ import annotations

from .state import Replica, ReplicaId, State

#: The start of validity of a lease that does not exist.
NEVER = float("-inf")


class ReadLease:
    """Collects the replies of voters, and the leases that other nodes relay; all times are monotonic seconds."""

    def __init__(self) -> None:
        """Create an object without a lease."""
        self._asked_at: dict[ReplicaId, float] = {}
        self._relayed_since = NEVER

    def on_agreement(self, replica_id: ReplicaId, asked_at: float) -> None:
        """Record that a replica, queried at `asked_at`, had accepted nothing beyond the state committed here now."""
        self._asked_at[replica_id] = max(asked_at, self._asked_at.get(replica_id, NEVER))

    def on_relayed_lease(self, asked_at: float, age_s: float) -> None:
        """Record that another node, queried at `asked_at`, knew no newer state and had a lease of age `age_s`.

        The age is subtracted from the time of the query, since the reply was made no earlier than that.
        """
        self._relayed_since = max(self._relayed_since, asked_at - age_s)

    def valid_since(self, state: State | None) -> float:
        """Return the time before which all chosen states are contained in `state`; `NEVER` without a lease."""
        if state is None or not state.number:
            return NEVER
        own = min(self._majority_asked_at(voters) for voters in (state.voters, state.former) if voters)
        return max(own, self._relayed_since)

    def retain_voters(self, state: State) -> None:
        """Drop the replies of replicas that are not voters any more."""
        voters = state.all_voters()
        self._asked_at = {
            replica_id: asked_at
            for replica_id, asked_at in self._asked_at.items()
            if any(voter.matches(replica_id) for voter in voters)
        }

    def _majority_asked_at(self, voters: tuple[Replica, ...]) -> float:
        """Return the latest time such that a majority of the voters was queried at that time or later."""
        times = sorted((self._voter_asked_at(voter) for voter in voters), reverse=True)
        return times[len(voters) // 2]

    def _voter_asked_at(self, voter: Replica) -> float:
        times = (asked_at for replica_id, asked_at in self._asked_at.items() if voter.matches(replica_id))
        return max(times, default=NEVER)
