"""The order of a start: nobody may connect to a process that is still busy with it."""

import os
import subprocess
import sys

import pytest
from ingress import ROOT, Counter, Discovery, config_for

from mapleline import ingress
from mapleline.settings.platform import read_config


class Reactor:
    """Runs what is due in the order of its time, as a turn after a wait, and notes what happened."""

    def __init__(self, seen):
        self.seen, self.delayed, self.first = seen, [], []

    def seconds(self):
        return 0.0

    def callLater(self, after, call, *args):
        self.delayed.append((after, call, args))

    def callWhenRunning(self, call):
        self.first.append(call)

    def run(self):
        self.seen.append("runs")
        for call in self.first:
            call()
        self.seen.append("waits")
        after, call, args = min(self.delayed, key=lambda d: d[0])
        assert after > 0  # without a wait the whole start is one turn
        call(*args)

    def stop(self):
        self.seen.append("stops")


@pytest.mark.parametrize("shared", [False, True])
def test_nothing_listens_before_the_start_is_over(monkeypatch, shared):
    seen = []
    environment = {"EDGE_ACCEPT_FD": "9"} if shared else {}
    config = read_config(config_for(Counter(), Discovery(), [], management="127.0.0.1:0"), environment)
    made = ingress.Ingress(Reactor(seen), config)
    for name in ("_listen", "_inherit", "_heed_signals", "told"):
        monkeypatch.setattr(made, name, lambda *_, name=name: seen.append(name))
    monkeypatch.setattr(ingress, "calm_gc", lambda: seen.append("gc"))
    monkeypatch.setattr(ingress, "log_counters", lambda why: None)
    monkeypatch.setattr(ingress, "log", lambda event, **_: seen.append(event))
    made.watcher.start = lambda: seen.append("watch")
    made.run()
    listening = ["_inherit", "_listen"] if shared else ["_listen", "_listen"]
    assert seen == ["told", "watch", "gc", "runs", "_heed_signals", "waits", *listening, "serving"]


def test_a_start_does_without_what_it_never_uses(tmp_path):
    """Each of these cost a tenth or a twentieth of a start's CPU time; twisted brings them in unasked."""
    code = (
        "import sys, mapleline.__main__ as m, mapleline\n"
        "sys.argv = ['mapleline']\n"
        "m.main()\n"
        "print(sorted({'urllib.request', 'http.cookiejar', 'twisted.internet.endpoints', 'tempfile'}"
        " & set(sys.modules)))\n"
    )
    environment = {**os.environ, "EDGE_CONFIG": str(tmp_path / "missing")}
    line = [sys.executable, "-c", code]
    done = subprocess.run(line, cwd=ROOT, env=environment, capture_output=True, text=True)
    assert done.stdout.strip() == "[]" and "EDGE_CONFIG" in done.stderr
