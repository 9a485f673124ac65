"""Limits of the decision module: its size, and no access to clocks, hashes or global randomness."""

import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
POLICY_FILES = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
TEXTS = {name: (ROOT / name).read_text() for name in POLICY_FILES}


def test_the_module_is_short_enough_to_read_during_an_incident():
    lines = [line for text in TEXTS.values() for line in text.splitlines()]
    assert sum(1 for line in lines if line.strip()) <= 500
    assert max(len(line) for line in lines) <= 110


def test_brain_names_the_interface_in_its_first_lines():
    assert "mapleline/policy/interface.py" in "\n".join(TEXTS["mapleline/policy/brain.py"].splitlines()[:3])


def test_the_module_uses_no_clock_hash_or_global_random():
    for text in TEXTS.values():
        for word in ("import time", "hash(", "random.random(", "set(", "os.environ"):
            assert word not in text
