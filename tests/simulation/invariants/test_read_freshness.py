"""STALE and KNOWN on histories made by hand: found in a bad one, and nothing in a good one."""

from mapleline.simulation.history import ClientAttempt, FaultInterval
from mapleline.simulation.invariants import Rule

from ..history_builder import HistoryBuilder, InvariantTestCase

A = "aaaa"
B = "bbbb"


class TestReadFreshness(InvariantTestCase):
    def test_a_read_returns_nothing_older_than_is_known(self):
        self.assert_holds(
            HistoryBuilder().command(7, A, 10.0).read(7, A, 10.2),
            HistoryBuilder().command(7, A, 10.0).read(-1, "", 10.05, status=404),
            HistoryBuilder().command(7, A, 10.0).read(-1, "", 20.0, status=503),
            HistoryBuilder().command(7, A, 9.0).command(8, B, 20.0, status=None).read(8, B, 20.0).read(7, A, 20.05),
        )
        self.assert_breaks(
            Rule.STALE,
            HistoryBuilder().command(7, A, 9.0).command(8, B, 10.0).read(7, A, 10.2),
            HistoryBuilder().command(7, A, 10.0).read(-1, "", 10.2, status=404),
            HistoryBuilder().command(7, A, 10.0).command(8, B, 20.0, status=None).read(8, B, 20.0).read(7, A, 20.2),
        )
        told = HistoryBuilder().command(7, A, 9.0).command(8, B, 10.0).command(7, A, 12.0)
        told.history.responses[-1].version = 7  # an acknowledgement that says what is in force
        self.assert_breaks(Rule.STALE, told)

    def test_a_machine_without_contact_does_not_claim_that_something_is_missing(self):
        away = {"isolated": ["m2"], "since": 5.0}
        self.assert_holds(
            HistoryBuilder(**away).read(-1, "", 10.0, status=503),
            HistoryBuilder(**away).read(-1, "", 10.0, status=400),
            HistoryBuilder().read(-1, "", 10.0, status=404),
        )
        self.assert_breaks(
            Rule.KNOWN,
            HistoryBuilder(**away).read(-1, "", 10.0, status=404),
            HistoryBuilder(**away).read(-1, "", 10.0, status=403),
        )
        lately = HistoryBuilder()
        lately.history.faults.append(FaultInterval(8.0, 9.0, "m2"))
        self.assert_breaks(Rule.KNOWN, lately.read(-1, "", 10.0, status=404))

    def test_a_client_is_not_denied_what_was_not_revoked(self):
        def asks(status, withdrawn):
            made = HistoryBuilder()
            made.history.attempts["q"] = ClientAttempt("q", "idempotent", "t", "k", "z1", 10.0, status, 10.1)
            made.history.withdrawn.update(withdrawn)
            return made

        self.assert_holds(asks(503, {}), asks(401, {"k": 9.0}))
        self.assert_breaks(Rule.KNOWN, asks(401, {}), asks(404, {"k": 11.0}))
        self.assert_breaks(Rule.MIXED, asks(200, {}))  # no server ran it
