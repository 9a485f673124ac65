"""The rules for whether a request may have been executed, by the results of its attempts."""

import unittest

from mapleline.balancer.proxy import outcome
from mapleline.balancer.proxy.outcome import Outcome
from mapleline.http1 import Response


class TestOutcome(unittest.TestCase):
    def test_execution_is_ruled_out_only_by_the_server_or_if_nothing_was_written(self):
        self.assertEqual(outcome.classify_status(503, True), Outcome.NOT_EXECUTED)
        self.assertEqual(outcome.classify_status(421, False), Outcome.NOT_EXECUTED)
        self.assertEqual(outcome.classify_status(503, False), Outcome.EXECUTED)
        self.assertEqual(
            (outcome.classify_loss(False), outcome.classify_loss(True)), (Outcome.NOT_EXECUTED, Outcome.UNKNOWN)
        )
        self.assertFalse(outcome.may_retry("upload", Outcome.UNKNOWN))
        self.assertEqual(
            [
                outcome.final_status(worst_outcome, is_timeout)
                for worst_outcome, is_timeout in (
                    (Outcome.NOT_EXECUTED, True),
                    (Outcome.UNKNOWN, True),
                    (Outcome.EXECUTED, False),
                )
            ],
            [503, 504, 502],
        )

    def test_statuses_that_promise_no_execution_are_forwarded_only_if_that_is_certain(self):
        for status in (200, 404, 408, 429, 500, 503, 504):
            for kind in ("idempotent", "non_idempotent", "upload"):
                is_forwarded = outcome.may_forward(kind, Response(status, {}, b"", True))
                self.assertEqual(is_forwarded, kind == "idempotent" or status not in (408, 429, 503), (status, kind))
