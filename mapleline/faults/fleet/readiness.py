"""Readiness probes of ingresses."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable

from twisted.internet.task import LoopingCall

from ..addresses import LOOPBACK
from .processes import IngressProcess

START_TIMEOUT_S = 60.0  # only an upper bound; start times are not compared with it
POLL_INTERVAL_S = 0.05
BLOCKING_PROBE_TIMEOUT_S = 1.0
REACTOR_PROBE_TIMEOUT_S = 0.05  # short, because a probe blocks the reactor, which serves every link
READY_REQUEST = b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"
READY_RESPONSE = b"HTTP/1.1 200"
RESPONSE_START_BYTES = 64


def wait_until_ready(ingress: IngressProcess) -> bool:
    """Block until an ingress is ready; return False if it exits or isn't ready within `START_TIMEOUT_S` seconds."""
    ends_at = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < ends_at and not ingress.has_ended:
        if _is_ready(ingress.port, BLOCKING_PROBE_TIMEOUT_S):
            return True
        time.sleep(POLL_INTERVAL_S)
    return False


def poll_until_ready(ingress: IngressProcess, on_done: Callable[[bool], None]) -> None:
    """Probe an ingress from the reactor until it is ready; `on_done` gets the result, as of `wait_until_ready`."""
    ends_at = time.monotonic() + START_TIMEOUT_S

    def probe() -> None:
        is_ready = _is_ready(ingress.port, REACTOR_PROBE_TIMEOUT_S)
        if is_ready or time.monotonic() > ends_at or ingress.has_ended:
            polling.stop()
            on_done(is_ready)

    polling = LoopingCall(probe)
    polling.start(POLL_INTERVAL_S, now=False)


def _is_ready(port: int, timeout_s: float) -> bool:
    try:
        with socket.create_connection((LOOPBACK, port), timeout=timeout_s) as probe:
            probe.sendall(READY_REQUEST)
            return probe.recv(RESPONSE_START_BYTES).startswith(READY_RESPONSE)
    except OSError:
        return False
