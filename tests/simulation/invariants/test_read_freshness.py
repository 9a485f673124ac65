"""STALE and KNOWN on synthetic histories: violations are found, and correct histories have none."""

from mapleline.simulation.history import ClientAttempt, FaultInterval
from mapleline.simulation.invariants import Rule

from ..history_builder import HistoryBuilder, InvariantTestCase

CONTENT_A = "aaaa"
CONTENT_B = "bbbb"


class TestReadFreshness(InvariantTestCase):
    def test_a_read_returns_nothing_older_than_is_known(self):
        self.assert_holds(
            HistoryBuilder().command(7, CONTENT_A, 10.0).read(7, CONTENT_A, 10.2),
            HistoryBuilder().command(7, CONTENT_A, 10.0).read(-1, "", 10.05, status=404),
            HistoryBuilder().command(7, CONTENT_A, 10.0).read(-1, "", 20.0, status=503),
            HistoryBuilder()
            .command(7, CONTENT_A, 9.0)
            .command(8, CONTENT_B, 20.0, status=None)
            .read(8, CONTENT_B, 20.0)
            .read(7, CONTENT_A, 20.05),
        )
        self.assert_breaks(
            Rule.STALE,
            HistoryBuilder().command(7, CONTENT_A, 9.0).command(8, CONTENT_B, 10.0).read(7, CONTENT_A, 10.2),
            HistoryBuilder().command(7, CONTENT_A, 10.0).read(-1, "", 10.2, status=404),
            HistoryBuilder()
            .command(7, CONTENT_A, 10.0)
            .command(8, CONTENT_B, 20.0, status=None)
            .read(8, CONTENT_B, 20.0)
            .read(7, CONTENT_A, 20.2),
        )
        stale_acknowledgement = (
            HistoryBuilder().command(7, CONTENT_A, 9.0).command(8, CONTENT_B, 10.0).command(7, CONTENT_A, 12.0)
        )
        stale_acknowledgement.history.responses[-1].version = 7  # an acknowledgement that states the version in force
        self.assert_breaks(Rule.STALE, stale_acknowledgement)

    def test_a_machine_without_contact_does_not_claim_that_something_is_missing(self):
        isolation = {"isolated": ["m2"], "since": 5.0}
        self.assert_holds(
            HistoryBuilder(**isolation).read(-1, "", 10.0, status=503),
            HistoryBuilder(**isolation).read(-1, "", 10.0, status=400),
            HistoryBuilder().read(-1, "", 10.0, status=404),
        )
        self.assert_breaks(
            Rule.KNOWN,
            HistoryBuilder(**isolation).read(-1, "", 10.0, status=404),
            HistoryBuilder(**isolation).read(-1, "", 10.0, status=403),
        )
        recently_disturbed = HistoryBuilder()
        recently_disturbed.history.faults.append(FaultInterval(8.0, 9.0, "m2"))
        self.assert_breaks(Rule.KNOWN, recently_disturbed.read(-1, "", 10.0, status=404))

    def test_a_client_is_not_denied_what_was_not_revoked(self):
        def answered(status, withdrawn):
            builder = HistoryBuilder()
            builder.history.attempts["q"] = ClientAttempt("q", "idempotent", "t", "k", "z1", 10.0, status, 10.1)
            builder.history.withdrawn.update(withdrawn)
            return builder

        self.assert_holds(answered(503, {}), answered(401, {"k": 9.0}))
        self.assert_breaks(Rule.KNOWN, answered(401, {}), answered(404, {"k": 11.0}))
        self.assert_breaks(Rule.MIXED, answered(200, {}))  # no server ran it
