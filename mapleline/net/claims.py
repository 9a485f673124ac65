"""Claims of one of the fleet's budgets on the counter, epoch by epoch (a thin driver round `budgets/`).

Lines: `budget claimed`, `budget claim failed`, `budget held` (a part comes into use, with `until`, when its
lease ends on the log's clock).  A claim without an answer grants nothing.  See docs/design/fleet.md.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from ..budgets import Budget, epoch_of
from ..telemetry import COUNTS, log

if TYPE_CHECKING:
    from .peers import Peers


class Claims:
    """One member's claims of `name`, in proportion to what `asked()` grew by in the last epoch."""

    def __init__(self, peers: Peers, name: str, asked: Callable[[], float]) -> None:
        told = peers.told
        self.peers, self.asked = peers, asked
        self.budget = Budget(name, told.whole, told.lease_s, told.clock_margin_s)
        self.claimed: set[int] = set()
        self.shown: set[int] = set()
        self.spans: dict[int, tuple[float, float]] = {}  # epoch -> where its part begins, and its share
        self.counted = (0, asked())  # epoch, and `asked` at its start
        self.demand = 0.0

    def tick(self, now: float) -> None:
        """`now` on the member's own clock, several times an epoch."""
        lease_s = self.budget.lease_s
        epoch = epoch_of(now, lease_s)
        if epoch != self.counted[0]:
            asked = self.asked()
            self.demand, self.counted = asked - self.counted[1] + 1.0, (epoch, asked)
            self.peers.call(self._demands(epoch + 1), round(self.demand, 3)).addErrback(lost)
        if epoch not in self.claimed:  # a start, or a claim ahead that was never made
            self._claim(epoch)
        if now - epoch * lease_s >= lease_s / 2 and epoch + 1 not in self.claimed:
            self._claim(epoch + 1)
        self._show(now)

    def _demands(self, epoch: int) -> str:
        return f"dem.{self.peers.told.fleet}.{self.budget.name}.{epoch}"

    def _claim(self, epoch: int) -> None:
        """Read the fleet's demands for `epoch`, then claim this member's share of the whole."""
        self.claimed.add(epoch)
        self.claimed.discard(epoch - 4)
        self.shown.discard(epoch - 4)
        self.peers.call(self._demands(epoch), 0).addCallbacks(
            lambda demands: self._claim_share(epoch, demands), lambda why: self._claim_share(epoch, None)
        )

    def _claim_share(self, epoch: int, demands: float | None) -> None:
        budget = self.budget
        want = round(budget.claim_size(self.demand, demands, self.peers.view.members), 3)

        def answered(total: float) -> None:
            part = budget.record_claim(epoch, want, total)
            self.spans[epoch] = ((total - want) / budget.whole, part / budget.whole)
            COUNTS["budget.claimed"] += 1
            log(
                "budget claimed",
                budget=budget.name,
                epoch=epoch,
                want=want,
                part=part,
                total=total,
                demand=self.demand,
                demands=demands,
            )
            self._show(self.peers.now())

        def failed(why: Any) -> None:
            COUNTS["budget.claim_failed"] += 1
            log("budget claim failed", budget=budget.name, epoch=epoch, why=why.getErrorMessage())

        name = f"bud.{self.peers.told.fleet}.{budget.name}.{epoch}"
        self.peers.call(name, want).addCallbacks(answered, failed)

    def _show(self, now: float) -> None:
        """Say when a part comes into use, and until when on the log's clock: what the checker sums."""
        epoch, budget = epoch_of(now, self.budget.lease_s), self.budget
        part = budget.usable(now)
        if part > 0 and epoch not in self.shown:
            self.shown.add(epoch)
            start, end = budget.lease_window(epoch)
            at, share = self.spans.pop(epoch)
            self.spans = {e: span for e, span in self.spans.items() if e > epoch}
            behind = time.time() - now  # of the module's clock, which no setting moves
            since, until = int((start + behind) * 1e9), int((end + behind) * 1e9)
            self.peers.shares.hold(at, at + share, since, until, budget.name)
            log(
                "budget held",
                budget=budget.name,
                whole=budget.whole,
                part=part,
                epoch=epoch,
                until=time.time() + (end - now),
            )


def lost(why: Any) -> None:
    """A call that was not heard: the next one of its kind counts again."""
    COUNTS["budget.beat_lost"] += 1
