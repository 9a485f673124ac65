"""Virtual time: the order of timers, and the reactor of a process that ends or is frozen."""

import unittest
from dataclasses import dataclass

from mapleline.simulation.event_loop import EventLoop, ProcessReactor


@dataclass
class FakeProcess:
    """A process that only counts how often it was killed."""

    frozen_until: float = 0.0
    kills: int = 0

    def kill(self) -> None:
        self.kills += 1


class TestEventLoop(unittest.TestCase):
    def setUp(self):
        self.loop = EventLoop(100.0)
        self.fired = []

    def fire(self, name):
        self.fired.append((name, self.loop.seconds()))

    def test_timers_fire_at_their_moments_and_equal_ones_in_the_order_of_creation(self):
        self.loop.callLater(2.0, self.fire, "later")
        self.loop.callLater(1.0, self.fire, "first")
        self.loop.callLater(1.0, self.fire, "second")
        self.loop.run_until(102.0)
        self.assertEqual(self.fired, [("first", 101.0), ("second", 101.0), ("later", 102.0)])

    def test_timers_beyond_the_end_stay_and_the_clock_shows_the_end(self):
        timer = self.loop.callLater(2.0, self.fire, "later")
        self.loop.run_until(101.5)
        self.assertEqual((self.fired, self.loop.seconds()), ([], 101.5))
        self.assertTrue(timer.active())

    def test_a_negative_delay_counts_as_zero(self):
        self.loop.callLater(-5.0, self.fire, "now")
        self.loop.run_until(100.0)
        self.assertEqual(self.fired, [("now", 100.0)])

    def test_a_cancelled_timer_does_not_fire(self):
        timer = self.loop.callLater(1.0, self.fire, "cancelled")
        timer.cancel()
        self.assertFalse(timer.active())
        self.loop.run_until(102.0)
        self.assertEqual(self.fired, [])

    def test_a_timer_that_fires_is_no_longer_active(self):
        states = []
        timer = self.loop.callLater(1.0, lambda: states.append(timer.active()))
        self.loop.run_until(102.0)
        self.assertEqual(states, [False])


class TestProcessReactor(unittest.TestCase):
    def setUp(self):
        self.loop = EventLoop(100.0)
        self.process = FakeProcess()
        self.reactor = ProcessReactor(self.loop, self.process)
        self.fired = []

    def fire(self):
        self.fired.append(self.reactor.seconds())

    def test_nothing_fires_after_the_end_of_the_incarnation(self):
        self.reactor.callLater(1.0, self.fire)
        self.reactor.is_stopped = True
        self.loop.run_until(110.0)
        self.assertEqual(self.fired, [])

    def test_a_timer_due_during_a_freeze_fires_right_after_it(self):
        self.reactor.callLater(1.0, self.fire)
        self.process.frozen_until = 105.0
        self.loop.run_until(110.0)
        self.assertEqual(self.fired, [105.0])

    def test_stop_kills_the_process(self):
        self.reactor.stop()
        self.assertEqual(self.process.kills, 1)
