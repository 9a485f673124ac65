"""The client of the platform: a failed fetch must neither change the list nor block the next fetch."""

import json
import unittest
from unittest import mock

from twisted.internet.defer import Deferred

from mapleline.balancer.discovery import platform_client
from mapleline.balancer.discovery.endpoints import EndpointList
from mapleline.balancer.discovery.platform_client import REQUEST_TIMEOUT_S, PlatformClient
from mapleline.simulation.event_loop import EventLoop

ADDRESS = ("10.200.0.160", 8382)


class StandInTransport:
    """A socket that accepts all written bytes."""

    def __init__(self):
        self.written = b""
        self.is_aborted = False
        self.is_closed = False
        self.socket = self

    def send(self, data):
        self.written += data
        return len(data)

    def loseConnection(self):
        self.is_closed = True

    def abortConnection(self):
        self.is_aborted = True


def page(instance_ids, next_token=None, status=b"200 OK"):
    """Return an HTTP response of the platform with one page."""
    instances = [
        {"instance_id": instance_id, "target_service": "s1", "address": "10.9.0.1:80", "zone": "z1", "extra": 1}
        for instance_id in instance_ids
    ]
    body = json.dumps({"instance_list": instances, "next_token": next_token}).encode()
    return b"HTTP/1.1 %b\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body)


class TestPlatformClient(unittest.TestCase):
    def setUp(self):
        self.clock = EventLoop(100.0)
        self.endpoints = EndpointList()
        self.listed, self.dials = [], []
        settings = mock.Mock(cloud_api=mock.Mock(address=ADDRESS))
        self.client = PlatformClient(self.clock, settings, self.endpoints, self.listed.append)
        patched = mock.patch.object(platform_client, "dial", self.dial)
        patched.start()
        self.addCleanup(patched.stop)

    def dial(self, reactor, address, make_connection, timeout_s):
        self.assertEqual((address, timeout_s), (ADDRESS, REQUEST_TIMEOUT_S))
        connected = Deferred()
        self.dials.append((make_connection, connected))
        return connected

    def connect(self):
        """Let the newest dial succeed and return its connection."""
        make_connection, connected = self.dials[-1]
        connection = make_connection()
        connection.transport, connection.connected = StandInTransport(), 1
        connected.callback(connection)
        return connection

    def test_pages_are_joined_and_the_list_is_as_old_as_the_first_request(self):
        self.client.fetch()
        first = self.connect()
        self.assertEqual(
            first.transport.written,
            b"GET /instances HTTP/1.1\r\nHost: 10.200.0.160:8382\r\nConnection: close\r\n\r\n",
        )
        self.clock.run_until(100.5)
        first.dataReceived(page(["b"], next_token="a&b"))
        self.assertTrue(first.transport.is_closed)
        second = self.connect()
        self.assertTrue(second.transport.written.startswith(b"GET /instances?page_token=a%26b HTTP/1.1\r\n"))
        self.assertEqual(self.listed, [])
        second.dataReceived(page(["a"]))
        self.assertEqual(self.listed, [True])
        self.assertEqual((list(self.endpoints.instances), self.endpoints.fetched_at), (["a", "b"], 100.0))
        self.clock.run_until(105.0)
        self.assertFalse(first.transport.is_aborted or second.transport.is_aborted)

    def test_one_fetch_is_in_progress_at_a_time(self):
        self.client.fetch()
        self.client.fetch()
        self.assertEqual(len(self.dials), 1)
        self.connect().dataReceived(page([]))
        self.client.fetch()
        self.assertEqual(len(self.dials), 2)

    def test_a_fault_ends_the_fetch_and_leaves_the_list(self):
        for fault in (page(["a"], status=b"500 Oops"), b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}]"):
            with self.subTest(fault=fault):
                self.client.fetch()
                self.connect().dataReceived(fault)
                self.assertEqual((self.listed, self.endpoints.instances), ([], {}))
        self.client.fetch()  # the failed fetch does not block the next one
        self.assertEqual(len(self.dials), 3)

    def test_a_lost_connection_or_none_ends_the_fetch(self):
        self.client.fetch()
        self.connect().connectionLost(mock.Mock())
        self.client.fetch()
        self.dials[-1][1].errback(OSError("refused"))
        self.client.fetch()
        self.assertEqual((len(self.dials), self.listed), (3, []))

    def test_a_page_that_does_not_come_in_time_is_aborted(self):
        self.client.fetch()
        connection = self.connect()
        self.clock.run_until(100.0 + REQUEST_TIMEOUT_S + 0.01)
        self.assertTrue(connection.transport.is_aborted)
