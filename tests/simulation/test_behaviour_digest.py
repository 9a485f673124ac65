"""The digest of behaviour: all messages and operations in simulated runs stay unchanged, bit for bit."""

import json
import unittest
from pathlib import Path

from nose2.tools import params

from mapleline.simulation.behaviour_digest import measure

APPROVED = Path(__file__).parent / "approved" / "behaviour.json"
APPROVED_RUNS = json.loads(APPROVED.read_text())


class TestBehaviour(unittest.TestCase):
    @params(*APPROVED_RUNS)
    def test_digest_of_an_approved_seed_is_unchanged(self, approved):
        measured = measure(approved["seed"], approved["grown"])
        self.assertEqual(measured.to_json(), approved)
