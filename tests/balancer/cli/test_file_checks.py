"""Checks of files: what is valid but warned of, and which key a fault names."""

import unittest

from mapleline.balancer.cli import file_checks
from tests.balancer.input_samples import configuration_json


class TestCheckConfig(unittest.TestCase):
    def test_homes_of_route_and_tenant_without_a_common_region_are_warned_of(self):
        tenants = {"t1": {"api_keys": ["k1"], "home_regions": ["west"]}}
        apart = configuration_json(r2={"home_regions": ["east"]}, tenant_table=tenants)
        text = file_checks.check_config(apart).ok
        self.assertIn("warning: tenant_table.t1 has no home in common with r2:", text)
        self.assertNotIn("warning", file_checks.check_config(configuration_json(tenant_table=tenants)).ok)
        invalid = configuration_json(r2={"timeout": "0ms"})
        self.assertIn("route_table.r2.timeout", file_checks.check_config(invalid).error)
