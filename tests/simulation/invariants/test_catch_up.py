"""WHOLE on histories made by hand: found in a bad one, and nothing in a good one."""

from mapleline.simulation.invariants import Rule
from mapleline.simulation.records import MachineEventKind

from ..history_builder import HistoryBuilder, InvariantTestCase

A = "aaaa"
B = "bbbb"


class TestCatchUp(InvariantTestCase):
    def test_a_restarted_replica_votes_and_serves_by_the_newest_version(self):
        def back(voters, serves=8, at=24.1, **more):
            made = HistoryBuilder(voters=voters, **more).command(8, A, 18.0).event(20.0, MachineEventKind.START)
            return made.active(serves, A, at, by="m4") if serves is not None else made

        every = {"m1", "m2", "m3", "m4"}
        self.assert_holds(
            back(every, at=23.9),
            back(set(), at=23.9).event(22.0, MachineEventKind.KILL),
            back(set(), connected={"m1", "m2", "m3"}),
        )
        self.assert_breaks(Rule.CATCH_UP, back({"m1", "m2", "m3"}, at=23.9), back(every), back(every, None))
        self.assertEqual(
            self.rules_broken(back(every).command(7, B, 10.0).active(7, B, 23.0, by="m4")),
            [Rule.CONFIGURATION, Rule.CATCH_UP],
        )
        most = back(every, at=26.0)
        for name in ("m1", "m2", "m3"):
            most.event(20.0, MachineEventKind.START, name).active(8, A, 26.0, by=name)
        self.assert_holds(most)  # most of the core came back at once: twice the time
