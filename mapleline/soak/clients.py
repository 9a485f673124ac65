"""Simulated clients of a soak test: open-loop traffic to all nodes over persistent connections."""

from __future__ import annotations

import asyncio
import random
from collections import defaultdict, deque
from typing import NamedTuple

from .history import AttemptEnd, ClientAttempt, SoakHistory
from .http_io import MalformedMessageError, Message, encode_message, read_message
from .layout import FRONT_PORT, NodeSpec
from .workload import BOOK_PATH, CLIENT_DEADLINE_S, HOST_NAME, READ_PATH, READ_SHARE, TENANTS, TenantSpec

RETRYABLE_STATUSES = frozenset({429, 503})
RETRY_SHARE = 0.5
MAX_RETRY_WAIT_S = 1.0
DEFAULT_RETRY_WAIT_S = 0.05
REUSED_CONNECTION_SHARE = 0.9
"""Share of attempts that reuse an idle connection, even if the node has failed since."""
CONNECT_TIMEOUT_S = 1.0


class Connection(NamedTuple):
    """A client connection to a node's front port."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


class ClientTraffic:
    """Traffic of all clients of all tenants."""

    def __init__(self, nodes: tuple[NodeSpec, ...], history: SoakHistory, rng: random.Random, load: float) -> None:
        """Initialise without sending anything.

        Args:
            nodes: Nodes that receive requests, each chosen at random per attempt.
            history: Records every attempt.
            rng: Source of all random choices.
            load: Factor on each tenant's request rate.
        """
        self._nodes = nodes
        self._history = history
        self._rng = rng
        self._load = load
        self._idle_connections: defaultdict[str, deque[Connection]] = defaultdict(deque)
        self._tasks: set[asyncio.Task[None]] = set()
        self._request_count = 0

    async def run(self, duration_s: float) -> None:
        """Send requests for `duration_s` seconds, then wait for the open attempts.

        The wait ends after the client deadline plus 1 s.
        """
        async with asyncio.TaskGroup() as group:
            for tenant in TENANTS:
                group.create_task(self._send_tenant_load(tenant, duration_s))
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=CLIENT_DEADLINE_S + 1.0)
        for connections in self._idle_connections.values():
            for connection in connections:
                connection.writer.close()

    async def _send_tenant_load(self, tenant: TenantSpec, duration_s: float) -> None:
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + duration_s
        due_at = loop.time()
        while due_at < ends_at:
            due_at += self._rng.expovariate(tenant.load_per_s * self._load)
            await asyncio.sleep(max(0.0, due_at - loop.time()))
            self._request_count += 1
            self._start_attempt(
                tenant, f"{tenant.name}-{self._request_count}", is_idempotent=self._rng.random() < READ_SHARE
            )

    def _start_attempt(
        self, tenant: TenantSpec, attempt_id: str, *, is_idempotent: bool, is_retry: bool = False
    ) -> None:
        task = asyncio.get_running_loop().create_task(
            self._run_attempt(tenant, attempt_id, is_idempotent=is_idempotent, is_retry=is_retry)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_attempt(self, tenant: TenantSpec, attempt_id: str, *, is_idempotent: bool, is_retry: bool) -> None:
        """Send one request to a random node; a share of the attempts answered 429 or 503 is retried once."""
        loop = asyncio.get_running_loop()
        node = self._rng.choice(self._nodes)
        attempt = ClientAttempt(attempt_id, tenant.name, is_idempotent, node.name, loop.time(), is_retry)
        self._history.attempts[attempt_id] = attempt
        answer = await self._exchange(node, attempt, tenant.api_key)
        attempt.ended_at = loop.time()
        if answer is None:
            return
        attempt.status = answer.status
        stamp = answer.headers.get("server-stamp")
        attempt.is_foreign_answer = stamp is not None and (
            stamp != f"stamp-{attempt_id}" or answer.body.decode() != attempt_id
        )
        if attempt.status in RETRYABLE_STATUSES and not is_retry and self._rng.random() < RETRY_SHARE:
            wait_s = float(answer.headers.get("retry-after", DEFAULT_RETRY_WAIT_S))
            if wait_s <= MAX_RETRY_WAIT_S:
                await asyncio.sleep(wait_s)
                self._start_attempt(tenant, f"{attempt_id}.1", is_idempotent=is_idempotent, is_retry=True)

    async def _exchange(self, node: NodeSpec, attempt: ClientAttempt, api_key: str) -> Message | None:
        """Send the attempt, record how it ended, and return its answer, or None without one."""
        connection = await self._connect(node)
        if connection is None:
            attempt.end = AttemptEnd.REFUSED
            return None
        method, path = ("GET", READ_PATH) if attempt.is_idempotent else ("POST", BOOK_PATH)
        headers = {
            "Host": HOST_NAME,
            "Request-Id": attempt.id,
            "Deadline-Ms": str(int(CLIENT_DEADLINE_S * 1000)),
            "Authorization": f"Bearer {api_key}",
        }
        attempt.sent_at = asyncio.get_running_loop().time()
        try:
            connection.writer.write(
                encode_message(f"{method} {path} HTTP/1.1", headers, b"" if method == "GET" else b"b")
            )
            async with asyncio.timeout(CLIENT_DEADLINE_S):
                answer = await read_message(connection.reader)
        except TimeoutError:
            attempt.end = AttemptEnd.TIMED_OUT
            connection.writer.close()
            return None
        except (OSError, asyncio.IncompleteReadError, MalformedMessageError):
            attempt.end = AttemptEnd.BROKEN
            connection.writer.close()
            return None
        attempt.end = AttemptEnd.ANSWERED
        if answer.keeps_connection:
            self._idle_connections[node.name].append(connection)
        else:
            connection.writer.close()
        return answer

    async def _connect(self, node: NodeSpec) -> Connection | None:
        """Return an idle connection that is still open, or a new one; None if the node accepts none in time."""
        idle = self._idle_connections[node.name]
        while idle and self._rng.random() < REUSED_CONNECTION_SHARE:
            connection = idle.popleft()
            if not connection.reader.at_eof() and not connection.writer.is_closing():
                return connection
            connection.writer.close()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                return Connection(*await asyncio.open_connection(node.host, FRONT_PORT))
        except (OSError, TimeoutError):
            return None
