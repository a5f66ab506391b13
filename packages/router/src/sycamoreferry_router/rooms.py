"""Give requests room at targets, in turn among their callers."""

import asyncio
import collections
import dataclasses
import random

from sycamoreferry_core import (
    clock,
    fair_queue,
    ids,
    limits,
    outcomes,
    profiles,
    result_codes,
)
from sycamoreferry_ports import headers
from sycamoreferry_router import messages, target_book, view
from sycamoreferry_router.filters import select

# A request waits for room at most for this share of what remains to it.
WAIT_SHARE = 0.1
# Callers that are refused together come back at different times.
RETRY_AFTER_MS = 1000
RETRY_SPREAD_MS = 2000

_Pool = tuple[ids.ServiceName, ids.ServerId]
_NO_SERVER = ids.ServerId('')


@dataclasses.dataclass(frozen=True, eq=False, slots=True)
class Asking:
    """Hold a request that waits for room."""

    resolved: messages.Resolved
    tried: frozenset[ids.ServerId]
    granted: asyncio.Future[messages.Selected | None]


@dataclasses.dataclass(slots=True)
class Line:
    """Hold who waits for the targets of one pool."""

    queue: fair_queue.FairQueue[Asking] = dataclasses.field(
        default_factory=fair_queue.FairQueue,
    )
    pace: fair_queue.Pace = fair_queue.Pace()


class Rooms:
    """Let requests out while targets have room; queue and refuse others."""

    def __init__(
        self,
        seen: view.InstanceView,
        timer: clock.Clock,
        selector: select.Selector,
        chance: random.Random,
    ) -> None:
        self._view = seen
        self._clock = timer
        self._selector = selector
        self._chance = chance
        self._books: collections.defaultdict[
            ids.ServiceName,
            target_book.ServiceBook,
        ] = collections.defaultdict(target_book.ServiceBook)
        self._lines: collections.defaultdict[_Pool, Line] = (
            collections.defaultdict(Line)
        )

    async def take(
        self,
        resolved: messages.Resolved,
        tried: frozenset[ids.ServerId],
    ) -> messages.Selected | outcomes.NotRun:
        """Return the request with a server that has room, or a refusal."""
        line = self._lines[_pool(resolved)]
        if not line.queue:
            selected = self._select(resolved, tried)
            if selected is not None:
                return selected
        return await self._wait(line, resolved, tried)

    def leave(self, selected: messages.Selected) -> None:
        """Give the room back to whoever waits for it."""
        self._give_back(selected)
        line = self._lines[_pool_of(selected)]
        busy = bool(line.queue)
        line.pace = line.pace.after_answer(self._clock.now(), busy=busy)
        if busy:
            self._serve_line(line)

    def learn(
        self,
        selected: messages.Selected,
        outcome: outcomes.Outcome,
        sent_at: clock.Millis,
    ) -> None:
        """Take what an outcome says about the server that it came from."""
        now = self._clock.now()
        service = selected.identified.service
        most = self._limits(selected.identified).connections_per_target
        instances = len(self._view.log_state.instances)
        self._books[service.service_name].learn(
            outcome,
            now - sent_at,
            limits.share_of(most, instances),
            now,
        )

    def _give_back(self, selected: messages.Selected) -> None:
        service = selected.identified.service.service_name
        self._books[service].leave(selected.server.server)

    def _limits(self, identified: messages.Identified) -> profiles.Limits:
        return self._view.profile(identified.service.profile).limits

    def _select(
        self,
        resolved: messages.Resolved,
        tried: frozenset[ids.ServerId],
    ) -> messages.Selected | None:
        book = self._books[resolved.identified.service.service_name]
        now = self._clock.now()
        selected = self._selector.select(resolved, tried, book, now)
        if selected is not None:
            book.enter(selected.server.server)
        return selected

    async def _wait(
        self,
        line: Line,
        resolved: messages.Resolved,
        tried: frozenset[ids.ServerId],
    ) -> messages.Selected | outcomes.NotRun:
        identified = resolved.identified
        remaining = identified.deadline - self._clock.now()
        asking = Asking(resolved, tried, _new_future())
        waiting = fair_queue.Waiting(
            asking,
            _caller(identified),
            identified.deadline,
        )
        longest = remaining * WAIT_SHARE
        capacity = line.pace.capacity(
            longest,
            self._limits(identified).queue_length,
        )
        dropped = line.queue.push(waiting, capacity)
        if dropped is not None:
            _grant(dropped.entry, None)
        try:
            async with asyncio.timeout(longest / clock.MILLIS_PER_SECOND):
                selected = await asking.granted
        except BaseException as error:
            self._withdraw(line, waiting)
            if not isinstance(error, TimeoutError):
                raise
            return self._overloaded()
        return selected or self._overloaded()

    def _withdraw(
        self,
        line: Line,
        waiting: fair_queue.Waiting[Asking],
    ) -> None:
        line.queue.remove(waiting)
        granted = waiting.entry.granted
        # The room may have been given in the moment that the caller left.
        if granted.done() and not granted.cancelled():
            selected = granted.result()
            if selected is not None:
                self.leave(selected)

    def _overloaded(self) -> outcomes.NotRun:
        spread = int(self._chance.random() * RETRY_SPREAD_MS)
        return outcomes.NotRun(
            result_codes.ResultCode.OVERLOADED,
            RETRY_AFTER_MS + spread,
        )

    def _serve_line(self, line: Line) -> None:
        while line.queue:
            first = line.queue.peek()
            if first is None:
                return
            asking = first.entry
            selected = self._select(asking.resolved, asking.tried)
            if selected is None:
                return
            line.queue.pop()
            if not _grant(asking, selected):
                self._give_back(selected)


def _grant(asking: Asking, selected: messages.Selected | None) -> bool:
    if asking.granted.done():
        return False
    asking.granted.set_result(selected)
    return True


def _new_future() -> asyncio.Future[messages.Selected | None]:
    return asyncio.get_running_loop().create_future()


def _caller(identified: messages.Identified) -> ids.CallerId:
    named = identified.incoming.headers.get(headers.CALLER, '')
    return ids.CallerId(named)


def _pool(resolved: messages.Resolved) -> _Pool:
    identified = resolved.identified
    server = _NO_SERVER
    if identified.shard is not None:
        server = resolved.candidates[0].server
    return identified.service.service_name, server


def _pool_of(selected: messages.Selected) -> _Pool:
    identified = selected.identified
    server = _NO_SERVER
    if identified.shard is not None:
        server = selected.server.server
    return identified.service.service_name, server
