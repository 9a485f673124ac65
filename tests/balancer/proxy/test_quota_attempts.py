"""Attempts beyond a request's first one take a unit of its tenant's quota each, unless one was not executed."""

import unittest
from unittest import mock

from mapleline.balancer.proxy.outcome import Outcome
from mapleline.balancer.proxy.quota_attempts import QuotaAttemptCounter
from mapleline.balancer.proxy.request_context import QuotaUse


class TestQuotaAttemptCounter(unittest.TestCase):
    def setUp(self):
        self.asks = []
        self.counter = QuotaAttemptCounter(self.asks.append)
        self.context = mock.Mock(quota=QuotaUse(mock.Mock(), ["a"]))

    def test_the_first_attempt_has_the_unit_of_the_admission(self):
        self.counter.on_sent(self.context)
        self.assertEqual(self.asks, [])

    def test_each_further_attempt_takes_a_unit_that_stays_whatever_the_answer(self):
        for _ in range(3):
            self.counter.on_sent(self.context)
        self.assertEqual([(ask.tenancy, ask.homes) for ask in self.asks], [(self.context.quota.tenancy, ["a"])] * 2)
        self.assertTrue(all(ask.done(answer) for ask, answer in zip(self.asks, (None, (99, 99, 0.5)), strict=True)))

    def test_an_attempt_that_was_not_executed_leaves_its_unit_to_the_next(self):
        for outcome in (Outcome.NOT_EXECUTED, Outcome.NOT_EXECUTED, Outcome.UNKNOWN, Outcome.EXECUTED):
            self.counter.on_sent(self.context)
            self.counter.on_ended(self.context, outcome)
        self.assertEqual(len(self.asks), 1)

    def test_a_request_without_a_quota_takes_none(self):
        self.context.quota = None
        for _ in range(2):
            self.counter.on_sent(self.context)
            self.counter.on_ended(self.context, Outcome.UNKNOWN)
        self.assertEqual(self.asks, [])
