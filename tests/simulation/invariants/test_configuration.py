"""CONFIG, as far as it concerns the configuration in force, on synthetic histories."""

from mapleline.simulation.history import FaultInterval
from mapleline.simulation.invariants import Rule

from ..history_builder import HistoryBuilder, InvariantTestCase

CONTENT_A = "aaaa"
CONTENT_B = "bbbb"


class TestConfigurationVersions(InvariantTestCase):
    def two_versions(self):
        return HistoryBuilder().command(7, CONTENT_A, 9.9).command(8, CONTENT_B, 19.9)

    def test_an_incarnation_goes_back(self):
        builder = self.two_versions().active(8, CONTENT_B, 20.5)
        self.assert_holds(builder.active(7, CONTENT_A, 20.6, incarnation=2))
        self.assert_breaks(
            Rule.CONFIGURATION, self.two_versions().active(8, CONTENT_B, 20.5).active(7, CONTENT_A, 20.6)
        )

    def test_an_old_version_after_the_time_to_apply(self):
        due_at = 20.0 + HistoryBuilder().history.bounds.config_apply
        self.assert_holds(self.two_versions().active(7, CONTENT_A, due_at))
        self.assert_breaks(Rule.CONFIGURATION, self.two_versions().active(7, CONTENT_A, due_at + 0.1))
        disturbed = self.two_versions().active(7, CONTENT_A, due_at + 0.1)
        disturbed.history.faults.append(FaultInterval(20.0, 21.0, "m3"))
        self.assert_holds(disturbed)
