"""Entry point of a balancer process: loads the settings and sets up reactor, log and signal handlers."""

from __future__ import annotations

import logging
import os
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

from .logs import configure
from .node import Node
from .process_environment import ProcessEnvironment
from .settings import Settings, SettingsError, parse_settings

if TYPE_CHECKING:
    from .reactor import MonotonicReactor

logger = logging.getLogger(__name__)

SETTINGS_VARIABLE = "MAPLELINE_CONFIG"
EXIT_UNUSABLE_SETTINGS = 2


class SettingsFile:
    """The settings file named by the environment variable; it is parsed again only if its text has changed."""

    def __init__(self) -> None:
        """Create an object that has not read the file."""
        self._text: str | None = None
        self._settings: Settings | None = None

    def load(self) -> Settings:
        """Return the current settings of the file.

        Raises:
            SettingsError: the variable is not set, or the file's content is not valid.
            OSError: the file cannot be read.
        """
        path = os.environ.get(SETTINGS_VARIABLE)
        if not path:
            raise SettingsError(SETTINGS_VARIABLE, "not set; it names the settings file")
        text = Path(path).read_text()
        if self._settings is None or self._text != text:
            self._settings = parse_settings(text)
            self._text = text
        return self._settings


def main() -> int:
    """Run one node until it is shut down; return the exit code."""
    settings_file = SettingsFile()
    try:
        settings = settings_file.load()
    except (SettingsError, OSError) as error:
        sys.stderr.write(f"mapleline: {error}\n")
        return EXIT_UNUSABLE_SETTINGS
    from .reactor import install  # imported late: invalid settings are reported without a reactor

    reactor = install()
    configure(settings.node_name)
    _log_unhandled_errors()
    node = Node(reactor, settings, ProcessEnvironment(reactor, settings), settings_file.load)
    reactor.callWhenRunning(node.start)
    _handle_signals(reactor, node)
    reactor.run(installSignalHandlers=False)
    return 0


def _log_unhandled_errors() -> None:
    """Write Twisted's unhandled errors to the log, with their tracebacks."""
    from twisted.python import log as twisted_log

    def on_event(event: dict[str, Any]) -> None:
        if event.get("isError"):
            failure = event.get("failure")
            trace = failure.getTraceback() if failure else str(event.get("message"))
            logger.error("unhandled error", extra={"trace": trace})

    twisted_log.addObserver(on_event)


def _handle_signals(reactor: MonotonicReactor, node: Node) -> None:
    """Begin a graceful shutdown on SIGTERM and SIGINT; read the settings file again on SIGHUP."""

    def on_terminate(*_: object) -> None:
        reactor.callFromThread(node.shut_down)

    def on_hangup(*_: object) -> None:
        reactor.callFromThread(node.reload_seed_nodes)

    reactor.callWhenRunning(signal.signal, signal.SIGTERM, on_terminate)
    reactor.callWhenRunning(signal.signal, signal.SIGINT, on_terminate)
    reactor.callWhenRunning(signal.signal, signal.SIGHUP, on_hangup)
