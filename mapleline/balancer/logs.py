"""The log: one JSON object per line on standard error; each message is prefixed with the name of its module.

Modules log through `logging.getLogger(__name__)`, with structured fields in `extra`.
"""

from __future__ import annotations

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

ROOT_LOGGER = "mapleline.balancer"


class PrefixFormatter(JsonFormatter):
    """Formats `message` as "<module>: <text>", where the module is the last part of the logger's name."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as one line of JSON."""
        prefix = record.name.rpartition(".")[2]
        record.msg, record.args = f"{prefix}: {record.getMessage()}", None
        return super().format(record)


def configure(node_name: str) -> None:
    """Write the log of the balancer's modules to standard error; each line names the node."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(PrefixFormatter("%(message)s", timestamp=True, static_fields={"node": node_name}))
    root = logging.getLogger(ROOT_LOGGER)
    root.handlers[:] = [handler]
    root.propagate = False
    root.setLevel(logging.INFO)
