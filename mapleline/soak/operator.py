"""Simulated operator of a soak test.

It sends configurations without waiting for earlier ones, some of them conflicting, and reads them back at the end.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from .history import Order, ReadBack, SoakHistory
from .http_io import NO_ANSWER_ERRORS, Message, encode_message, exchange
from .layout import CONTROL_PORT, REGION_BY_ZONE, FleetLayout, NodeSpec
from .workload import TENANTS, ConfigurationState

MAX_OPEN_ORDERS = 8
ORDER_TIMEOUT_S = 6.0
ORDER_DEADLINE_S = 20.0
RETRY_DELAY_S = 0.2
STATUS_REDIRECT = 307
INCONCLUSIVE_STATUSES = frozenset({408, 429})
MIN_SERVER_ERROR = 500
CONFLICT_SHARE = 0.1
MAX_VERSION_STEP = 3
MAX_RATE_STEP_SHARE = 0.02
"""Greatest reduction of a limit in one change, as a share of the tenant's first rate.

The size of each reduction is random, so that each lowered limit is one that the tenant never had.
"""
MIN_RATE_SHARE = 0.7
MAX_EXTRA_TENANTS = 60
MAX_EXTRA_ROUTES = 12
READ_BACK_ATTEMPTS = 40


class SoakOperator:
    """Sends configurations to random control nodes (nodes with a disk)."""

    def __init__(self, layout: FleetLayout, history: SoakHistory, rng: random.Random) -> None:
        """Initialise with the first limits and version 0, without sending anything."""
        self._layout = layout
        self._history = history
        self._rng = rng
        self._state = ConfigurationState()
        self._version = 0
        self._content_serial = 0
        self._open_orders: set[asyncio.Task[None]] = set()
        history.limits.update(self._state.limits)

    # -- changes -------------------------------------------------------------------------------------------

    async def put_first(self) -> None:
        """Send the first configuration, with retries until its answer is conclusive or its deadline passes."""
        await self._send(self._next_order(), self._rng.choice(self._layout.disk_nodes))

    async def run(self, duration_s: float, period_s: float, changes: list[str]) -> None:
        """Send configuration changes without waiting for earlier ones.

        Some changes come with a conflicting content under the same version.  A period is skipped while
        `MAX_OPEN_ORDERS` are open.

        Args:
            duration_s: Time for which changes are sent.
            period_s: Mean pause between changes; each pause is 0.7 to 1.3 times as long.
            changes: Kinds of changes to choose from at random.
        """
        change_functions: dict[str, Callable[[], None]] = {
            "limits": self._lower_limit,
            "limits back": self._restore_limit,
            "tenants": self._change_tenants,
            "routes": self._change_routes,
            "homes": self._change_homes,
        }
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + duration_s
        while loop.time() < ends_at:
            await asyncio.sleep(period_s * self._rng.uniform(0.7, 1.3))
            if len(self._open_orders) >= MAX_OPEN_ORDERS:
                continue
            change_functions[self._rng.choice(changes)]()
            self._start_order(self._next_order())
            if self._rng.random() < CONFLICT_SHARE:
                self._start_order(self._create_order(self._version))
        if self._open_orders:
            await asyncio.wait(self._open_orders, timeout=ORDER_DEADLINE_S)

    def _lower_limit(self) -> None:
        tenant = self._rng.choice(TENANTS[:3])
        rate_per_s, burst = self._state.limits[tenant.name]
        lower = rate_per_s - tenant.rate_per_s * MAX_RATE_STEP_SHARE * self._rng.uniform(0.2, 1.0)
        is_low = lower < MIN_RATE_SHARE * tenant.rate_per_s
        self._state.limits[tenant.name] = (tenant.rate_per_s if is_low else lower, burst)

    def _restore_limit(self) -> None:
        tenant = self._rng.choice(TENANTS[:3])
        self._state.limits[tenant.name] = (tenant.rate_per_s, tenant.burst_size)

    def _change_tenants(self) -> None:
        self._state.extra_tenants = self._rng.randrange(MAX_EXTRA_TENANTS)

    def _change_routes(self) -> None:
        self._state.extra_routes = self._rng.randrange(MAX_EXTRA_ROUTES)

    def _change_homes(self) -> None:
        tenant = self._rng.choice(TENANTS[:3])
        self._state.homes[tenant.name] = self._rng.choice([[], *([region] for region in set(REGION_BY_ZONE.values()))])

    # -- orders --------------------------------------------------------------------------------------------

    def _next_order(self) -> Order:
        self._version += self._rng.randint(1, MAX_VERSION_STEP)
        return self._create_order(self._version)

    def _create_order(self, version: int) -> Order:
        """Record and return an order with unique content."""
        self._content_serial += 1
        order = Order(version, self._state.body(version, self._content_serial), asyncio.get_running_loop().time())
        self._history.orders.append(order)
        return order

    def _start_order(self, order: Order) -> None:
        node = self._rng.choice(self._layout.disk_nodes)
        task = asyncio.get_running_loop().create_task(self._send(order, node))
        self._open_orders.add(task)
        task.add_done_callback(self._open_orders.discard)

    async def _send(self, order: Order, node: NodeSpec) -> None:
        """Send an order, with retries at random nodes until its answer is conclusive or its deadline passes."""
        data = encode_message("POST /config/replace HTTP/1.1", {"Host": "operator"}, order.body)
        loop = asyncio.get_running_loop()
        while loop.time() < order.sent_at + ORDER_DEADLINE_S:
            answer = await self._call(node.host, data)
            if answer is not None and _is_conclusive(answer.status):
                order.status = answer.status
                order.ended_at = loop.time()
                return
            await asyncio.sleep(RETRY_DELAY_S)
            node = self._rng.choice(self._layout.disk_nodes)

    async def _call(self, host: str, data: bytes) -> Message | None:
        try:
            answer = await exchange(host, CONTROL_PORT, data, ORDER_TIMEOUT_S)
            if answer.status == STATUS_REDIRECT:
                other_host = answer.headers.get("location", "").removeprefix("http://").partition(":")[0]
                answer = await exchange(other_host, CONTROL_PORT, data, ORDER_TIMEOUT_S)
        except NO_ANSWER_ERRORS:
            return None
        return answer

    # -- read back -----------------------------------------------------------------------------------------

    async def read_back(self) -> None:
        """Read the configuration at each control node, with up to `READ_BACK_ATTEMPTS` attempts per node."""
        data = encode_message("GET /config/read HTTP/1.1", {"Host": "operator"})
        for node in self._layout.disk_nodes:
            answer = None
            for _ in range(READ_BACK_ATTEMPTS):
                answer = await self._call(node.host, data)
                if answer is not None and answer.status < MIN_SERVER_ERROR:
                    break
                await asyncio.sleep(RETRY_DELAY_S)
            read = ReadBack(node.name, answer.status if answer else 0, answer.body if answer else b"")
            self._history.read_backs.append(read)


def _is_conclusive(status: int) -> bool:
    """Return whether the status is final, so that a retry at another node could not change it."""
    return status < MIN_SERVER_ERROR and status not in INCONCLUSIVE_STATUSES and status != STATUS_REDIRECT
