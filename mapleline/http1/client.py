"""A connection to an agenda server, the counter or discovery, as a state machine."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

from ..telemetry import invariant
from .buffers import BufferPool
from .messages import Malformed, MessageReader, Response


class ClientConnection:
    """Calls in the order they were written, each with the tag that its caller gave it.

    What cannot be read, or belongs to no call, ends the use of the connection and nothing else: the answers
    before it are good and are given, what is behind it is never read.
    """

    __slots__ = ("_belongs", "_keep", "_reader", "calls", "cut", "reusable", "spoilt", "strays")

    def __init__(
        self, pool: BufferPool, gather: int = 0, belongs: Callable[[Any, Response], bool] | None = None
    ) -> None:
        """With `gather`, larger bodies are passed on as they come: see `MessageReader`.  An answer that by
        `belongs` is not that of the oldest call is passed over; the connection then ends with the call's own.
        """
        self._belongs = belongs
        self.strays = 0  #: answers passed over
        self._reader = MessageReader(pool, gather, eager=True)
        self.cut = False  #: the answer that was being passed on cannot be read to its end
        self._keep = True  # the connection outlives the answer that is being passed on
        self.calls: deque[Any] = deque()  #: tags of the calls unanswered
        self.reusable = True
        self.spoilt = ""  #: why, once something has come that no call's answer can begin with

    def called(self, tag: Any) -> None:
        invariant(self.reusable, "call.on_a_used_up_connection")
        self.calls.append(tag)

    def receive(self, data: bytes) -> list[tuple[Any, Response]]:
        """The answers that are whole now, with their tags."""
        if not self.reusable:
            return []  # behind the last answer, or what was spoilt: it belongs to nobody
        self._reader.feed(data)
        return self._answers(False)

    @property
    def passing(self) -> bool:
        """The last answer given has more to come."""
        return self._reader.passing

    def pass_on(self, data: bytes) -> bytes:
        """More of the answer that is being passed on; `passing` is False once that was the last of it."""
        self._reader.feed(data)
        try:
            part = self._reader.next_part()
        except Malformed as err:
            self.spoilt, self.cut = err.why, True
            self._give_up()
            return b""
        if not self._reader.passing:
            if self._reader.waiting:
                self.spoilt = "more than was asked for"
            if self.spoilt or not self._keep:
                self._give_up()
        return part

    def ended_passing(self, clean: bool) -> bool:
        """The connection is gone: whether the answer that is being passed on is whole by that."""
        whole = clean and self._reader.end()
        self._give_up()
        return whole

    def ended(self, clean: bool) -> list[tuple[Any, Response]]:
        """The connection is gone: an answer that only its clean end could end, if there is one.

        After a reset, or an end of our own making, what lies here is a part of an answer and never one.
        """
        found = self._answers(True) if clean and self.reusable else []
        self._give_up()
        return found

    def _answers(self, ended: bool) -> list[tuple[Any, Response]]:
        found = []
        try:
            while self.reusable and self._reader.waiting:
                if not self.calls:
                    raise Malformed(400, "more than was asked for")
                response = self._reader.next_response(ended)
                if response is None:
                    break
                if self._belongs is not None and not self._belongs(self.calls[0], response):
                    self.strays += 1
                    if response.more or not response.keep_alive or self.strays > 1:
                        raise Malformed(400, "another call's answer")
                    continue
                found.append((self.calls.popleft(), response))
                if response.more:
                    self._keep = response.keep_alive
                    break
                if not response.keep_alive or self.strays:
                    self._give_up()
        except Malformed as err:
            self.spoilt = err.why
            self._give_up()
        return found

    def _give_up(self) -> None:
        self.reusable = False
        self._reader.clear()
