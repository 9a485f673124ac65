"""The routing table must find the right route of a request and the right tenant of a key."""

import unittest

from mapleline.balancer.configuration import parse_configuration
from mapleline.balancer.routing_table import RoutingTable
from tests.balancer.input_samples import configuration_json


class TestRoutingTable(unittest.TestCase):
    def setUp(self):
        self.table = RoutingTable(parse_configuration(configuration_json()))

    def test_the_longest_prefix_of_the_host_is_chosen(self):
        for host, path, prefix in (
            ("a.example", "/one/x", "/one/"),
            ("a.example:80", "/one/two/x", "/one/two/"),
            ("a.example", "/on", None),
            ("b.example", "/one/x", None),
        ):
            route = self.table.route(host, path)
            self.assertEqual(route and route.path_prefix, prefix)

    def test_a_bearer_token_names_its_tenant(self):
        headers = ("Bearer k2", "bearer k1", "Bearer k3", "k1")
        self.assertEqual([self.table.tenant_for_authorization(header) for header in headers], ["t1", "t1", None, None])
