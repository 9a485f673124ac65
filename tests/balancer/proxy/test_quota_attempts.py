"""Each further attempt of a request takes a unit of its tenant's quota, unless an earlier one was not executed."""

import unittest
from unittest import mock

from mapleline.balancer.proxy.outcome import Outcome
from mapleline.balancer.proxy.quota_attempts import QuotaAttemptCounter
from mapleline.balancer.proxy.request_context import QuotaUse


class TestQuotaAttemptCounter(unittest.TestCase):
    def setUp(self):
        self.quota_requests = []
        self.counter = QuotaAttemptCounter(self.quota_requests.append)
        self.context = mock.Mock(quota=QuotaUse(mock.Mock(), ["a"]))

    def test_the_first_attempt_uses_the_unit_counted_at_admission(self):
        self.counter.on_sent(self.context)
        self.assertEqual(self.quota_requests, [])

    def test_each_further_attempt_takes_a_unit_that_stays_counted_whatever_the_answer(self):
        for _ in range(3):
            self.counter.on_sent(self.context)
        self.assertEqual(
            [(request.tenant_limit, request.home_regions) for request in self.quota_requests],
            [(self.context.quota.tenant_limit, ["a"])] * 2,
        )
        self.assertTrue(
            all(
                request.on_answer(answer)
                for request, answer in zip(self.quota_requests, (None, (99, 99, 0.5)), strict=True)
            )
        )

    def test_the_unit_of_an_attempt_that_was_not_executed_is_used_for_the_next(self):
        for outcome in (Outcome.NOT_EXECUTED, Outcome.NOT_EXECUTED, Outcome.UNKNOWN, Outcome.EXECUTED):
            self.counter.on_sent(self.context)
            self.counter.on_ended(self.context, outcome)
        self.assertEqual(len(self.quota_requests), 1)

    def test_a_request_without_a_quota_takes_none(self):
        self.context.quota = None
        for _ in range(2):
            self.counter.on_sent(self.context)
            self.counter.on_ended(self.context, Outcome.UNKNOWN)
        self.assertEqual(self.quota_requests, [])
