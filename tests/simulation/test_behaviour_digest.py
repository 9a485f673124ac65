"""The digest of behaviour: what crosses a machine's border in simulated days is what it was, bit for bit."""

import json
import unittest
from multiprocessing import Pool
from pathlib import Path

from mapleline.lab.digest import measure

APPROVED = Path(__file__).parent / "approved" / "behaviour.json"
JOBS = 4


class TestBehaviour(unittest.TestCase):
    def test_digest_of_every_approved_seed_is_unchanged(self):
        approved = json.loads(APPROVED.read_text())
        with Pool(JOBS) as pool:
            measured = pool.starmap(measure, [(day["seed"], day["grown"]) for day in approved], chunksize=1)
        self.assertEqual([behaviour.to_json() for behaviour in measured], approved)
