"""Settings files: values must be parsed with their units, and an error must name the key at fault."""

import unittest

from mapleline.balancer.settings import SettingsError, parse_settings
from tests.balancer.input_samples import SETTINGS


class TestSettings(unittest.TestCase):
    def test_durations_flags_and_addresses_are_parsed(self):
        settings = parse_settings(SETTINGS)
        bounds = settings.protocol_bounds
        self.assertEqual((bounds.contact_window, bounds.revocation_strict), (4.0, True))
        self.assertEqual(settings.seed_nodes, [("10.1.0.13", 8381), ("10.2.0.13", 8381)])

    def test_an_error_names_the_key(self):
        for line, key in (
            ("cloud_api.rate_per_s=none", "cloud_api.rate_per_s"),
            ("ip_address", "ip_address"),
            ("protocol_bounds=contact_window=4", "protocol_bounds.contact_window"),
            ("seed_nodes=10.1.0.13", "seed_nodes"),
        ):
            with self.subTest(line=line), self.assertRaises(SettingsError) as caught:
                parse_settings(SETTINGS + line + "\n")
            self.assertIn(key, str(caught.exception))

    def test_an_error_has_separate_key_and_problem(self):
        for line, key, problem in (
            ("protocol_bounds=contact_window=4", "protocol_bounds.contact_window", "'4' is not a duration"),
            ("ip_address", "line 15", "no '=' in 'ip_address'"),
            ("node_name.x=1", "line 15", "node_name.x: node_name has a value already"),
        ):
            with self.subTest(line=line), self.assertRaises(SettingsError) as caught:
                parse_settings(SETTINGS + line + "\n")
            error = caught.exception
            self.assertEqual(error.key, key)
            self.assertIn(problem, error.problem)
            self.assertEqual(str(error), f"{error.key}: {error.problem}")
