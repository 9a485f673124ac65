"""This node's replica of the control state: its acceptor and its disk.  No vote is sent before it is durable."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred, succeed

from ..transport.messages import Accept, Accepted, Chosen, Prepare, Promised, Reply
from .consensus import Acceptor, Record, referenced_digests
from .rollback_check import RollbackCheck
from .snapshot import FileFault, LoadedSnapshot
from .state import State, has_contents

if TYPE_CHECKING:
    from twisted.python.failure import Failure

    from ..context import NodeContext
    from .committed_state import CommittedState

logger = logging.getLogger(__name__)

SAVE_RETRY_DELAY_S = 1.0
DISK_ID_BITS = 31
NOT_DURABLE = -1  # `durable_version` of an acceptor whose record was never saved

VoteReply = Promised | Accepted


class LocalReplica:
    """The acceptor of this node, with its store; a node without a disk votes only as a seed during the bootstrap."""

    def __init__(self, context: NodeContext, committed: CommittedState, on_committed: Callable[[State], None]) -> None:
        """Create a replica; the disk is not read before `load`.

        `on_committed` is called with a state accepted here once it is known to be chosen.
        """
        self._context = context
        self._committed = committed
        self._on_committed = on_committed
        self._rollback_check = RollbackCheck()
        self._may_bootstrap = context.settings.initial_start  #: whether it may vote on the system's first state
        self.store = context.environment.snapshot_store()
        self.acceptor: Acceptor | None = None  #: None until the identity of the disk is durable
        self.disk_error: str | None = None  #: error of the last save; None after a successful one
        self.is_verified = True  #: whether peers have confirmed that the disk was not rolled back

    @property
    def disk_id(self) -> int:
        """The identity of the disk; 0 if there is no disk, or its identity is not durable yet."""
        return self.acceptor.disk_id if self.acceptor is not None and self.store is not None else 0

    @property
    def is_voter(self) -> bool:
        """Whether this replica has a vote on the next state."""
        state = self._committed.state
        if not self.disk_id or not self.is_verified or state is None:
            return False
        return state.is_voter(self._context.local_ip, self.disk_id)

    def promised_round(self) -> int:
        """Return the round of the highest ballot promised here; 0 for none."""
        return self.acceptor.record.promised.round if self.acceptor is not None else 0

    def acceptor_record(self) -> Record | None:
        """Return the acceptor's record; None before the identity of the disk is durable."""
        return self.acceptor.record if self.acceptor is not None else None

    def referenced_contents(self) -> set[int]:
        """Return the digests of the configurations that the record references."""
        return referenced_digests(self.acceptor.record) if self.acceptor is not None else set()

    # -- start -------------------------------------------------------------------------------------------------

    def load(self) -> State | None:
        """Load the record of an earlier incarnation; return the newest state that it knew to be chosen."""
        if self.store is None and not self._may_bootstrap:
            return None
        snapshot = self._read_store()
        record = snapshot.record
        if record is None or record.ip != self._context.local_ip:
            self._reject_store(record, snapshot.faults)
            return None
        acceptor = Acceptor(record)
        self.acceptor = acceptor
        self._committed.contents = snapshot.contents
        self.is_verified = not any(self._peer_sets(acceptor))
        state = acceptor.chosen_state
        return state if has_contents(state, snapshot.contents) else None

    def _read_store(self) -> LoadedSnapshot:
        snapshot = LoadedSnapshot(None, {}, [])
        if self.store is None:
            return snapshot
        try:
            snapshot = self.store.load()
            if snapshot.faults:
                self.store.quarantine()
        except OSError as err:
            logger.info("disk cannot be read", extra={"error": str(err)})
        for fault in snapshot.faults:
            logger.info("corrupt file", extra={"file": str(fault)})
        return snapshot

    def _reject_store(self, record: Record | None, faults: list[FileFault]) -> None:
        """Continue as a new replica; it takes no part in a bootstrap if an earlier one on this disk may have voted."""
        if record is not None:
            logger.info("corrupt file", extra={"file": "replica: another machine's, or restored from a dump"})
        # files of the legacy format cast no votes on this system's states
        has_voted = record is not None or any(not fault.is_legacy for fault in faults)
        self._may_bootstrap = self._may_bootstrap and not has_voted
        self._draw_identity(record.version if record is not None else 0)

    def _draw_identity(self, last_version: int) -> None:
        """Give this disk a new identity: a replica that has made no promise."""
        disk_id = self._context.rng.getrandbits(DISK_ID_BITS) | 1
        acceptor = Acceptor(Record(self._context.local_ip, disk_id, version=last_version + 1))
        acceptor.durable_version = NOT_DURABLE
        self.acceptor = None
        self.is_verified = True
        if self.store is None:
            self.acceptor = acceptor  # without a disk, it votes only as a seed during the bootstrap
            return

        def adopt(_: object) -> None:
            if self.acceptor is None:
                self.acceptor = acceptor
                if self._committed.state is not None:
                    self.learn_state(self._committed.state)

        def retry_later(reason: Failure) -> None:
            self._handle_disk_error(reason)
            self._context.reactor.callLater(SAVE_RETRY_DELAY_S, self._draw_identity, last_version)

        self._save(acceptor).addCallbacks(adopt, retry_later)

    # -- rollback of the disk ----------------------------------------------------------------------------------

    def check_rollback(self, ip: int, disk_id: int, record_version: int) -> None:
        """Compare this disk with a peer's latest knowledge of it.

        Args:
            ip: the address of the peer.
            disk_id: the identity of this disk as the peer knows it; 0 for none.
            record_version: the highest version of this disk's record that the peer knows.
        """
        acceptor = self.acceptor
        if acceptor is not None and disk_id and disk_id == self.disk_id and record_version > acceptor.durable_version:
            self._abandon_identity(acceptor, record_version)
            return
        if self.is_verified or acceptor is None or disk_id not in (0, self.disk_id):
            return
        now = self._context.now()
        peer_sets = [peers for peers in self._peer_sets(acceptor) if peers]
        if any(ip in peers for peers in peer_sets):
            self._rollback_check.record_confirmation(ip, now)
        self.is_verified = self._rollback_check.is_complete(now, peer_sets)

    def _abandon_identity(self, acceptor: Acceptor, known_version: int) -> None:
        """Continue under a new identity without a vote, since promises made after the copy was taken are lost."""
        logger.info(
            "disk was rolled back", extra={"known_version": known_version, "version_on_disk": acceptor.durable_version}
        )
        self._may_bootstrap = False
        self._draw_identity(acceptor.record.version)

    def _peer_sets(self, acceptor: Acceptor) -> list[set[int]]:
        """Return the other voters of each voter set in the newest known state, chosen or accepted."""
        state = self._committed.state or acceptor.chosen_state or acceptor.accepted_state
        if state is None:
            return []
        return [
            {replica.ip for replica in voters} - {self._context.local_ip} for voters in (state.voters, state.former)
        ]

    # -- the disk ----------------------------------------------------------------------------------------------

    def learn_state(self, state: State) -> None:
        """Save a chosen state, whose contents must be in `CommittedState.contents`, without waiting for the disk."""
        if self.acceptor is not None and self.store is not None:
            self.acceptor.learn(state)
            self._save_in_background(self.acceptor)

    def repair(self) -> None:
        """Save a committed state that is not durable yet, and scrub one file: rewrite it if it is corrupt."""
        acceptor = self.acceptor
        state = self._committed.state
        if self.store is None or acceptor is None:
            return
        if state is not None and acceptor.durable_chosen_number < state.number:
            self.learn_state(state)
        contents = dict(self._committed.contents)
        scrubbed = self._context.environment.run_in_thread(self.store.scrub, contents)
        scrubbed.addCallbacks(_log_repair, self._handle_disk_error)

    def _save(self, acceptor: Acceptor) -> Deferred[None]:
        """Save the record as it is now; the Deferred fires once it is on the disk."""
        record = acceptor.record

        def mark_durable(_: object) -> None:
            self.disk_error = None
            acceptor.on_record_saved(record)

        is_durable = record.version <= acceptor.durable_version and not self.disk_error
        if self.store is None or is_durable:
            return succeed(None).addCallback(mark_durable)
        committed = self._committed.contents
        contents = {digest: committed[digest] for digest in referenced_digests(record) if digest in committed}
        return self._context.environment.run_in_thread(self.store.save, record, contents).addCallback(mark_durable)

    def _save_in_background(self, acceptor: Acceptor) -> None:
        self._save(acceptor).addErrback(self._handle_disk_error)

    def _handle_disk_error(self, reason: Failure) -> None:
        self.disk_error = reason.getErrorMessage()
        logger.info("disk error", extra={"error": self.disk_error})

    # -- votes -------------------------------------------------------------------------------------------------

    def prepare(self, call: Prepare) -> Reply | Deferred[Reply]:
        """Reply to Prepare; a promise is sent once it is on the disk."""
        acceptor = self._voting_acceptor()
        if acceptor is None:
            return Promised(False, 0)
        is_granted = acceptor.prepare(call.ballot, call.known_number)
        record = acceptor.record
        state = record.accepted_state
        body = None
        if state is not None and state.config is not None and state.config.digest != call.known_content:
            body = self._committed.contents.get(state.config.digest)
        version = record.version if is_granted else 0
        reply = Promised(is_granted, record.disk_id, record.promised, record.accepted_ballot, state, body, version)
        return self._reply_when_durable(acceptor, reply, Promised(False, 0))

    def accept(self, call: Accept) -> Reply | Deferred[Reply]:
        """Reply to Accept; an acceptance is sent once the state and its configuration body are on the disk."""
        acceptor = self._voting_acceptor()
        if acceptor is None:
            return Accepted(False, 0)
        if not self._committed.add_body(call.state, call.configuration_body):
            return Accepted(False, acceptor.disk_id, needs_body=True)
        is_granted = acceptor.accept(call.ballot, call.state)
        record = acceptor.record
        reply = Accepted(is_granted, record.disk_id, record.promised, record_version=record.version)
        return self._reply_when_durable(acceptor, reply, Accepted(False, 0))

    def handle_chosen(self, message: Chosen) -> None:
        """Record that the state accepted here under a ballot is chosen."""
        acceptor = self.acceptor
        if acceptor is None or not acceptor.mark_chosen(message.ballot, message.state_number):
            return
        self._save_in_background(acceptor)
        if acceptor.chosen_state is not None:
            self._on_committed(acceptor.chosen_state)

    def _voting_acceptor(self) -> Acceptor | None:
        """Return the acceptor if it may vote: with a disk, or as a seed until the bootstrap is over.

        A node that knows no state, and has accepted none, takes part in a bootstrap only at its first start: later, its
        disk may not be the one that voted.
        """
        acceptor = self.acceptor
        if acceptor is None or not self.is_verified:
            return None
        state = self._committed.state
        if state is None:
            may_vote = self._may_bootstrap or acceptor.accepted_state is not None or acceptor.chosen_state is not None
        else:
            may_vote = self.store is not None or any(replica.ip == self._context.local_ip for replica in state.former)
        return acceptor if may_vote else None

    def _reply_when_durable(
        self, acceptor: Acceptor, reply: VoteReply, rejection: VoteReply
    ) -> Reply | Deferred[Reply]:
        """Return a refusal at once; fire with a vote once it is on the disk, or with `rejection` if the save fails."""
        if not reply.is_granted:
            return reply

        def confirm(_: object) -> Reply:
            # a vote must not be sent under an identity that was abandoned in the meantime
            return reply if acceptor is self.acceptor else rejection

        def reject(reason: Failure) -> Reply:
            self._handle_disk_error(reason)
            return rejection

        return self._save(acceptor).addCallbacks(confirm, reject)


def _log_repair(file: str | None) -> None:
    if file is not None:
        logger.info("corrupt file rewritten", extra={"file": file})
