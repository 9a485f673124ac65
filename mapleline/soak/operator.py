"""The operator of a soak: changes in series that overlap, rivals, and the reads at the end."""

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
ORDER_GIVEN_UP_AFTER_S = 20.0
RETRY_PAUSE_S = 0.2
REDIRECT = 307
UNCLEAR_STATUSES = frozenset({408, 429})
SERVER_ERROR = 500
RIVAL_SHARE = 0.1
MAX_VERSION_STEP = 3
RATE_STEP = 0.02
"""By which share of its first rate a limit is lowered at most, each time to one that the tenant never had."""
MIN_RATE_SHARE = 0.7
MAX_EXTRA_TENANTS = 60
MAX_EXTRA_ROUTES = 12
READ_BACK_TRIES = 40


class SoakOperator:
    """Sends configurations to random control nodes."""

    def __init__(self, layout: FleetLayout, history: SoakHistory, rng: random.Random) -> None:
        """Start with the first limits and version 0, of which nothing was sent."""
        self._layout = layout
        self._history = history
        self._rng = rng
        self._state = ConfigurationState()
        self._version = 0
        self._serial = 0
        self._open: set[asyncio.Task[None]] = set()
        history.limits.update(self._state.limits)

    # -- changes -------------------------------------------------------------------------------------------

    async def put_first(self) -> None:
        """Send the first configuration until it is acknowledged."""
        await self._send(self._next_order(), self._rng.choice(self._layout.disk_nodes))

    async def run(self, duration_s: float, period_s: float, changes: list[str]) -> None:
        """Send a change each period, whatever has become of earlier ones; `changes` names the kinds."""
        kinds: dict[str, Callable[[], None]] = {
            "limits": self._lower_a_limit,
            "limits back": self._restore_a_limit,
            "tenants": self._change_tenants,
            "routes": self._change_routes,
            "homes": self._change_homes,
        }
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + duration_s
        while loop.time() < ends_at:
            await asyncio.sleep(period_s * self._rng.uniform(0.7, 1.3))
            if len(self._open) >= MAX_OPEN_ORDERS:
                continue
            kinds[self._rng.choice(changes)]()
            self._spawn(self._next_order())
            if self._rng.random() < RIVAL_SHARE:
                self._spawn(self._order(self._version))
        if self._open:
            await asyncio.wait(self._open, timeout=ORDER_GIVEN_UP_AFTER_S)

    def _lower_a_limit(self) -> None:
        tenant = self._rng.choice(TENANTS[:3])
        rate_per_s, burst = self._state.limits[tenant.name]
        lower = rate_per_s - tenant.rate_per_s * RATE_STEP * self._rng.uniform(0.2, 1.0)
        is_low = lower < MIN_RATE_SHARE * tenant.rate_per_s
        self._state.limits[tenant.name] = (tenant.rate_per_s if is_low else lower, burst)

    def _restore_a_limit(self) -> None:
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
        return self._order(self._version)

    def _order(self, version: int) -> Order:
        """Return an order with a content that no other has."""
        self._serial += 1
        order = Order(version, self._state.body(version, self._serial), asyncio.get_running_loop().time())
        self._history.orders.append(order)
        return order

    def _spawn(self, order: Order) -> None:
        node = self._rng.choice(self._layout.disk_nodes)
        task = asyncio.get_running_loop().create_task(self._send(order, node))
        self._open.add(task)
        task.add_done_callback(self._open.discard)

    async def _send(self, order: Order, node: NodeSpec) -> None:
        """Send an order until its answer is clear, from one node to the next."""
        data = encode_message("POST /config/replace HTTP/1.1", {"Host": "operator"}, order.body)
        loop = asyncio.get_running_loop()
        while loop.time() < order.sent_at + ORDER_GIVEN_UP_AFTER_S:
            answer = await self._call(node.host, data)
            if answer is not None and _is_clear(answer.status):
                order.status = answer.status
                order.ended_at = loop.time()
                return
            await asyncio.sleep(RETRY_PAUSE_S)
            node = self._rng.choice(self._layout.disk_nodes)

    async def _call(self, host: str, data: bytes) -> Message | None:
        try:
            answer = await exchange(host, CONTROL_PORT, data, ORDER_TIMEOUT_S)
            if answer.status == REDIRECT:
                other_host = answer.headers.get("location", "").removeprefix("http://").partition(":")[0]
                answer = await exchange(other_host, CONTROL_PORT, data, ORDER_TIMEOUT_S)
        except NO_ANSWER_ERRORS:
            return None
        return answer

    # -- the end -------------------------------------------------------------------------------------------

    async def read_back(self) -> None:
        """Read the configuration at each control node, until it answers."""
        data = encode_message("GET /config/read HTTP/1.1", {"Host": "operator"})
        for node in self._layout.disk_nodes:
            answer = None
            for _ in range(READ_BACK_TRIES):
                answer = await self._call(node.host, data)
                if answer is not None and answer.status < SERVER_ERROR:
                    break
                await asyncio.sleep(RETRY_PAUSE_S)
            read = ReadBack(node.name, answer.status if answer else 0, answer.body if answer else b"")
            self._history.read_backs.append(read)


def _is_clear(status: int) -> bool:
    """Return whether no other node would answer otherwise."""
    return status < SERVER_ERROR and status not in UNCLEAR_STATUSES and status != REDIRECT
