"""Dispatch requests to targets with capacity, fairly across callers."""

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
from sycamoreferry_router import messages, target_stats, time_limits, view
from sycamoreferry_router.filters import select

# Longest time in the queue, as a fraction of the time to the deadline.
MAX_WAIT_FRACTION = 0.1
# Random jitter keeps callers rejected together from retrying together.
RETRY_AFTER_MS = 1000
RETRY_JITTER_MS = 2000

_Pool = tuple[ids.ServiceName, ids.ServerId]
_NO_SERVER = ids.ServerId('')


@dataclasses.dataclass(frozen=True, eq=False, slots=True)
class QueuedRequest:
    """Hold a request that waits for a target with capacity."""

    resolved: messages.Resolved
    tried: frozenset[ids.ServerId]
    selection: asyncio.Future[messages.Selected | None]


@dataclasses.dataclass(slots=True)
class PoolQueue:
    """Hold the requests that wait for a target of one pool."""

    queue: fair_queue.FairQueue[QueuedRequest] = dataclasses.field(
        default_factory=fair_queue.FairQueue,
    )
    pace: fair_queue.AnswerInterval = fair_queue.AnswerInterval()


class TargetDispatcher:
    """Dispatch requests up to the targets' limits; queue or reject the rest."""

    def __init__(
        self,
        instance_view: view.InstanceView,
        time_source: clock.Clock,
        selector: select.Selector,
        rng: random.Random,
        limiter: time_limits.TimeLimits,
    ) -> None:
        self._view = instance_view
        self._time_limits = limiter
        self._clock = time_source
        self._selector = selector
        self._rng = rng
        self._stats_by_service: collections.defaultdict[
            ids.ServiceName,
            target_stats.ServiceStats,
        ] = collections.defaultdict(target_stats.ServiceStats)
        self._pool_queues: collections.defaultdict[_Pool, PoolQueue] = (
            collections.defaultdict(PoolQueue)
        )

    async def acquire(
        self,
        resolved: messages.Resolved,
        tried: frozenset[ids.ServerId],
    ) -> messages.Selected | outcomes.NotRun:
        """Return the request with a server that has capacity, or NotRun."""
        pool_queue = self._pool_queues[_pool(resolved)]
        if not pool_queue.queue:
            selected = self._select(resolved, tried)
            if selected is not None:
                return selected
        return await self._wait(pool_queue, resolved, tried)

    def release(self, selected: messages.Selected) -> None:
        """Free the slot of a request and dispatch queued requests."""
        self._release_slot(selected)
        pool_queue = self._pool_queues[_pool_of(selected)]
        busy = bool(pool_queue.queue)
        pool_queue.pace = pool_queue.pace.after_answer(
            self._clock.now(), busy=busy
        )
        if busy:
            self._dispatch_queued(pool_queue)

    def record_outcome(
        self,
        selected: messages.Selected,
        outcome: outcomes.Outcome,
        sent_at: clock.Millis,
    ) -> None:
        """Update the statistics of the server that produced the outcome."""
        now = self._clock.now()
        service = selected.identified.service
        max_connections = self._limits(
            selected.identified
        ).connections_per_target
        instances = len(self._view.log_state.instances)
        self._stats_by_service[service.service_name].record_outcome(
            outcome,
            now - sent_at,
            limits.slots_per_instance(max_connections, instances),
            now,
        )

    def _release_slot(self, selected: messages.Selected) -> None:
        service = selected.identified.service.service_name
        self._stats_by_service[service].request_finished(selected.server.server)

    def _limits(self, identified: messages.Identified) -> profiles.Limits:
        return self._view.profile(identified.service.profile).limits

    def _select(
        self,
        resolved: messages.Resolved,
        tried: frozenset[ids.ServerId],
    ) -> messages.Selected | None:
        stats = self._stats_by_service[resolved.identified.service.service_name]
        now = self._clock.now()
        selected = self._selector.select(resolved, tried, stats, now)
        if selected is not None:
            stats.request_started(selected.server.server)
        return selected

    async def _wait(
        self,
        pool_queue: PoolQueue,
        resolved: messages.Resolved,
        tried: frozenset[ids.ServerId],
    ) -> messages.Selected | outcomes.NotRun:
        identified = resolved.identified
        remaining = identified.deadline - self._clock.now()
        request = QueuedRequest(resolved, tried, _new_future())
        waiting = fair_queue.QueuedEntry(
            request,
            _caller(identified),
            identified.deadline,
        )
        max_wait_ms = remaining * MAX_WAIT_FRACTION
        capacity = pool_queue.pace.capacity(
            max_wait_ms,
            self._limits(identified).queue_length,
        )
        dropped = pool_queue.queue.push(waiting, capacity)
        if dropped is not None:
            _grant(dropped.entry, None)
        try:
            async with self._time_limits.limit(
                max_wait_ms / clock.MILLIS_PER_SECOND,
                MAX_WAIT_FRACTION,
            ):
                selected = await request.selection
        except BaseException as error:
            self._withdraw(pool_queue, waiting)
            if not isinstance(error, TimeoutError):
                raise
            return self._overloaded()
        return selected or self._overloaded()

    def _withdraw(
        self,
        pool_queue: PoolQueue,
        waiting: fair_queue.QueuedEntry[QueuedRequest],
    ) -> None:
        pool_queue.queue.remove(waiting)
        selection = waiting.entry.selection
        # The slot may have been granted just as the caller disconnected.
        if selection.done() and not selection.cancelled():
            selected = selection.result()
            if selected is not None:
                self.release(selected)

    def _overloaded(self) -> outcomes.NotRun:
        jitter = int(self._rng.random() * RETRY_JITTER_MS)
        code = result_codes.ResultCode.OVERLOADED
        if self._time_limits.is_shutting_down:
            code = result_codes.ResultCode.LEAVING
        return outcomes.NotRun(code, RETRY_AFTER_MS + jitter)

    def _dispatch_queued(self, pool_queue: PoolQueue) -> None:
        while pool_queue.queue:
            first = pool_queue.queue.peek()
            if first is None:
                return
            request = first.entry
            selected = self._select(request.resolved, request.tried)
            if selected is None:
                return
            pool_queue.queue.pop()
            if not _grant(request, selected):
                self._release_slot(selected)


def _grant(request: QueuedRequest, selected: messages.Selected | None) -> bool:
    if request.selection.done():
        return False
    request.selection.set_result(selected)
    return True


def _new_future() -> asyncio.Future[messages.Selected | None]:
    return asyncio.get_running_loop().create_future()


def _caller(identified: messages.Identified) -> ids.CallerId:
    caller = identified.incoming.headers.get(headers.CALLER, '')
    return ids.CallerId(caller)


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
