"""The log (one JSON line per event), the event counters and the invariant checks."""

from __future__ import annotations

import sys
import time
from collections import Counter
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable, MutableMapping
    from typing import Any

    from structlog.typing import WrappedLogger

    #: Formats one event as a line of the log; structlog calls it a processor.
    Formatter = Callable[[WrappedLogger, str, MutableMapping[str, Any]], bytes]

#: The number of events since the start, by name.  `log_counters` writes them on SIGUSR1 and at exit.
COUNTS: Counter[str] = Counter()


class EventLogger(Protocol):
    """The part of a structlog logger that `log` needs."""

    def info(self, event: str, **fields: object) -> object:
        """Write one event with its fields."""


#: Set by `configure_log`, or by the first `log` with the default format.
_logger: EventLogger | None = None


def _format_json(logger: WrappedLogger, method: str, event: MutableMapping[str, Any]) -> bytes:
    import orjson

    line = {"at": time.time(), "event": event.pop("event"), **event}
    return orjson.dumps(line, default=str)


def _text_formatter() -> Formatter:
    """Return a formatter that writes the same fields in a readable form for terminals."""
    import structlog

    render = structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())

    def format_text(logger: WrappedLogger, method: str, event: MutableMapping[str, Any]) -> bytes:
        event["timestamp"] = time.strftime("%H:%M:%S")
        return render(logger, method, event).encode()

    return format_text


def configure_log(form: str = "json", **bound: object) -> None:
    """Set the format of the log and the fields that every line carries.

    Args:
        form: `json`, `text`, or `auto` (text on a terminal, JSON elsewhere).
        **bound: Fields added to every line.
    """
    global _logger
    import structlog  # imported late: with orjson it is half of the import time, and the balancer does not need it

    is_text = form == "text" or (form == "auto" and sys.stderr.isatty())
    structlog.configure(
        processors=[_text_formatter() if is_text else _format_json],
        logger_factory=structlog.BytesLoggerFactory(file=sys.stderr.buffer),
        cache_logger_on_first_use=False,
    )
    _logger = structlog.get_logger(**bound)


def log(event: str, **fields: object) -> None:
    """Write one event.

    It must not be called per request: writing a line takes more time than a request may.  A line that cannot be written
    is counted as `log.lost`, and the process continues to serve.
    """
    if _logger is None:
        configure_log()
    assert _logger is not None
    try:
        _logger.info(event, **fields)
    except (OSError, ValueError):
        COUNTS["log.lost"] += 1


def log_counters(why: str) -> None:
    """Write all counters as one event; `why` says what caused it, such as `exit`."""
    log("counters", why=why, counts=dict(sorted(COUNTS.items())))


def invariant(holds: object, name: str) -> None:
    """Check an invariant: asserted in debug builds, counted as `broken.<name>` under `python -O`."""
    if __debug__:
        assert holds, name
    elif not holds:
        COUNTS["broken." + name] += 1
