"""Counting of events in sliding windows."""

import unittest

from mapleline.simulation.invariants.windows import FullestWindow, count_in_window, fullest_window


class TestWindows(unittest.TestCase):
    def test_the_fullest_window_is_the_earliest_of_equals(self):
        self.assertEqual(fullest_window([1.0, 1.5, 4.0, 4.5], 1.0), FullestWindow(2, 1.0))
        self.assertEqual(fullest_window([1.0, 1.5, 4.0, 4.5, 4.9], 1.0), FullestWindow(3, 4.0))

    def test_a_window_does_not_include_its_end(self):
        self.assertEqual(fullest_window([1.0, 2.0], 1.0).count, 1)
        self.assertEqual(count_in_window([1.0, 2.0], 1.0, 1.0), 1)

    def test_no_events(self):
        self.assertEqual(fullest_window([], 1.0).count, 0)
        self.assertEqual(count_in_window([], 1.0, 1.0), 0)
