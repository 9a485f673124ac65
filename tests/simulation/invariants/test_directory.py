"""DIRECTORY on synthetic histories: violations are found, and correct histories have none."""

from mapleline.simulation.history import DirectoryLookup
from mapleline.simulation.invariants import Rule

from ..history_builder import HistoryBuilder, InvariantTestCase


class TestDirectory(InvariantTestCase):
    def test_a_machine_without_a_majority_answers_no_lookup(self):
        def with_lookup(at, status, **isolation):
            builder = HistoryBuilder(**isolation)
            builder.history.lookups.append(DirectoryLookup(at, "m2", status))
            return builder

        isolation = {"isolated": ["m2"], "since": 10.0, "until": 30.0}
        self.assert_holds(
            with_lookup(14.0, 200, **isolation),
            with_lookup(20.0, 503, **isolation),
            with_lookup(31.0, 200, **isolation),
        )
        self.assert_breaks(Rule.DIRECTORY, with_lookup(15.2, 200, **isolation), with_lookup(29.0, 200, **isolation))
