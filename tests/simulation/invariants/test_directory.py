"""DIRECTORY on histories made by hand: found in a bad one, and nothing in a good one."""

from mapleline.simulation.history import DirectoryLookup
from mapleline.simulation.invariants import Rule

from ..history_builder import HistoryBuilder, InvariantTestCase


class TestDirectory(InvariantTestCase):
    def test_the_directory_without_a_majority(self):
        def looked_up(at, status, **away):
            made = HistoryBuilder(**away)
            made.history.lookups.append(DirectoryLookup(at, "m2", status))
            return made

        away = {"isolated": ["m2"], "since": 10.0, "until": 30.0}
        self.assert_holds(looked_up(14.0, 200, **away), looked_up(20.0, 503, **away), looked_up(31.0, 200, **away))
        self.assert_breaks(Rule.DIRECTORY, looked_up(15.2, 200, **away), looked_up(29.0, 200, **away))
