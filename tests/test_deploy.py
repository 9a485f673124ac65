"""The `run` command of deploy/balancer.toml: one process without the features that the platform forbids."""

import os
import sys
import tomllib
from pathlib import Path

from ingress import ROOT, Counter, Discovery, Ingress, Peer, config_for, message, start

RUN = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]


def unix_sockets(pid):
    """Return the inodes of the Unix sockets that a process has open."""
    lines = Path(f"/proc/{pid}/net/unix").read_text().splitlines()[1:]
    known = {line.split()[6] for line in lines}
    open_inodes = set()
    for fd in Path(f"/proc/{pid}/fd").iterdir():
        try:
            open_inodes.add(os.readlink(fd).removeprefix("socket:[").removesuffix("]"))
        except OSError:
            continue  # closed in the meantime
    return open_inodes & known


def test_run_is_a_single_process_without_children_and_unix_sockets(tmp_path):
    config = config_for(Counter(), Discovery(), [Peer(lambda *_: message(body=b"slots"))])
    line = RUN.replace(".venv/bin/python", sys.executable)
    assert line != RUN and line.startswith("exec ")
    process = start(config, tmp_path, line=["/bin/sh", "-c", line])
    try:
        ingress = Ingress(process, tmp_path / "config.json")
        assert ingress.client().ask()[0] == 200
        tasks = Path(f"/proc/{process.pid}/task")
        assert os.readlink(f"/proc/{process.pid}/exe") == os.path.realpath(sys.executable)
        assert [children for task in tasks.iterdir() if (children := (task / "children").read_text())] == []
        assert unix_sockets(process.pid) == set()
    finally:
        process.kill()
        process.wait()


def test_paths_in_the_deploy_file_exist():
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    named = [*deploy["policy"], *deploy["node"]]
    assert [path for path in named if not (ROOT / path).exists()] == []
