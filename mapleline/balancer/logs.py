"""The log: one JSON line an event on standard error; short sentences with a fixed prefix for each part."""

from __future__ import annotations

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

PARTS = ("archive", "catalogue", "courier", "custody", "desk", "ledger", "lookup", "node", "register")


def configure(node: str) -> None:
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter("%(message)s", timestamp=True, static_fields={"node": node}))
    root = logging.getLogger("mapleline.balancer")
    root.handlers[:], root.propagate = [handler], False
    root.setLevel(logging.INFO)


def say(part: str, text: str, **fields: object) -> None:
    """`part` is one of PARTS."""
    logging.getLogger("mapleline.balancer").info("%s: %s", part, text, extra=fields)
