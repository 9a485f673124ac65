"""The directory must send clients only to ready ingresses near them, and to enough of these."""

import json
import random
import unittest
from unittest import mock

from mapleline.balancer.discovery.directory import MAX_ADDRESSES, Directory
from mapleline.balancer.membership.member import Member, MemberFlags
from mapleline.balancer.membership.table import MembershipTable
from mapleline.balancer.settings import parse_settings
from tests.balancer.input_samples import SETTINGS

ZONES = "zones.z3=r1\n"  # besides z1 of r1 and z2 of r2
NOW = 100.0


class TestDirectory(unittest.TestCase):
    def look_up(self, zone_sizes, query="zone=z1&region=r1", has_read_lease=True, method=b"GET", path="/lookup"):
        """Ask an ingress that knows `zone_sizes` ready ones in z1, z2, z3; return status, body and header lines."""
        members = [Member(256 * (zone + 1) + i, zone, 0) for zone, size in enumerate(zone_sizes) for i in range(size)]
        membership = MembershipTable(Member(1, 0, 0, last_heartbeat=-1e9), 0.5)
        for member in members:
            member.flags, member.last_heartbeat = MemberFlags.READY, NOW
            membership.members[member.ip] = member
        clock = mock.Mock(seconds=lambda: NOW)
        settings = parse_settings(SETTINGS + ZONES)
        directory = Directory(clock, settings, membership, random.Random(5), lambda: has_read_lease)
        client_conn = mock.Mock()
        directory.handle_request(client_conn, mock.Mock(method=method, target=f"{path}?{query}".encode()))
        client_conn.reply.assert_called_once()
        return client_conn.reply.call_args.args

    def zones_found(self, *zone_sizes, query="zone=z1&region=r1"):
        """Return the numbers of addresses in z1, z2 and z3."""
        status, body, _ = self.look_up(zone_sizes, query)
        self.assertEqual(status, 200)
        addresses = json.loads(body)["address_list"]
        return [sum(address.startswith(f"0.0.{zone}.") for address in addresses) for zone in (1, 2, 3)]

    def test_an_answer_has_the_zone_and_one_ingress_of_another_zone_of_the_region(self):
        self.assertEqual(self.zones_found(3, 4, 5), [3, 0, 1])
        self.assertEqual(self.zones_found(3, 4, 0), [3, 0, 0])

    def test_with_too_few_in_the_zone_an_answer_has_the_region_and_then_all(self):
        self.assertEqual(self.zones_found(1, 4, 5), [1, 0, 5])
        self.assertEqual(self.zones_found(1, 4, 0), [1, 4, 0])
        self.assertEqual(self.zones_found(1, 1, 1, query=""), [1, 1, 1])

    def test_an_answer_has_the_front_port_and_a_time_to_live(self):
        answer = self.look_up((1, 0, 0))
        body = b'{"address_list":["0.0.1.0:8388"],"ttl":"2s"}'
        self.assertEqual(answer, (200, body, b"Content-Type: application/json\r\n"))

    def test_an_answer_is_bounded(self):
        self.assertEqual(sum(self.zones_found(MAX_ADDRESSES + 20, 0, 5)), MAX_ADDRESSES)

    def test_without_a_read_lease_or_a_ready_ingress_an_answer_has_no_address(self):
        refused = (503, b"no ingress is ready, or no contact with the core", b"Retry-After: 0.3\r\n")
        self.assertEqual(self.look_up((3, 3, 3), has_read_lease=False), refused)
        self.assertEqual(self.look_up((0, 0, 0)), refused)

    def test_other_calls_are_unknown(self):
        self.assertEqual(self.look_up((3, 3, 3), path="/other"), (404, b"no such call"))
        self.assertEqual(self.look_up((3, 3, 3), method=b"POST"), (404, b"no such call"))
