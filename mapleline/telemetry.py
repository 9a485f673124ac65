"""What an operator sees: the log (one JSON line an event), the counters and broken invariants."""

from __future__ import annotations

import sys
import time
from collections import Counter
from typing import Any

#: Everything taken in, sent and answered, by name.  `print_counters` shows it on SIGUSR1 and at exit.
COUNTS: Counter[str] = Counter()


def _as_json(logger: Any, method: str, event: dict[str, Any]) -> bytes:
    import orjson

    return orjson.dumps({"at": time.time(), "event": event.pop("event"), **event}, default=str)


def _as_text() -> Any:
    """For a terminal: the same fields, readable."""
    import structlog

    render = structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())

    def line(logger: Any, method: str, event: dict[str, Any]) -> bytes:
        event["timestamp"] = time.strftime("%H:%M:%S")
        return render(logger, method, event).encode()

    return line


def configure_log(form: str = "json", **bound: object) -> None:
    """Choose the form (`json`, `text`, or `auto`: text on a terminal) and fields that every line has."""
    import structlog  # with orjson, half of a start's imports that a program with another log does without

    text = form == "text" or (form == "auto" and sys.stderr.isatty())
    structlog.configure(
        processors=[_as_text() if text else _as_json],
        logger_factory=structlog.BytesLoggerFactory(file=sys.stderr.buffer),
        cache_logger_on_first_use=False,
    )
    global _logger
    _logger = structlog.get_logger(**bound)


_logger: Any = None


def log(event: str, **fields: object) -> None:
    """Write one event.  Never called for each request: a line costs more than a request should."""
    if _logger is None:
        configure_log()
    try:
        _logger.info(event, **fields)
    except (OSError, ValueError):
        COUNTS["log.lost"] += 1  # nobody reads the log any more: no reason to stop serving


def print_counters(why: str) -> None:
    log("counters", why=why, counts=dict(sorted(COUNTS.items())))


def invariant(holds: object, what: str) -> None:
    """What must hold: asserted in debug builds, counted in release builds (`python -O`)."""
    if __debug__:
        assert holds, what
    elif not holds:
        COUNTS["broken." + what] += 1
