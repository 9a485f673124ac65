"""RIVALS, AGAIN, ACKS and FORCE on synthetic histories: violations are found, and correct histories have none."""

from mapleline.simulation.invariants import Rule, check

from ..history_builder import HistoryBuilder, InvariantTestCase

CONTENT_A = "aaaa"
CONTENT_B = "bbbb"
BEGIN = "/evacuations/z1/begin"


class TestControlState(InvariantTestCase):
    def test_a_version_has_one_confirmed_content(self):
        rejected_rival = HistoryBuilder().command(7, CONTENT_A, 10.0).command(7, CONTENT_B, 10.0, status=409)
        self.assert_holds(
            rejected_rival,
            HistoryBuilder().command(7, CONTENT_A, 10.0).command(7, CONTENT_A, 12.0),
            HistoryBuilder().command(7, CONTENT_A, 10.0).command(8, CONTENT_B, 10.0),
            HistoryBuilder().command(7, CONTENT_A, 10.0, status=None).command(7, CONTENT_B, 10.0, status=409),
        )
        self.assert_breaks(
            Rule.RIVALS,
            HistoryBuilder().command(7, CONTENT_A, 10.0).command(7, CONTENT_B, 10.0),
            HistoryBuilder().command(7, CONTENT_A, 10.0).command(9, CONTENT_A, 11.0).command(7, CONTENT_B, 12.0),
            HistoryBuilder().command(7, CONTENT_A, 10.0, status=409).command(7, CONTENT_B, 10.0, status=409),
        )

    def test_a_repeated_command_is_not_rejected(self):
        self.assert_holds(
            HistoryBuilder().command(7, CONTENT_A, 10.0).command(7, CONTENT_A, 20.0),
            HistoryBuilder().command(7, CONTENT_A, 10.0).command(7, CONTENT_A, 20.0, status=None),
            HistoryBuilder().command(7, CONTENT_A, 10.0).command(7, CONTENT_A, 20.0, status=503),
            HistoryBuilder().command(-1, "", 10.0, path=BEGIN).command(-1, "", 20.0, path=BEGIN),
        )
        self.assert_breaks(
            Rule.REPEATED_COMMAND,
            HistoryBuilder().command(7, CONTENT_A, 10.0).command(7, CONTENT_A, 20.0, status=412),
            HistoryBuilder()
            .command(7, CONTENT_A, 10.0)
            .command(9, CONTENT_B, 12.0)
            .command(7, CONTENT_A, 20.0, status=412),
            HistoryBuilder().command(-1, "", 10.0, path=BEGIN).command(-1, "", 20.0, status=409, path=BEGIN),
        )
        violations = check(HistoryBuilder().command(7, CONTENT_A, 10.0).command(7, CONTENT_A, 20.0, status=412).history)
        self.assertIn("with no other change since", " ".join(map(str, violations)))
        in_force = (
            HistoryBuilder()
            .command(7, CONTENT_A, 10.0, status=None)
            .active(7, CONTENT_A, 11.0)
            .command(7, CONTENT_A, 20.0, status=409)
        )
        self.assertIn(Rule.REPEATED_COMMAND, self.rules_broken(in_force))  # no response, but it came into force

    def test_a_valid_configuration_without_a_rival_is_not_rejected(self):
        self.assert_breaks(
            Rule.ACKNOWLEDGEMENT, HistoryBuilder().command(7, CONTENT_A, 10.0, status=400).command(7, CONTENT_B, 30.0)
        )
        self.assertIn(Rule.ACKNOWLEDGEMENT, self.rules_broken(HistoryBuilder().command(7, CONTENT_A, 10.0, status=409)))

    def test_a_rejected_configuration_is_nowhere_in_force(self):
        rejected_rival = HistoryBuilder().command(7, CONTENT_A, 10.0).command(7, CONTENT_B, 10.0, status=409)
        self.assert_holds(rejected_rival.active(7, CONTENT_A, 11.0).read(7, CONTENT_A, 11.0))
        self.assert_holds(HistoryBuilder().command(7, CONTENT_A, 10.0, status=None).active(7, CONTENT_A, 10.0))
        self.assert_breaks(
            Rule.IN_FORCE,
            HistoryBuilder()
            .command(7, CONTENT_A, 10.0)
            .command(7, CONTENT_B, 10.0, status=409)
            .active(7, CONTENT_B, 11.0),
            HistoryBuilder()
            .command(7, CONTENT_A, 10.0)
            .command(7, CONTENT_B, 10.0, status=None)
            .active(7, CONTENT_B, 11.0),
            HistoryBuilder()
            .command(7, CONTENT_A, 10.0)
            .command(7, CONTENT_B, 10.0, status=None)
            .read(7, CONTENT_B, 11.0),
            HistoryBuilder().command(7, CONTENT_A, 10.0, is_valid=False),
            HistoryBuilder().active(7, CONTENT_A, 10.0),
            HistoryBuilder().command(7, CONTENT_A, 10.0, status=None).active(7, CONTENT_A, 9.0),
            HistoryBuilder().command(7, CONTENT_A, 9.0, status=400, is_valid=False).active(7, CONTENT_A, 10.0),
        )
