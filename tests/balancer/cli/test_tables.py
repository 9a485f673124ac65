"""The status tables must show every field, also of an ingress without any state."""

import json

from tests.balancer.cli.command_line_case import CommandLineCase

STATUS = {
    "system": 99,
    "epoch": 4,
    "number": 17,
    "config_version": 7,
    "evacuated": ["z2"],
    "ballot": [5, 1, 9],
    "contact_age_s": 0.42,
    "disk": "well",
    "node": "edge-1",
    "ready": True,
    "formed": True,
    "ingresses": 11,
    "servers": 6,
    "list": {"holder": "10.1.0.13", "term": 2},
    "counts": {"200": 5},
    "members": [
        {"address": "10.1.0.13", "part": "voter", "kept": 17},
        {"address": "10.2.0.13", "part": "learner", "kept": 0},
        {"address": "10.3.0.13", "part": "leaving", "kept": 16},
        {"address": "10.4.0.13", "part": "lost", "kept": 12},
    ],
}


class TestTables(CommandLineCase):
    def test_status_is_a_table_and_complete_as_json(self):
        address = self.start_stand_in(status=(200, json.dumps(STATUS).encode())).address
        status, text = self.run_main("status", "--at", address)
        self.assertEqual(status, 0)
        rows = [[cell.strip() for cell in line.split("|")] for line in text.splitlines()]
        for row in (
            ["epoch", "4"],
            ["number", "17"],
            ["config", "7"],
            ["evacuated", "z2"],
            ["ballot", "5.1.9"],
            ["contact", "0.4 s ago"],
            ["votes", "yes"],
            ["disk", "well"],
            ["address", "part", "kept"],
            ["10.1.0.13", "voter", "17"],
            ["10.2.0.13", "learner", "0"],
            ["10.3.0.13", "leaving", "16"],
            ["10.4.0.13", "lost", "12"],
        ):
            self.assertIn(row, rows, text)
        self.assertEqual(json.loads(self.run_main("status", "--json", "--at", address)[1]), STATUS)

    def test_status_of_an_ingress_without_any_state(self):
        empty_status = STATUS | {
            "system": None,
            "epoch": None,
            "number": 0,
            "config_version": None,
            "evacuated": [],
            "members": [],
            "ballot": None,
            "contact_age_s": None,
        }
        status, text = self.run_main(
            "status", "--at", self.start_stand_in(status=(200, json.dumps(empty_status).encode())).address
        )
        self.assertEqual(status, 0)
        self.assertRegex(text, r"contact +\| +none yet")
        self.assertRegex(text, r"ballot +\| +none")
