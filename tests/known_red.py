"""Tests that fail for a known fault which is not mended yet: `KNOWN-RED.txt` at the root lists them.

A line is `TEST: CAUSE (issue N)`, where TEST is the test's dotted name from `tests` on.  A listed test has the
decorator `known_red`; it runs, is expected to fail, and fails the run once it passes: then the line has to go, with
the decorator.
"""

import unittest
from pathlib import Path

LIST = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
MAX_LINES = 3


def listed_tests():
    """Return the names of the listed tests."""
    if not LIST.exists():
        return []
    return [line.partition(": ")[0] for line in LIST.read_text().splitlines() if line.strip()]


def known_red(test):
    """Expect a test method to fail; it has to be listed."""
    module = test.__module__.removeprefix("tests.")  # the runners start at different folders
    name = f"tests.{module}.{test.__qualname__}"
    if name not in listed_tests():
        raise LookupError(f"{name} is not in {LIST.name}")
    return unittest.expectedFailure(test)
