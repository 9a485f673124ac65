"""ACKS and MAJORITY on histories made by hand: found in a bad one, and nothing in a good one."""

from mapleline.simulation.history import OPERATOR_RESPONSES, FaultInterval
from mapleline.simulation.invariants import Rule
from mapleline.simulation.records import MachineEventKind

from ..history_builder import HistoryBuilder, InvariantTestCase

A = "aaaa"
B = "bbbb"
BEGIN = "/evacuations/z1/begin"


class TestAcknowledgement(InvariantTestCase):
    def test_commands_are_acknowledged_after_a_repair_and_a_loss(self):
        def mended(took, status=200, connected=frozenset({"m1", "m2", "m3"}), **more):
            made = (
                HistoryBuilder(connected=connected, **more)
                .event(10.0, MachineEventKind.KILL)
                .event(11.0, MachineEventKind.REMOVE)
                .event(12.0, MachineEventKind.KILL, "m3")
            )
            return made.command(7, A, 16.1, took, status)

        self.assert_holds(mended(5.0), mended(9.0, connected=set()), mended(9.0).event(19.0, MachineEventKind.KILL))
        self.assert_breaks(Rule.MAJORITY, mended(6.2), mended(30.0, None))
        self.assert_holds(mended(6.1, 409).command(7, B, 16.0))  # who lost has its answer
        self.assert_breaks(
            Rule.ACKNOWLEDGEMENT,
            HistoryBuilder().command(7, A, 16.0, 6.2),
            HistoryBuilder().command(-1, "", 16.0, 6.0, None, BEGIN),
        )
        lossy = HistoryBuilder().command(7, A, 16.0, 6.2)
        lossy.history.faults.append(FaultInterval(17.0, 20.0, OPERATOR_RESPONSES))
        self.assert_holds(lossy)
        self.assert_breaks(
            Rule.ACKNOWLEDGEMENT,
            HistoryBuilder(connected={"m1", "m2", "m3"}).event(30.0, MachineEventKind.START).command(7, A, 16.0, 6.2),
        )
