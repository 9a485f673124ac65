"""LOST for evacuations on histories made by hand: found in a bad one, and nothing in a good one."""

from mapleline.simulation.history import FinalEvacuations
from mapleline.simulation.invariants import Rule

from ..history_builder import HistoryBuilder, InvariantTestCase

BEGIN = "/evacuations/z1/begin"
FINISH = "/evacuations/z1/finish"


class TestFinalEvacuations(InvariantTestCase):
    def test_evacuations_at_the_end(self):
        def ends(emptied, *orders):
            made = HistoryBuilder()
            for path, at, status in orders:
                made.command(-1, "", at, status=status, path=path)
            made.history.final_evacuations.append(FinalEvacuations(60.0, "m1", set(emptied)))
            return made

        begun, ended = (BEGIN, 10.0, 200), (FINISH, 20.0, 200)
        self.assert_holds(
            ends(["z1"], begun),
            ends([], begun, ended),
            ends(["z1"], begun, (FINISH, 10.05, 200)),
            ends([], begun, (FINISH, 20.0, None)),
        )
        self.assert_breaks(Rule.LOST, ends([], begun), ends(["z1"], begun, ended), ends([], (FINISH, 4.0, None), begun))
