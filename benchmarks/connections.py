"""Benchmark of the distribution of connections over four processes, by the method of accepting them.

    python benchmarks/connections.py [--runs N]

Opens 8 and 512 connections, one every 2 ms, as client proxies do in the morning.  For each method it prints the share
of the busiest process divided by an even share (1 is even), as median and worst of the runs.
`reuseport`: one listener per process.  `exclusive`: one inherited listener with EPOLLEXCLUSIVE.  `supervisor`: the
program's own supervisor.
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

PROCESS_COUNT, CONNECT_INTERVAL_S = 4, 0.002


def accept_forever(listener: socket.socket, is_exclusive: bool, pipe: int) -> None:
    """Accept connections on each wake-up, and write one byte to `pipe` per connection."""
    listener.setblocking(False)
    poll, connections = select.epoll(), []
    poll.register(listener, select.EPOLLIN | (select.EPOLLEXCLUSIVE if is_exclusive else 0))
    while True:
        poll.poll()
        while True:
            try:
                connections.append(listener.accept()[0])
            except BlockingIOError:
                break
            os.write(pipe, b"%x" % (os.getpid() % PROCESS_COUNT))


def count_with_kernel(method: str, connection_count: int) -> list[int]:
    """Return the number of connections per process, distributed by the kernel."""
    options = {"backlog": 512, "reuse_port": method == "reuseport"}
    shared = socket.create_server(("127.0.0.1", 0), **options)
    address = shared.getsockname()
    listeners = [shared] * PROCESS_COUNT
    if method == "reuseport":
        listeners = [shared, *(socket.create_server(address, **options) for _ in range(PROCESS_COUNT - 1))]
    pipes, pids = [], []
    for listener in listeners:
        read, write = os.pipe()
        pid = os.fork()
        if not pid:
            accept_forever(listener, method == "exclusive", write)
        os.close(write)
        pipes.append(read)
        pids.append(pid)
    for listener in listeners:
        listener.close()
    time.sleep(0.2)
    try:
        clients = open_connections(address, connection_count)
        time.sleep(0.3)
        return [len(os.read(pipe, 4096)) if select.select([pipe], [], [], 0)[0] else 0 for pipe in pipes]
    finally:
        for client in clients:
            client.close()
        for pid, pipe in zip(pids, pipes, strict=True):
            os.kill(pid, signal.SIGKILL)
            os.waitpid(pid, 0)
            os.close(pipe)


def open_connections(address: tuple[str, int], connection_count: int) -> list[socket.socket]:
    """Open connections one after another, `CONNECT_INTERVAL_S` apart."""
    clients = []
    for _ in range(connection_count):
        clients.append(socket.create_connection(address))
        time.sleep(CONNECT_INTERVAL_S)
    return clients


def count_with_supervisor(connection_count: int) -> list[int]:
    """Return the number of connections per worker, from the workers' counters in the log at exit."""
    unused_address = "127.0.0.1:1"
    config = {
        "name": "n",
        "listen": "127.0.0.1:0",
        "discovery": unused_address,
        "counter": unused_address,
        "seed": "1",
        "limits": {"sockets": 4096},
        "settings": cores.SETTINGS,
    }
    with tempfile.TemporaryFile() as log:
        with cores.ingress(PROCESS_COUNT, set(os.sched_getaffinity(0)), config, log) as (address, _):
            clients = open_connections(tuple(address), connection_count)
            time.sleep(0.3)
        for client in clients:
            client.close()
        log.seek(0)
        (last,) = [json.loads(line) for line in log if b'"why":"exit"' in line]
    return [counts.get("client.connected", 0) for counts in last["workers"].values()]


def main() -> None:
    """Measure every method and print the results."""
    formatter = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=formatter)
    parser.add_argument("--runs", type=int, default=5)
    runs = parser.parse_args().runs
    for method in ("reuseport", "exclusive", "supervisor"):
        for total in (8, 512):
            ratios = []
            for _ in range(runs):
                counts = count_with_supervisor(total) if method == "supervisor" else count_with_kernel(method, total)
                if sum(counts) != total:
                    sys.exit(f"{method}: {sum(counts)} of {total} connections were accepted")
                ratios.append(max(counts) * PROCESS_COUNT / total)
            print(
                f"{method:10}  {total:3} connections  median {statistics.median(ratios):.2f}  worst {max(ratios):.2f}",
                flush=True,
            )


if __name__ == "__main__":
    main()
