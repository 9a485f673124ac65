"""CONFIG for the configuration in force on histories made by hand."""

from mapleline.simulation.history import FaultInterval
from mapleline.simulation.invariants import Rule

from ..history_builder import HistoryBuilder, InvariantTestCase

A = "aaaa"
B = "bbbb"


class TestConfigurationVersions(InvariantTestCase):
    def changed(self):
        return HistoryBuilder().command(7, A, 9.9).command(8, B, 19.9)

    def test_an_incarnation_goes_back(self):
        forth = self.changed().active(8, B, 20.5)
        self.assert_holds(forth.active(7, A, 20.6, incarnation=2))
        self.assert_breaks(Rule.CONFIGURATION, self.changed().active(8, B, 20.5).active(7, A, 20.6))

    def test_an_old_version_after_the_time_to_apply(self):
        due_at = 20.0 + HistoryBuilder().history.bounds.config_apply
        self.assert_holds(self.changed().active(7, A, due_at))
        self.assert_breaks(Rule.CONFIGURATION, self.changed().active(7, A, due_at + 0.1))
        disturbed = self.changed().active(7, A, due_at + 0.1)
        disturbed.history.faults.append(FaultInterval(20.0, 21.0, "m3"))
        self.assert_holds(disturbed)
