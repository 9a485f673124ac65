"""WHOLE on synthetic histories: violations are found, and correct histories have none."""

from mapleline.simulation.invariants import Rule
from mapleline.simulation.records import MachineEventKind

from ..history_builder import HistoryBuilder, InvariantTestCase

CONTENT_A = "aaaa"
CONTENT_B = "bbbb"


class TestCatchUp(InvariantTestCase):
    def test_a_restarted_replica_votes_and_serves_by_the_newest_version(self):
        def restarted(voters, version=8, at=24.1, **options):
            builder = (
                HistoryBuilder(voters=voters, **options).command(8, CONTENT_A, 18.0).event(20.0, MachineEventKind.START)
            )
            return builder.active(version, CONTENT_A, at, machine="m4") if version is not None else builder

        all_replicas = {"m1", "m2", "m3", "m4"}
        self.assert_holds(
            restarted(all_replicas, at=23.9),
            restarted(set(), at=23.9).event(22.0, MachineEventKind.KILL),
            restarted(set(), connected={"m1", "m2", "m3"}),
        )
        self.assert_breaks(
            Rule.CATCH_UP,
            restarted({"m1", "m2", "m3"}, at=23.9),
            restarted(all_replicas),
            restarted(all_replicas, None),
        )
        self.assertEqual(
            self.rules_broken(
                restarted(all_replicas).command(7, CONTENT_B, 10.0).active(7, CONTENT_B, 23.0, machine="m4")
            ),
            [Rule.CONFIGURATION, Rule.CATCH_UP],
        )
        majority_restarted = restarted(all_replicas, at=26.0)
        for name in ("m1", "m2", "m3"):
            majority_restarted.event(20.0, MachineEventKind.START, name).active(8, CONTENT_A, 26.0, machine=name)
        self.assert_holds(majority_restarted)  # twice the time is allowed, as most replicas were restarted at once
