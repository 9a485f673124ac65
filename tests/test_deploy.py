"""What the platform asks of `run` in deploy/balancer.toml: one process, and nothing that it refuses."""

import os
import sys
import tomllib
from pathlib import Path

from ingress import ROOT, Counter, Discovery, Ingress, Peer, config_for, message, start

RUN = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]


def unix_sockets(pid):
    """Inodes of the Unix sockets that a process holds."""
    lines = Path(f"/proc/{pid}/net/unix").read_text().splitlines()[1:]
    known = {line.split()[6] for line in lines}
    held = set()
    for fd in Path(f"/proc/{pid}/fd").iterdir():
        try:
            held.add(os.readlink(fd).removeprefix("socket:[").removesuffix("]"))
        except OSError:
            continue  # closed while we looked
    return held & known


def test_run_is_one_process_that_starts_no_other_and_holds_no_unix_socket(tmp_path):
    config = config_for(Counter(), Discovery(), [Peer(lambda *_: message(body=b"slots"))])
    line = RUN.replace(".venv/bin/python", sys.executable)
    assert line != RUN and line.startswith("exec ")
    process = start(config, tmp_path, line=["/bin/sh", "-c", line])
    try:
        ingress = Ingress(process, tmp_path / "config.json")
        assert ingress.client().ask()[0] == 200
        tasks = Path(f"/proc/{process.pid}/task")
        assert os.readlink(f"/proc/{process.pid}/exe") == os.path.realpath(sys.executable)
        assert [kids for t in tasks.iterdir() if (kids := (t / "children").read_text())] == []
        assert unix_sockets(process.pid) == set()
    finally:
        process.kill()
        process.wait()


def test_every_path_that_the_deploy_file_names_exists():
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    named = [*deploy["policy"], *deploy["node"]]
    assert [path for path in named if not (ROOT / path).exists()] == []
