"""How evenly connections lie over four processes, by the way they are accepted.

    python benchmarks/connections.py [--runs N]

Opens 8 and 512 connections, one every 2 ms as fronts do in the morning, and prints for each way the share
that the busiest of four processes got over an even share (1 is even), median and worst of the runs.
`reuseport`: a listener each.  `exclusive`: one inherited listener under EPOLLEXCLUSIVE.  `supervisor`: ours.
"""

import argparse
import json
import os
import select
import signal
import socket
import statistics
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from mapleline.lab import cores  # noqa: E402

PROCESSES, PAUSE_S = 4, 0.002


def accept_for_ever(listener: socket.socket, exclusive: bool, pipe: int) -> None:
    """A process that accepts what it is woken for, and writes its own letter for each."""
    listener.setblocking(False)
    poll, kept = select.epoll(), []
    poll.register(listener, select.EPOLLIN | (select.EPOLLEXCLUSIVE if exclusive else 0))
    while True:
        poll.poll()
        while True:
            try:
                kept.append(listener.accept()[0])
            except BlockingIOError:
                break
            os.write(pipe, b"%x" % (os.getpid() % PROCESSES))


def by_kernel(way: str, connections: int) -> list[int]:
    """Connections by process."""
    options = {"backlog": 512, "reuse_port": way == "reuseport"}
    shared = socket.create_server(("127.0.0.1", 0), **options)
    address = shared.getsockname()
    listeners = [shared] * PROCESSES
    if way == "reuseport":
        listeners = [shared, *(socket.create_server(address, **options) for _ in range(PROCESSES - 1))]
    pipes, pids = [], []
    for listener in listeners:
        read, write = os.pipe()
        pid = os.fork()
        if not pid:
            accept_for_ever(listener, way == "exclusive", write)
        os.close(write)
        pipes.append(read)
        pids.append(pid)
    for listener in listeners:
        listener.close()
    time.sleep(0.2)
    try:
        clients = dial(address, connections)
        time.sleep(0.3)
        return [len(os.read(pipe, 4096)) if select.select([pipe], [], [], 0)[0] else 0 for pipe in pipes]
    finally:
        for client in clients:
            client.close()
        for pid, pipe in zip(pids, pipes, strict=True):
            os.kill(pid, signal.SIGKILL)
            os.waitpid(pid, 0)
            os.close(pipe)


def dial(address: tuple[str, int], connections: int) -> list[socket.socket]:
    clients = []
    for _ in range(connections):
        clients.append(socket.create_connection(address))
        time.sleep(PAUSE_S)
    return clients


def by_supervisor(connections: int) -> list[int]:
    """What each worker says it has taken, from its counters in the log at the end."""
    nobody = "127.0.0.1:1"
    config = {
        "name": "n",
        "listen": "127.0.0.1:0",
        "discovery": nobody,
        "counter": nobody,
        "seed": "1",
        "limits": {"sockets": 4096},
        "settings": cores.SETTINGS,
    }
    with tempfile.TemporaryFile() as log:
        with cores.ingress(PROCESSES, set(os.sched_getaffinity(0)), config, log) as (address, _):
            clients = dial(tuple(address), connections)
            time.sleep(0.3)
        for client in clients:
            client.close()
        log.seek(0)
        (last,) = [json.loads(line) for line in log if b'"why":"exit"' in line]
    return [counts.get("client.connected", 0) for counts in last["workers"].values()]


def main() -> None:
    plain = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=plain)
    parser.add_argument("--runs", type=int, default=5)
    runs = parser.parse_args().runs
    for way in ("reuseport", "exclusive", "supervisor"):
        for connections in (8, 512):
            found = []
            for _ in range(runs):
                lie = by_supervisor(connections) if way == "supervisor" else by_kernel(way, connections)
                if sum(lie) != connections:
                    sys.exit(f"{way}: {sum(lie)} of {connections} connections were accepted")
                found.append(max(lie) * PROCESSES / connections)
            print(
                f"{way:10}  {connections:3} connections  median {statistics.median(found):.2f}  worst {max(found):.2f}",
                flush=True,
            )


if __name__ == "__main__":
    main()
