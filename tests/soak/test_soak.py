"""Short seeded soak tests of real processes, with signals, restarts and configuration changes.

One run must violate no rule; the other, with nodes that ignore quotas, must be reported as such.
"""

import asyncio
import sys
from pathlib import Path

from mapleline.soak.runner import SoakOptions, run_soak

FAULTY_NODE = (sys.executable, str(Path(__file__).parent / "faulty_node.py"))
SEED = 3
"""This seed changes limits, tenants, routes or homes every 0.5 s, and signals, kills or restarts nodes every 5 s."""


def run_soak_test(folder, options):
    return asyncio.run(run_soak(options, folder))


def test_no_rule_is_broken(tmp_path):
    result = run_soak_test(tmp_path, SoakOptions(SEED, node_count=12, duration_s=15.0))
    assert [str(violation) for violation in result.violations] == [], result.summary()
    assert result.statuses["200"] > 500, result.summary()
    assert sum(order.status == 200 for order in result.history.orders) > 10, result.summary()


def test_a_node_that_ignores_quotas_is_reported(tmp_path):
    result = run_soak_test(tmp_path, SoakOptions(SEED, node_count=8, duration_s=8.0, command=FAULTY_NODE))
    assert {violation.rule for violation in result.violations} == {"QUOTA"}, result.summary()
