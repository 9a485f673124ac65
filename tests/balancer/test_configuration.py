"""Invalid configurations: the error must name the key at fault."""

import unittest

from mapleline.balancer.configuration import ConfigurationError, parse_configuration
from tests.balancer.input_samples import configuration_json


class TestConfiguration(unittest.TestCase):
    def test_an_error_names_the_key(self):
        shared_key = {"t1": {"api_keys": ["k1"]}, "t2": {"api_keys": ["k1"]}}
        for text, key in (
            (configuration_json(r2={"target_service": "s9"}), "route_table.r2"),
            (configuration_json(r2={"timeout": "0ms"}), "route_table.r2.timeout"),
            (configuration_json(r2={"target_latency": "63s"}), "route_table.r2"),
            (configuration_json(r2={"route_kind": "odd"}), "route_table.r2.route_kind"),
            (configuration_json(tenant_table=shared_key), "tenant_table.t2.api_keys"),
            (configuration_json()[:-9], "the configuration"),
        ):
            with self.subTest(key=key), self.assertRaises(ConfigurationError) as caught:
                parse_configuration(text)
            self.assertIn(key, str(caught.exception))
