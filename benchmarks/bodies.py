"""Many large bodies at once through one ingress: its memory, its CPU time, and how long the door waits.

    python benchmarks/bodies.py [STREAMS [MEGABYTES [MEMORY_MB]]]

Each stream uploads a body and downloads an answer of that size; the parties are the tests' own, on loopback.
"""

from __future__ import annotations

import sys
import tempfile
import threading
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from ingress import Client, Counter, Discovery, Ingress, Peer, config_for, start  # noqa: E402

PART = b"s" * (1 << 16)


class Bulk(Peer):
    """Takes any body and answers with one of `size` bytes."""

    def __init__(self, size: int) -> None:
        self.size = size
        super().__init__(None)

    def _serve(self, sock) -> None:  # type: ignore[no-untyped-def]
        with sock:
            data = b""
            while more := sock.recv(1 << 18):
                data += more
                head, end, rest = data.partition(b"\r\n\r\n")
                if not end:
                    continue
                length = head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0]
                left = int(length or 0) - len(rest)
                while left > 0:
                    left -= len(sock.recv(1 << 18))
                data = b""
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % self.size)
                for _ in range(self.size // len(PART)):
                    sock.sendall(PART)


def stream(address: tuple[str, int], n: int, size: int, done: list[bool]) -> None:
    client = Client(address)
    head = client.bytes_of(cls="book", customer=n, ttl=60_000).replace(
        b"Content-Length: 0", b"Content-Length: %d" % size
    )
    client.send(head)
    for _ in range(size // len(PART)):
        client.sock.sendall(PART)
    got = 0
    while got < size:
        more = client.sock.recv(1 << 18)
        if not more:
            return
        got += len(more)
    done.append(True)


def of(pid: int) -> tuple[float, float]:
    """Resident megabytes and CPU seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return int(fields[21]) * 4096 / 1e6, (int(fields[11]) + int(fields[12])) / 100


def main() -> None:
    streams, megabytes, memory = (int(x) for x in [*sys.argv[1:], *("40", "32", "80")[len(sys.argv) - 1 :]])
    size = megabytes * 1_000_000 // len(PART) * len(PART)
    config = config_for(
        Counter(),
        Discovery(),
        [Bulk(size) for _ in range(60)],
        management="127.0.0.1:0",
        limits={"sockets": 1024, "memory_mb": memory},
    )
    process = start(config, Path(tempfile.mkdtemp()), "-O")
    try:
        ingress = Ingress(process, None)
        idle, began = of(process.pid), time.monotonic()
        done: list[bool] = []
        threads = [
            threading.Thread(target=stream, args=(ingress.address, n, size, done), daemon=True) for n in range(streams)
        ]
        for thread in threads:
            thread.start()
        most, slowest = idle[0], 0.0
        while any(thread.is_alive() for thread in threads):
            asked = time.monotonic()
            ingress.call("GET /-/ready")
            slowest = max(slowest, time.monotonic() - asked)
            most = max(most, of(process.pid)[0])
            time.sleep(0.02)
        took, cpu = time.monotonic() - began, of(process.pid)[1] - idle[1]
        print(f"{len(done)} of {streams} streams of {megabytes} MB each way came whole in {took:.1f} s")
        print(f"memory {idle[0]:.0f} MB idle, {most:.0f} MB at most, of {memory}")
        print(f"CPU {cpu:.2f} s, {1000 * cpu / (2 * streams * megabytes):.2f} ms a MB")
        print(f"slowest call at the door {1000 * slowest:.0f} ms")
    finally:
        process.kill()
        process.wait()


if __name__ == "__main__":
    main()
