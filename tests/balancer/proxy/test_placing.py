"""Server choice by load and health (`mapleline.policy.placing`), as the data plane uses it."""

import random
import unittest

from mapleline.policy.placing import Target, choose


class TestPlacing(unittest.TestCase):
    def test_a_failing_server_gets_no_requests_until_its_failures_have_decayed(self):
        a, b = (Target(id, "s", "z1", "r1", 2) for id in "ab")

        def share(now):
            """Return how many of 100 requests are sent to server a."""
            rng = random.Random(5)
            return sum(choose(now, [a, b], "z1", "r1", (), rng) is a for _ in range(100))

        self.assertTrue(30 < share(10.0) < 70)
        for n in range(6):
            a.record_result(10.0 + n / 10, is_failure=n % 2 == 0)  # half of its requests fail
        self.assertEqual(share(10.8), 0)
        self.assertTrue(30 < share(16.0))  # the failure share has decayed
        b.record_result(16.0, is_failure=True)  # a single failure may be chance
        self.assertTrue(30 < share(16.0) < 70)
        b.peer_failure_share = 0.5  # another ingress reported failures
        self.assertEqual(share(30.0), 100)

    def test_the_backoff_from_an_unreachable_server_doubles_until_it_responds(self):
        server = Target("a", "s", "z1", "r1", 2)
        backoffs_s = []
        for now in (10.0, 20.0, 30.0, 40.0):
            server.record_unreachable(now)
            backoffs_s.append(server.backoff_until - now)
        self.assertEqual(backoffs_s, [0.5, 1.0, 2.0, 4.0])
        server.record_response(1.0)
        server.record_unreachable(50.0)
        self.assertEqual(server.backoff_until - 50.0, 0.5)
