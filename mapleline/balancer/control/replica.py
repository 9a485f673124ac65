"""One machine's replica: its acceptor with its disk.  Nothing is answered before it is lasting."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred, succeed

from ..environment import Environment
from ..logs import say
from ..transport.messages import Accept, Accepted, Chosen, Prepare, Promised, Reply
from .committed_state import CommittedState
from .consensus import Acceptor, Record, referenced_digests
from .state import State, has_contents

AGAIN_S = 1.0
VOUCH_S = 1.0  # some questions on end: who has not answered by then is not there


class LocalReplica:
    """`decided(state)` is called when what was accepted here is known to be chosen.  `seed`: without a disk, this one
    may vote on the first core.
    """

    def __init__(
        self,
        reactor: Any,
        environment: Environment,
        me: int,
        seed: bool,
        rng: random.Random,
        held: CommittedState,
        decided: Callable[[State], None],
    ) -> None:
        self.reactor, self.environment, self.me, self.seed, self.rng = reactor, environment, me, seed, rng
        self.committed, self.decided = held, decided
        self.store = environment.snapshot_store()
        self.acceptor: Acceptor | None = None  #: none until the identity of the disk is lasting
        self.fault: str | None = None  #: why the disk last refused, until it takes something
        self.is_verified = True  #: it has all that it once had, as far as the others know
        self._vouchers: dict[int, float] = {}  #: who said so, and when

    def load(self) -> State | None:
        """What an earlier life left on the disk: the newest state that it knew to be chosen."""
        record, contents, bad = None, {}, []
        if self.store is not None:
            try:
                record, contents, bad = self.store.load()
                if bad:
                    self.store.quarantine()
            except OSError as err:
                say("archive", "disk cannot be read", error=str(err))
            for fault in bad:
                say("archive", "bad file", file=str(fault))
        elif not self.seed:
            return None
        if record is not None and record.ip != self.me:
            say("archive", "bad file", file="replica: another machine's, or restored from a dump")
        if record is None or record.ip != self.me:
            spoilt = [fault for fault in bad if not fault.is_legacy]  # that voted on no core of ours
            self.seed = self.seed and not spoilt and record is None  # what was here may have voted on the first core
            self._renew(record.version if record is not None else 0)
            return None
        self.acceptor, self.committed.contents = Acceptor(record), contents
        self.is_verified = not any(self._others())
        state = self.acceptor.chosen_state
        return state if has_contents(state, contents) else None

    @property
    def disk(self) -> int:
        """The identity of the disk; 0 where there is none, or it is not lasting yet."""
        return self.acceptor.disk if self.acceptor is not None and self.store is not None else 0

    @property
    def is_voter(self) -> bool:
        state = self.committed.state
        return bool(self.disk) and self.is_verified and state is not None and state.is_voter(self.me, self.disk)

    def _renew(self, turn: int) -> None:
        """An empty disk is another replica than whatever was here before: it has promised nothing."""
        acceptor = Acceptor(Record(self.me, self.rng.getrandbits(31) | 1, version=turn + 1))
        acceptor.durable_version = -1  # nothing of it is on the disk yet
        self.acceptor, self.is_verified = None, True
        if self.store is None:
            self.acceptor = acceptor  # a seed's part in the founding
            return

        def kept(_: object) -> None:
            if self.acceptor is None:
                self.acceptor = acceptor
                if self.committed.state is not None:
                    self.learn(self.committed.state)

        def refused(reason: Any) -> None:
            self.refused(reason)
            self.reactor.callLater(AGAIN_S, self._renew, turn)

        self._sync(acceptor).addCallbacks(kept, refused)

    def check_rollback(self, ip: int, disk: int, seen: int) -> None:
        """Another one last heard from that disk here, and that its record had come so far; disk 0: it knows of none.

        After a start nothing is promised, accepted or proposed until so many of the voters have spoken that no majority
        with this one is without one of them; or, where these are not there, for a while after the first has.
        """
        if disk and disk == self.disk and seen > self.acceptor.durable_version:
            return self._disown(seen)
        if self.is_verified or self.acceptor is None or disk not in (0, self.disk):
            return
        now, others = self.reactor.seconds(), [one for one in self._others() if one]
        if any(ip in one for one in others):
            self._vouchers.setdefault(ip, now)
        heard = self._vouchers.keys()
        enough = all(len(one & heard) > len(one) // 2 for one in others)
        self.is_verified = enough or bool(heard) and now - min(self._vouchers.values()) > VOUCH_S

    def _others(self) -> list[set[int]]:
        """Whose word counts beside this one's, in each set that has to agree; of what was accepted where no more is
        known; none where nothing was.
        """
        state = self.committed.state or self.acceptor.chosen_state or self.acceptor.accepted_state
        sets = (state.voters, state.former) if state is not None else ()
        return [{r.ip for r in one} - {self.me} for one in sets]

    def _disown(self, seen: int) -> None:
        """Others have heard more from this disk than is on it: an older folder was put back.  What it promised can't be
        vouched for, so that it goes on as another replica, without a vote.
        """
        say("archive", "this folder is older than what it once held", seen=seen, held=self.acceptor.durable_version)
        self.seed = False
        self._renew(self.acceptor.record.version)

    # -- the disk ------------------------------------------------------------------------------------------

    def _sync(self, acceptor: Acceptor) -> Deferred:
        """Fires once the record, as it is now, is on the disk."""
        record = acceptor.record

        def synced(_: object) -> None:
            self.fault = None
            acceptor.on_record_saved(record)

        if self.store is None or record.version <= acceptor.durable_version and not self.fault:
            return succeed(None).addCallback(synced)
        contents = {
            name: self.committed.contents[name]
            for name in referenced_digests(record)
            if name in self.committed.contents
        }
        return self.environment.run_in_thread(self.store.save, record, contents).addCallback(synced)

    def keep(self) -> None:
        """What is held goes to the disk; nothing waits for it."""
        if self.acceptor is not None:
            self._sync(self.acceptor).addErrback(self.refused)

    def refused(self, reason: Any) -> None:
        self.fault = reason.getErrorMessage()
        say("archive", "disk refused", error=self.fault)

    def names(self) -> set[int]:
        """Contents that must not be forgotten."""
        return referenced_digests(self.acceptor.record) if self.acceptor is not None else set()

    def mend(self) -> None:
        """What is held and not lasting is written again, and one file that lies still is read."""
        acceptor, state = self.acceptor, self.committed.state
        if self.store is None or acceptor is None:
            return
        if state is not None and acceptor.durable_chosen_number < state.number:
            self.learn(state)

        def scrubbed(name: str | None) -> None:
            if name is not None:
                say("archive", "bad file mended", file=name)

        self.environment.run_in_thread(self.store.scrub, dict(self.committed.contents)).addCallbacks(
            scrubbed, self.refused
        )

    # -- its part in the agreement -------------------------------------------------------------------------

    def votes(self) -> bool:
        """Whether its promises may count: with a disk, or as a seed until the founding is over.  Who knows of no core,
        and has accepted none, takes part in a founding at the first start alone: else its disk may be another.
        """
        acceptor, state = self.acceptor, self.committed.state
        if acceptor is None or not self.is_verified:
            return False
        if state is None:
            return self.seed or acceptor.accepted_state is not None or acceptor.chosen_state is not None
        return self.store is not None or any(r.ip == self.me for r in state.former)

    def prepare(self, call: Prepare) -> Any:
        """A promise, once it is on the disk."""
        acceptor = self.acceptor
        if not self.votes():
            return Promised(False, 0)
        ok, record = acceptor.prepare(call.ballot, call.known_number), acceptor.record
        state, body = record.accepted_state, None
        if state is not None and state.config is not None and state.config.digest != call.known_content:
            body = self.committed.contents.get(state.config.digest)
        reply = Promised(
            ok, record.disk, record.promised, record.accepted_ballot, state, body, record.version if ok else 0
        )
        return self._answer(ok, reply, Promised(False, 0))

    def accept(self, call: Accept) -> Any:
        """A state, once it and its body are on the disk."""
        acceptor = self.acceptor
        if not self.votes():
            return Accepted(False, 0)
        if not self.committed.add_body(call.state, call.configuration_body):
            return Accepted(False, acceptor.disk, needs_body=True)
        ok, record = acceptor.accept(call.ballot, call.state), acceptor.record
        return self._answer(
            ok, Accepted(ok, record.disk, record.promised, record_version=record.version), Accepted(False, 0)
        )

    def _answer(self, ok: bool, reply: Reply, failed: Reply) -> Any:
        if not ok:
            return reply

        def refused(reason: Any) -> Reply:
            self.refused(reason)
            return failed

        acceptor = self.acceptor
        # what was promised under an identity that was given up meanwhile counts for nothing
        return self._sync(acceptor).addCallbacks(lambda _: reply if acceptor is self.acceptor else failed, refused)

    def handle_chosen(self, message: Chosen) -> None:
        """What was accepted here under that ballot is chosen."""
        if self.acceptor is not None and self.acceptor.mark_chosen(message.ballot, message.state_number):
            self.keep()
            self.decided(self.acceptor.chosen_state)

    def learn(self, state: State) -> None:
        """A chosen state, of which all is held here."""
        if self.acceptor is not None and self.store is not None:
            self.acceptor.learn(state)
            self.keep()
