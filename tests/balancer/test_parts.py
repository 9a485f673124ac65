"""The pure parts of the system, each by a transcript of what it is told and says."""

import random
import unittest

from mapleline.balancer.proxy import outcome
from mapleline.balancer.proxy.outcome import Outcome
from mapleline.policy.placing import Target, choose


class TestPlacing(unittest.TestCase):
    def test_a_sick_server_is_left_by_what_requests_saw_and_tried_again_by_few(self):
        a, b = (Target(id, "s", "z1", "r1", 2) for id in "ab")

        def share(now):
            rng = random.Random(5)
            return sum(choose(now, [a, b], "z1", "r1", (), rng) is a for _ in range(100))

        self.assertTrue(30 < share(10.0) < 70)
        for n in range(6):
            a.judged(10.0 + n / 10, badly=n % 2 == 0)  # half of its answers fail
        self.assertEqual(share(10.8), 0)
        self.assertTrue(30 < share(16.0))  # nothing is believed for long
        b.judged(16.0, badly=True)  # one bad end may be chance
        self.assertTrue(30 < share(16.0) < 70)
        b.bad_near = 0.5  # another ingress has seen it fail
        self.assertEqual(share(30.0), 100)

    def test_a_server_out_of_reach_is_held_off_longer_each_time(self):
        a, holds = Target("a", "s", "z1", "r1", 2), []
        for now in (10.0, 20.0, 30.0, 40.0):
            a.unreachable(now)
            holds.append(a.hold - now)
        self.assertEqual(holds, [0.5, 1.0, 2.0, 4.0])
        a.answered(1.0)
        a.unreachable(50.0)
        self.assertEqual(a.hold - 50.0, 0.5)


class TestVerdict(unittest.TestCase):
    def test_only_the_servers_word_or_an_unwritten_request_promises(self):
        self.assertEqual(outcome.of_answer(503, True), Outcome.NOT_EXECUTED)
        self.assertEqual(outcome.of_answer(421, False), Outcome.NOT_EXECUTED)
        self.assertEqual(outcome.of_answer(503, False), Outcome.EXECUTED)
        self.assertEqual((outcome.of_loss(False), outcome.of_loss(True)), (Outcome.NOT_EXECUTED, Outcome.UNKNOWN))
        self.assertFalse(outcome.may_repeat("upload", Outcome.UNKNOWN))
        self.assertEqual(
            [
                outcome.final_status(v, t)
                for v, t in ((Outcome.NOT_EXECUTED, True), (Outcome.UNKNOWN, True), (Outcome.EXECUTED, False))
            ],
            [503, 504, 502],
        )
