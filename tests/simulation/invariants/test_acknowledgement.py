"""ACKS and MAJORITY on synthetic histories: violations are found, and correct histories have none."""

from mapleline.simulation.history import OPERATOR_RESPONSES, FaultInterval
from mapleline.simulation.invariants import Rule
from mapleline.simulation.records import MachineEventKind

from ..history_builder import HistoryBuilder, InvariantTestCase

CONTENT_A = "aaaa"
CONTENT_B = "bbbb"
BEGIN = "/evacuations/z1/begin"


class TestAcknowledgement(InvariantTestCase):
    def test_commands_are_acknowledged_after_a_repair_and_a_loss(self):
        def after_repair(took_s, status=200, connected=frozenset({"m1", "m2", "m3"}), **options):
            builder = (
                HistoryBuilder(connected=connected, **options)
                .event(10.0, MachineEventKind.KILL)
                .event(11.0, MachineEventKind.REMOVE)
                .event(12.0, MachineEventKind.KILL, "m3")
            )
            return builder.command(7, CONTENT_A, 16.1, took_s, status)

        self.assert_holds(
            after_repair(5.0), after_repair(9.0, connected=set()), after_repair(9.0).event(19.0, MachineEventKind.KILL)
        )
        self.assert_breaks(Rule.MAJORITY, after_repair(6.2), after_repair(30.0, None))
        self.assert_holds(after_repair(6.1, 409).command(7, CONTENT_B, 16.0))  # the rejected rival has a clear response
        self.assert_breaks(
            Rule.ACKNOWLEDGEMENT,
            HistoryBuilder().command(7, CONTENT_A, 16.0, 6.2),
            HistoryBuilder().command(-1, "", 16.0, 6.0, None, BEGIN),
        )
        with_lost_responses = HistoryBuilder().command(7, CONTENT_A, 16.0, 6.2)
        with_lost_responses.history.faults.append(FaultInterval(17.0, 20.0, OPERATOR_RESPONSES))
        self.assert_holds(with_lost_responses)
        self.assert_breaks(
            Rule.ACKNOWLEDGEMENT,
            HistoryBuilder(connected={"m1", "m2", "m3"})
            .event(30.0, MachineEventKind.START)
            .command(7, CONTENT_A, 16.0, 6.2),
        )
