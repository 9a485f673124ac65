"""A short soak of real processes: seeded, with signals, restarts and changes; and with a planted fault."""

import asyncio
import sys
from pathlib import Path

from mapleline.soak.runner import SoakOptions, run_soak

FAULTY_NODE = (sys.executable, str(Path(__file__).parent / "faulty_node.py"))
SEED = 3
"""Changes limits, tenants, routes and homes each half second, and signals, kills or restarts nodes each 5 s."""


def play(folder, options):
    return asyncio.run(run_soak(options, folder))


def test_no_rule_is_broken(tmp_path):
    result = play(tmp_path, SoakOptions(SEED, node_count=12, duration_s=15.0))
    assert [str(violation) for violation in result.violations] == [], result.summary()
    assert result.statuses["200"] > 500, result.summary()
    assert sum(order.status == 200 for order in result.history.orders) > 10, result.summary()


def test_a_planted_fault_is_found(tmp_path):
    result = play(tmp_path, SoakOptions(SEED, node_count=8, duration_s=8.0, command=FAULTY_NODE))
    assert {violation.rule for violation in result.violations} == {"QUOTA"}, result.summary()
