"""Runs the trial cluster until it is interrupted, or runs the steps of the check."""

from __future__ import annotations

import socket
import tempfile
import threading
from pathlib import Path

from expression import Error, Ok, Result

from ..operator_client import call_any_address
from .checks import run_checks
from .cluster import TrialCluster, wait_until
from .layout import FRONT_PORT, INITIAL_NODES, INTERNAL_PORT, NODE_ADDRESSES, control_addresses
from .sample_configuration import API_KEY, HOST_NAME, sample_configuration


def run(is_check: bool) -> Result[str, str]:
    """Start the cluster; with `is_check` run the steps and stop, else run until interrupted."""
    fault = _address_in_use()
    if fault is not None:
        return Error(fault)
    with tempfile.TemporaryDirectory(prefix="mapleline-try-") as folder:
        cluster = TrialCluster(Path(folder))
        try:
            for name in INITIAL_NODES:
                cluster.start(name, is_initial=True)
            return _check(cluster) if is_check else _serve(cluster)
        except KeyboardInterrupt:
            return Ok("ended")
        finally:
            cluster.stop()


def _address_in_use() -> str | None:
    """Return the fault of the first internal address that cannot be bound, or None."""
    for host in NODE_ADDRESSES.values():
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            try:
                probe.bind((host, INTERNAL_PORT))
            except OSError as error:
                return f"{host}:{INTERNAL_PORT}: {error.strerror}; is another one still running?"
    return None


def _check(cluster: TrialCluster) -> Result[str, str]:
    fault = run_checks(cluster, print)
    return Error(fault) if fault else Ok("all seen")


def _serve(cluster: TrialCluster) -> Result[str, str]:
    """Put a configuration in force, print how to use the cluster, and wait for an interrupt."""
    body = sample_configuration(1)
    fault = wait_until(
        "a configuration is acknowledged",
        lambda: call_any_address(control_addresses(), "POST", "/config/replace", body).is_ok(),
    )
    if fault is not None:
        return Error(fault)
    front = f"{NODE_ADDRESSES['z1']}:{FRONT_PORT}"
    print(f"logs and data: {cluster.folder}\ncontrol: --at {control_addresses()}")
    print(f"curl -H 'Host: {HOST_NAME}' -H 'Request-Id: 1' -H 'Authorization: Bearer {API_KEY}' http://{front}/slots/x")
    print("Ctrl-C ends it", flush=True)
    threading.Event().wait()
    return Ok("ended")
