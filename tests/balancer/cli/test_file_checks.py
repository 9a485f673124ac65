"""Checks of configuration files: home regions that exclude each other must give a warning, faults the key."""

import unittest

from mapleline.balancer.cli import file_checks
from tests.balancer.input_samples import configuration_json


class TestCheckConfig(unittest.TestCase):
    def test_route_and_tenant_without_a_common_home_region_give_a_warning(self):
        tenants = {"t1": {"api_keys": ["k1"], "home_regions": ["west"]}}
        disjoint = configuration_json(r2={"home_regions": ["east"]}, tenant_table=tenants)
        text = file_checks.check_config(disjoint).ok
        self.assertIn("warning: tenant_table.t1 has no home in common with r2:", text)
        self.assertNotIn("warning", file_checks.check_config(configuration_json(tenant_table=tenants)).ok)
        invalid = configuration_json(r2={"timeout": "0ms"})
        self.assertIn("route_table.r2.timeout", file_checks.check_config(invalid).error)
