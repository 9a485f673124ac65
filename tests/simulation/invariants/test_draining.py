"""HOME, DRAIN and EVAC on synthetic histories."""

from mapleline.simulation.history import Evacuation, FaultInterval
from mapleline.simulation.invariants import Rule

from ..history_builder import HistoryBuilder, InvariantTestCase

SENT_AT = 40.0


def with_arrival(**arrival):
    return HistoryBuilder().request("q1", SENT_AT, status=503).arrival("q1", SENT_AT, **arrival)


def disturb(builder):
    builder.history.faults.append(FaultInterval(SENT_AT - 1.0, SENT_AT, "m5"))
    return builder


class TestServerEligibility(InvariantTestCase):
    def test_an_arrival_outside_the_home_regions(self):
        for home in ("upload", "t1"):
            inside, outside = with_arrival(), with_arrival(zone="z2")
            for builder in (inside, outside):
                builder.history.homes[home] = {"r"}
            self.assert_holds(inside)
            self.assert_breaks(Rule.HOME, outside)

    def test_an_arrival_at_a_server_that_drains(self):
        def draining_since(at):
            builder = with_arrival()
            builder.history.draining_since["i1"] = at
            return builder

        limit_s = HistoryBuilder().history.bounds.drain_timeout
        self.assert_holds(draining_since(SENT_AT - limit_s), disturb(draining_since(SENT_AT - limit_s - 0.1)))
        self.assert_breaks(Rule.DRAIN, draining_since(SENT_AT - limit_s - 0.1))

    def test_an_arrival_in_an_evacuated_zone(self):
        def evacuated(zone, since, until):
            builder = with_arrival()
            builder.history.evacuations.append(Evacuation(zone, since, until))
            return builder

        due_at = SENT_AT - HistoryBuilder().history.bounds.evacuation
        self.assert_holds(
            evacuated("z1", due_at, 60.0),
            evacuated("z1", due_at - 0.1, SENT_AT),
            evacuated("z2", due_at - 0.1, 60.0),
            disturb(evacuated("z1", due_at - 0.1, 60.0)),
        )
        self.assert_breaks(Rule.EVACUATION, evacuated("z1", due_at - 0.1, 60.0))
