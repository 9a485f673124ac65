"""The computation of the machines that are connected to a majority of the control replicas."""

import unittest

from mapleline.simulation.reachability import largest_connected_majority, machines_with_majority

REPLICAS = ("r1", "r2", "r3", "r4", "r5")


def partitioned(*pairs):
    """Return a predicate that is true for these ordered pairs."""
    return lambda source, target: (source, target) in pairs


def both_ways(machine, others):
    return [pair for other in others if other != machine for pair in ((machine, other), (other, machine))]


class TestMachinesWithMajority(unittest.TestCase):
    def reached(self, *pairs, running=(*REPLICAS, "m1")):
        replicas = [name for name in running if name in REPLICAS]
        return machines_with_majority(running, REPLICAS, replicas, partitioned(*pairs))

    def test_all_machines_have_a_majority_without_partitions(self):
        self.assertEqual(self.reached(), {*REPLICAS, "m1"})

    def test_half_of_the_replicas_is_no_majority(self):
        self.assertEqual(self.reached(running=("r1", "r2", "m1")), set())

    def test_an_isolated_machine_has_no_majority(self):
        self.assertEqual(self.reached(*both_ways("m1", REPLICAS)), set(REPLICAS))

    def test_a_path_over_another_machine_counts(self):
        self.assertEqual(self.reached(*both_ways("m1", REPLICAS[1:])), {*REPLICAS, "m1"})

    def test_a_path_in_one_direction_alone_does_not_count(self):
        self.assertEqual(self.reached(*[("m1", name) for name in REPLICAS]), set(REPLICAS))


class TestLargestConnectedMajority(unittest.TestCase):
    def group(self, operational, *pairs):
        return largest_connected_majority(operational, len(REPLICAS), partitioned(*pairs))

    def test_all_operational_replicas_if_they_are_a_majority(self):
        self.assertEqual(self.group(["r1", "r2", "r3"]), {"r1", "r2", "r3"})
        self.assertEqual(self.group(["r1", "r2"]), set())

    def test_a_partition_in_one_direction_separates(self):
        self.assertEqual(self.group(list(REPLICAS), ("r1", "r2")), {"r1", "r3", "r4", "r5"})

    def test_no_group_of_more_than_half(self):
        across = [(source, target) for source in ("r1", "r2") for target in ("r3", "r4")]
        self.assertEqual(self.group(["r1", "r2", "r3", "r4"], *across), set())
