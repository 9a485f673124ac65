"""The order of a start: a process must not listen before it is ready to serve at once."""

import os
import subprocess
import sys

import pytest
from ingress import ROOT, Counter, Discovery, config_for

from mapleline import ingress
from mapleline.settings.platform import read_config


class Reactor:
    """A reactor that runs the start-up calls and then the earliest delayed call, and records the order of events."""

    def __init__(self, seen):
        self.seen, self.delayed_calls, self.startup_calls = seen, [], []

    def seconds(self):
        return 0.0

    def callLater(self, delay_s, call, *args):
        self.delayed_calls.append((delay_s, call, args))

    def callWhenRunning(self, call):
        self.startup_calls.append(call)

    def run(self):
        self.seen.append("runs")
        for call in self.startup_calls:
            call()
        self.seen.append("waits")
        delay_s, call, args = min(self.delayed_calls, key=lambda delayed: delayed[0])
        assert delay_s > 0  # without a delay the whole start is one turn
        call(*args)

    def stop(self):
        self.seen.append("stops")


@pytest.mark.parametrize("shared", [False, True])
def test_nothing_listens_before_the_start_is_over(monkeypatch, shared):
    seen = []
    environment = {"EDGE_ACCEPT_FD": "9"} if shared else {}
    config = read_config(config_for(Counter(), Discovery(), [], management="127.0.0.1:0"), environment)
    started = ingress.Ingress(Reactor(seen), config)
    for name in ("_listen", "_inherit_socket", "_install_signal_handlers", "apply_server_list"):
        monkeypatch.setattr(started, name, lambda *_, name=name: seen.append(name))
    monkeypatch.setattr(ingress, "freeze_gc", lambda: seen.append("gc"))
    monkeypatch.setattr(ingress, "log_counters", lambda reason: None)
    monkeypatch.setattr(ingress, "log", lambda event, **_: seen.append(event))
    started.watcher.start = lambda: seen.append("watch")
    started.run()
    listening = ["_inherit_socket", "_listen"] if shared else ["_listen", "_listen"]
    assert seen == [
        "apply_server_list",
        "watch",
        "gc",
        "runs",
        "_install_signal_handlers",
        "waits",
        *listening,
        "serving",
    ]


def test_a_start_imports_no_unused_modules(tmp_path):
    """Each of these modules, which Twisted imports, took a tenth or a twentieth of a start's CPU time."""
    code = (
        "import sys, mapleline.__main__ as m, mapleline\n"
        "sys.argv = ['mapleline']\n"
        "m.main()\n"
        "print(sorted({'urllib.request', 'http.cookiejar', 'twisted.internet.endpoints', 'tempfile'}"
        " & set(sys.modules)))\n"
    )
    environment = {**os.environ, "EDGE_CONFIG": str(tmp_path / "missing")}
    line = [sys.executable, "-c", code]
    finished = subprocess.run(line, cwd=ROOT, env=environment, capture_output=True, text=True)
    assert finished.stdout.strip() == "[]" and "EDGE_CONFIG" in finished.stderr
