"""What the engine keeps of each open request, attempt, counter call and timer of the decision module.

Each has `is_finished`: its entry in the timer queue is void from then on.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from ..http1.translator import TranslatedRequest
    from ..policy.interface import Counted, RequestClass
    from .drivers import Answerer


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request that is owed its final answer, or that still has attempts in flight.

    Attributes:
        id: its number, unique among the open ones.
        request_class: its class in the settings.
        payload: what is sent upstream; the engine never looks into it.
        answerer: receives the final answer.
        deadline_ns: when it fails if there is no answer.
        attempts_sent: how many attempts have been made, which is also the next attempt's number.
        may_have_run: whether some server may have executed it.
        is_answered: whether its final answer has been given, or nobody waits for one.
        is_streaming: its answer is on its way to the client; no deadline cuts it off.
        is_body_released: set by the driver: a part of the body has been sent and freed, so no further attempt
            can send it.
        attempts: the attempts in flight, by number.
    """

    id: int
    request_class: RequestClass
    payload: TranslatedRequest
    answerer: Answerer
    deadline_ns: int
    attempts_sent: int = 0
    may_have_run: bool = False
    is_answered: bool = False
    is_streaming: bool = False
    is_body_released: bool = False
    attempts: dict[int, Attempt] = field(default_factory=dict)

    @property
    def is_finished(self) -> bool:
        """Whether it is answered and no attempt is in flight."""
        return self.is_answered and not self.attempts


@dataclass(slots=True, eq=False)
class Attempt:
    """One copy of a request, sent to one server.

    Attributes:
        request: the request it belongs to.
        number: counts the request's attempts from 0.
        server: the server's number.
        sent_ns: when it was sent; the driver sets it anew when the last byte of a streamed body has gone out.
        payload: what is sent upstream.
        is_finished: whether its outcome is known.
        connection: the driver's own; the engine never looks at it.
        time_to_first_byte_ns: from `sent_ns` to the start of a streamed answer; 0 without one.
    """

    request: OpenRequest
    number: int
    server: int
    sent_ns: int
    payload: TranslatedRequest
    is_finished: bool = False
    connection: Any = None
    time_to_first_byte_ns: int = 0


@dataclass(slots=True, eq=False)
class CounterCall:
    """One call to the quota counter.

    Attributes:
        name: the counter to add to.
        amount: how much to add.
        ttl_ns: how long the counter keeps its value after this call.
        created_ns: when the module asked for it.
        is_written: set by the driver; before that the call cannot have added anything.
        outcome: how it ended, once that is known.
    """

    name: int
    amount: float
    ttl_ns: int
    created_ns: int
    is_written: bool = False
    outcome: Counted | None = None

    @property
    def is_finished(self) -> bool:
        """Whether its outcome is known."""
        return self.outcome is not None


@dataclass(slots=True, eq=False)
class ModuleTimer:
    """A timer that the decision module has set.

    Attributes:
        token: identifies the timer to the module.
        request: where there is one, the timer is void once this request is answered.
    """

    token: int
    request: OpenRequest | None

    @property
    def is_finished(self) -> bool:
        """Whether nobody waits for it any more."""
        return self.request is not None and self.request.is_answered


#: What can run out of time.
Expiring = ModuleTimer | OpenRequest | Attempt | CounterCall
