"""The choice of a server by load and health (`mapleline.policy.placing`), as the data plane uses it."""

import random
import unittest

from mapleline.policy.placing import Target, choose


class TestPlacing(unittest.TestCase):
    def test_an_unhealthy_server_is_avoided_by_what_requests_saw_and_probed_by_few(self):
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
        b.bad_near = 0.5  # another node has seen it fail
        self.assertEqual(share(30.0), 100)

    def test_an_unreachable_server_is_avoided_longer_each_time(self):
        server = Target("a", "s", "z1", "r1", 2)
        holds = []
        for now in (10.0, 20.0, 30.0, 40.0):
            server.unreachable(now)
            holds.append(server.hold - now)
        self.assertEqual(holds, [0.5, 1.0, 2.0, 4.0])
        server.answered(1.0)
        server.unreachable(50.0)
        self.assertEqual(server.hold - 50.0, 0.5)
