"""Decide the order of the requests and answers of one connection.

Load pattern: a caller sends further requests before it has read the answers to
earlier ones. Idempotent requests run side by side, since one after the other
they would use up each other's time. Any other request runs alone, so that none
behind it has run if its answer closes the connection.
"""

import asyncio
import collections
import dataclasses
import itertools
import typing

from sycamoreferry_gateway import caller_messages

# At most so many requests of a connection run or wait for earlier answers.
_MAX_REQUESTS = 16
# While finished answers that wait for earlier ones take more memory than this,
# no further request starts behind them.
_MAX_HELD_BYTES = 1_048_576
# What the task and the attempts of a request take beside its bytes.
_EXCHANGE_BYTES = 4_096


@dataclasses.dataclass(slots=True, eq=False)
class Exchange:
    """Hold a request and, once it has ended, its answer."""

    request: caller_messages.CallerRequest
    is_idempotent: bool
    # About how much memory the request takes, without copies.
    request_bytes: int
    # The task that runs it, once it has started.
    task: asyncio.Task[None] | None = None
    is_started: bool = False
    answer: caller_messages.CallerAnswer | None = None

    @property
    def held_bytes(self) -> int:
        """Return about how much memory the request and its answer take."""
        answer_bytes = 0 if self.answer is None else len(self.answer.body)
        return self.request_bytes + self.request.copied_bytes + answer_bytes

    def refuse(self, answer: caller_messages.CallerAnswer) -> None:
        """Answer the request in place of its task, and free its bytes."""
        self.answer = answer
        # Its task is stopped later, after further bytes have been received.
        self.request.refuse()
        self.request = dataclasses.replace(
            self.request, target='', headers=[], head_bytes=0
        )
        self.request_bytes = _EXCHANGE_BYTES
        if self.task is not None:
            self.task.cancel()


class RequestPipeline:
    """Hold the unanswered requests of a connection in their order."""

    def __init__(self) -> None:
        self._exchanges: collections.deque[Exchange] = collections.deque()

    def __len__(self) -> int:
        """Return how many requests are not answered yet."""
        return len(self._exchanges)

    @property
    def is_full(self) -> bool:
        """Tell whether no further request may be read."""
        return len(self._exchanges) >= _MAX_REQUESTS

    @property
    def held_bytes(self) -> int:
        """Return the size of the answers that wait for earlier ones."""
        return sum(
            len(exchange.answer.body)
            for exchange in self._exchanges
            if exchange.answer is not None
        )

    @property
    def parted_bytes(self) -> tuple[int, int]:
        """Return the size of requests that were sent on, and of the others."""
        sent_on = 0
        waiting = 0
        for exchange in self._exchanges:
            if exchange.request.was_forwarded:
                sent_on += exchange.held_bytes
            else:
                waiting += exchange.held_bytes
        return sent_on, waiting

    def refuse(
        self, answer: caller_messages.CallerAnswer, *, closes: bool
    ) -> None:
        """Answer the requests that were not sent on, and stop their tasks."""
        for exchange in self._exchanges:
            if exchange.answer is None and not exchange.request.was_forwarded:
                exchange.refuse(answer)
        if closes and self._exchanges:
            self._exchanges[-1].request.keep_alive = False

    def clear(self) -> None:
        """Discard all requests."""
        self._exchanges.clear()

    def append(
        self,
        request: caller_messages.CallerRequest,
        *,
        is_idempotent: bool,
    ) -> None:
        """Add the request that was read last."""
        size = _EXCHANGE_BYTES + request.held_bytes
        self._exchanges.append(Exchange(request, is_idempotent, size))

    def take_startable(self) -> list[Exchange]:
        """Return the requests that may start now, and mark them as started."""
        startable = list(self._startable())
        for exchange in startable:
            exchange.is_started = True
        return startable

    def take_answered(self) -> Exchange | None:
        """Remove and return the first request, if it has an answer."""
        if self._exchanges and self._exchanges[0].answer is not None:
            return self._exchanges.popleft()
        return None

    def _startable(self) -> typing.Iterator[Exchange]:
        has_room = self.held_bytes < _MAX_HELD_BYTES
        unfinished = [
            exchange
            for exchange in itertools.islice(self._exchanges, _MAX_REQUESTS)
            if exchange.answer is None
        ]
        for exchange in unfinished:
            is_beside_others = exchange.is_idempotent and has_room
            if not (exchange is unfinished[0] or is_beside_others):
                return
            if not exchange.is_started:
                yield exchange
            if not exchange.is_idempotent:
                return
