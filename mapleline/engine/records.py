"""The engine's records of open requests, attempts, counter calls and timers of the decision module.

Each has `is_finished`; the timer queue ignores the entries of finished records.
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
    """A request that has no final answer yet, or that still has attempts in flight.

    Attributes:
        id: Its number, unique among the open requests.
        request_class: Its class in the settings.
        payload: The request to send upstream; the engine does not read it.
        answerer: Receives the final answer.
        deadline_ns: The time at which the request fails if it has no answer.
        attempts_sent: How many attempts have been made, which is also the next attempt's number.
        may_have_run: Whether some server may have executed it.
        is_answered: Whether its final answer has been sent, or no answer is needed any more.
        is_streaming: Whether its answer is being streamed to the client; the deadline no longer applies.
        is_body_released: Set by the driver: a part of the body has been sent and freed, so no further attempt
            can send it.
        attempts: The attempts in flight, by number.
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
        """Whether the request is answered and no attempt is in flight."""
        return self.is_answered and not self.attempts


@dataclass(slots=True, eq=False)
class Attempt:
    """One copy of a request, sent to one server.

    Attributes:
        request: The request that it belongs to.
        number: Its number, counted from 0 for each request.
        server: The server's number.
        sent_ns: When it was sent; the driver updates it when the last byte of a streamed body has been sent.
        payload: The request to send upstream.
        is_finished: Whether its outcome is known.
        connection: The driver's connection; the engine does not use it.
        time_to_first_byte_ns: The time from `sent_ns` to the start of a streamed answer; 0 without one.
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
        name: The counter to add to.
        amount: How many units to add.
        ttl_ns: How long the counter keeps its value after this call.
        created_ns: When the decision module requested the call.
        is_written: Set by the driver when it writes the call; before that the call cannot have added anything.
        outcome: How the call ended; None while it is in flight.
    """

    name: int
    amount: float
    ttl_ns: int
    created_ns: int
    is_written: bool = False
    outcome: Counted | None = None

    @property
    def is_finished(self) -> bool:
        """Whether the call's outcome is known."""
        return self.outcome is not None


@dataclass(slots=True, eq=False)
class ModuleTimer:
    """A timer that the decision module has set.

    Attributes:
        token: Identifies the timer to the module.
        request: If given, the timer is ignored once this request is answered.
    """

    token: int
    request: OpenRequest | None

    @property
    def is_finished(self) -> bool:
        """Whether the timer can be ignored, since its request is answered."""
        return self.request is not None and self.request.is_answered


#: The records that a timer can be set for.
Expiring = ModuleTimer | OpenRequest | Attempt | CounterCall
