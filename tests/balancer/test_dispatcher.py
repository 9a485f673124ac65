"""Each type of datagram must reach the part that handles it, also a type added later."""

import typing
import unittest
from unittest import mock

from mapleline.balancer.dispatcher import DatagramDispatcher, DatagramReceivers
from mapleline.balancer.transport import messages

SENDER = 0x0A01000D


class TestDatagramDispatcher(unittest.TestCase):
    def setUp(self):
        self.context, self.fence = mock.Mock(), mock.Mock()
        self.receivers = DatagramReceivers(*(mock.Mock() for _ in range(6)))
        self.dispatcher = DatagramDispatcher(self.context, self.fence, self.receivers)

    def test_every_type_of_datagram_has_a_handler(self):
        handlers = self.dispatcher._handlers
        for message_type in typing.get_args(messages.Datagram):
            with self.subTest(message_type.__name__):
                self.assertIn(message_type, handlers)
        self.assertEqual(len(handlers), len(typing.get_args(messages.Datagram)))

    def test_a_load_report_after_a_newer_one_is_dropped(self):
        report = messages.LoadReport({7: 3}, {}, 1)
        for is_newest in (False, True):
            self.fence.accept_sequence.return_value = is_newest
            self.dispatcher.receive(SENDER, report)
            self.assertEqual(self.receivers.proxy.receive_load_report.called, is_newest)

    def test_a_lease_request_is_answered_by_a_voter_only(self):
        request = messages.LeaseRequest(1, 2, [7])
        for grant in (None, messages.LeaseGrant(1, 3, [7])):
            self.receivers.slow_start_leases.handle_request.return_value = grant
            self.dispatcher.receive(SENDER, request)
        self.context.send.assert_called_once_with(SENDER, grant)
