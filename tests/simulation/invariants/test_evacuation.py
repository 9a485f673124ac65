"""LOST, as far as it concerns evacuations, on synthetic histories: violations are found, correct ones have none."""

from mapleline.simulation.history import FinalEvacuations
from mapleline.simulation.invariants import Rule

from ..history_builder import HistoryBuilder, InvariantTestCase

BEGIN = "/evacuations/z1/begin"
FINISH = "/evacuations/z1/finish"


class TestFinalEvacuations(InvariantTestCase):
    def test_final_evacuations_obey_the_last_acknowledged_command(self):
        def with_commands(evacuated_zones, *commands):
            builder = HistoryBuilder()
            for path, at, status in commands:
                builder.command(-1, "", at, status=status, path=path)
            builder.history.final_evacuations.append(FinalEvacuations(60.0, "m1", set(evacuated_zones)))
            return builder

        begun, ended = (BEGIN, 10.0, 200), (FINISH, 20.0, 200)
        self.assert_holds(
            with_commands(["z1"], begun),
            with_commands([], begun, ended),
            with_commands(["z1"], begun, (FINISH, 10.05, 200)),
            with_commands([], begun, (FINISH, 20.0, None)),
        )
        self.assert_breaks(
            Rule.LOST,
            with_commands([], begun),
            with_commands(["z1"], begun, ended),
            with_commands([], (FINISH, 4.0, None), begun),
        )
