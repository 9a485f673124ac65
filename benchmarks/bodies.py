"""Benchmark of many concurrent large bodies through one ingress: memory, CPU time and response time of readiness.

    python benchmarks/bodies.py [STREAMS [MEGABYTES [MEMORY_MB]]]

Each stream uploads a body and downloads an answer of the same size.  The simulated parties are those of the tests, on
loopback.
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

CHUNK = b"s" * (1 << 16)


class BulkServer(Peer):
    """A server that accepts any body and answers with one of `size_bytes` bytes."""

    def __init__(self, size_bytes: int) -> None:
        self.size_bytes = size_bytes
        super().__init__(None)

    def _serve(self, sock) -> None:  # type: ignore[no-untyped-def]
        with sock:
            data = b""
            while received := sock.recv(1 << 18):
                data += received
                head, end, rest = data.partition(b"\r\n\r\n")
                if not end:
                    continue
                length = head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0]
                remaining_bytes = int(length or 0) - len(rest)
                while remaining_bytes > 0:
                    remaining_bytes -= len(sock.recv(1 << 18))
                data = b""
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % self.size_bytes)
                for _ in range(self.size_bytes // len(CHUNK)):
                    sock.sendall(CHUNK)


def run_stream(address: tuple[str, int], customer: int, size_bytes: int, completed: list[bool]) -> None:
    """Upload and download one body; append to `completed` if the whole answer arrives."""
    client = Client(address)
    head = client.bytes_of(cls="book", customer=customer, ttl=60_000).replace(
        b"Content-Length: 0", b"Content-Length: %d" % size_bytes
    )
    client.send(head)
    for _ in range(size_bytes // len(CHUNK)):
        client.sock.sendall(CHUNK)
    received_bytes = 0
    while received_bytes < size_bytes:
        received = client.sock.recv(1 << 18)
        if not received:
            return
        received_bytes += len(received)
    completed.append(True)


def process_usage(pid: int) -> tuple[float, float]:
    """Return the resident memory in megabytes and the CPU time in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return int(fields[21]) * 4096 / 1e6, (int(fields[11]) + int(fields[12])) / 100


def main() -> None:
    """Run the streams and print the measurements."""
    stream_count, size_mb, memory_mb = (int(text) for text in [*sys.argv[1:], *("40", "32", "80")[len(sys.argv) - 1 :]])
    size_bytes = size_mb * 1_000_000 // len(CHUNK) * len(CHUNK)
    config = config_for(
        Counter(),
        Discovery(),
        [BulkServer(size_bytes) for _ in range(60)],
        management="127.0.0.1:0",
        limits={"sockets": 1024, "memory_mb": memory_mb},
    )
    process = start(config, Path(tempfile.mkdtemp()), "-O")
    try:
        ingress = Ingress(process, None)
        idle_usage, started_at = process_usage(process.pid), time.monotonic()
        completed: list[bool] = []
        threads = [
            threading.Thread(target=run_stream, args=(ingress.address, number, size_bytes, completed), daemon=True)
            for number in range(stream_count)
        ]
        for thread in threads:
            thread.start()
        peak_mb, slowest_call_s = idle_usage[0], 0.0
        while any(thread.is_alive() for thread in threads):
            called_at = time.monotonic()
            ingress.call("GET /-/ready")
            slowest_call_s = max(slowest_call_s, time.monotonic() - called_at)
            peak_mb = max(peak_mb, process_usage(process.pid)[0])
            time.sleep(0.02)
        duration_s, cpu_s = time.monotonic() - started_at, process_usage(process.pid)[1] - idle_usage[1]
        print(f"{len(completed)} of {stream_count} streams of {size_mb} MB each way came whole in {duration_s:.1f} s")
        print(f"memory {idle_usage[0]:.0f} MB idle, {peak_mb:.0f} MB at most, of {memory_mb}")
        print(f"CPU {cpu_s:.2f} s, {1000 * cpu_s / (2 * stream_count * size_mb):.2f} ms a MB")
        print(f"slowest call at the door {1000 * slowest_call_s:.0f} ms")
    finally:
        process.kill()
        process.wait()


if __name__ == "__main__":
    main()
