"""Assign each request to a backend server with capacity, or reject it."""

import asyncio
import dataclasses
import random

from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import servers
from sycamoreferry_core.traffic import queueing, server_load
from sycamoreferry_gateway import (
    backlogs,
    permit_client,
    server_selector,
    view,
)

# Capacity can become free without an event here, such as when a reported load
# expires, so waiting requests are also retried at this interval.
_RETRY_INTERVAL_MS = 20
_MAX_WAITING = 600


@dataclasses.dataclass(slots=True, eq=False)
class _QueuedRequest:
    request: queueing.QueuedRequest
    # None if the request needs a permit, since a server has named a limit.
    result: asyncio.Future[permit_client.Placement | None]


class Dispatcher:
    """Queue requests and assign them to servers with free capacity."""

    def __init__(
        self,
        cluster_view: view.View,
        loads: server_load.ServerLoads,
    ) -> None:
        self._view = cluster_view
        self._loads = loads
        self._queues: dict[ids.ServiceName, list[_QueuedRequest]] = {}
        self._is_scheduled = False
        # Set while requests may be waiting.
        self._has_waiting = asyncio.Event()
        self._random = random.Random()
        self._backlogs = backlogs.BacklogEstimator(
            cluster_view, loads, self._random
        )
        self._selector = server_selector.ServerSelector(
            cluster_view, loads, self._backlogs, self._random
        )
        self.permits = permit_client.PermitClient(
            cluster_view,
            loads,
            self._backlogs,
            cluster_view.log,
        )

    @property
    def waiting_count(self) -> int:
        """Return how many requests are waiting on this instance."""
        queued_count = sum(len(rows) for rows in self._queues.values())
        return queued_count + self.permits.waiting_count

    async def acquire(
        self,
        request: queueing.QueuedRequest,
    ) -> servers.BackendServer | backlogs.Rejection:
        """Wait for a server with capacity; the request counts in its load.

        The caller must release the server when the request has ended.
        """
        # After a suspension, what was read of the store may be outdated.
        await self._view.evacuations.wait_until_current()
        found = None
        if not self.permits.is_needed(request):
            found = await self._acquire_directly(request)
        return found or await self._acquire_by_permit(request)

    def release(
        self,
        request: queueing.QueuedRequest,
        server: ids.ServerId,
        *,
        has_answered: bool | None = None,
    ) -> None:
        """Release the capacity of a request that has ended."""
        self._loads.finish(server)
        self.permits.release(request, server, has_answered=has_answered)
        self.schedule_placement()

    def schedule_placement(self) -> None:
        """Schedule one placement run, however many changes precede it."""
        if self._is_scheduled or not self._queues:
            return
        self._is_scheduled = True
        asyncio.get_running_loop().call_soon(self.place_waiting)

    async def tick_forever(self) -> None:
        """Retry waiting requests and reject those past their latest start."""
        while True:
            await self._has_waiting.wait()
            await asyncio.sleep(clock.seconds(_RETRY_INTERVAL_MS))
            if self._queues:
                self.place_waiting()
            else:
                self._has_waiting.clear()

    def place_waiting(self) -> None:
        """Assign waiting requests in order while there is capacity."""
        self._is_scheduled = False
        now = self._view.clock.now()
        for service, queue in list(self._queues.items()):
            self._place_service(service, queue, now)
        self._report_waiting()

    async def _acquire_directly(
        self,
        request: queueing.QueuedRequest,
    ) -> permit_client.Placement | None:
        queue = self._queues.get(request.service)
        if not queue:
            server = self._place(request)
            if server is not None:
                return server
        rejected = self._reject_on_arrival(request)
        if rejected is not None:
            return rejected
        queued = _QueuedRequest(
            request, asyncio.get_running_loop().create_future()
        )
        self._queues.setdefault(request.service, []).append(queued)
        self._has_waiting.set()
        if queue:
            self.place_waiting()
        try:
            return await queued.result
        except asyncio.CancelledError:
            self._withdraw(queued)
            raise

    async def _acquire_by_permit(
        self,
        request: queueing.QueuedRequest,
    ) -> permit_client.Placement:
        if self.waiting_count >= _MAX_WAITING:
            return self._backlogs.rejection(request, 0)
        found = await self.permits.acquire(request)
        if isinstance(found, servers.BackendServer):
            self._loads.start(found.incarnation.server)
        return found

    def _place_service(
        self,
        service: ids.ServiceName,
        queue: list[_QueuedRequest],
        now: clock.Millis,
    ) -> None:
        self._hand_over_to_permits(queue)
        duration = self._loads.service_duration_ms(service)
        in_turn = queueing.sort_queue(
            queue,
            lambda queued: queued.request,
            duration,
            now,
        )
        is_full = False
        for queued in in_turn:
            if queued.result.done():
                continue
            if queued.request.key is None and is_full:
                self._reject_if_late(queued, duration, now)
                continue
            is_placed = self._assign(queued, duration, now)
            is_full = is_full or not (is_placed or _is_bound(queued.request))
        remaining = [queued for queued in in_turn if not queued.result.done()]
        if remaining:
            self._queues[service] = remaining
        else:
            self._queues.pop(service, None)

    def _hand_over_to_permits(self, queue: list[_QueuedRequest]) -> None:
        for queued in queue:
            needs_permit = self.permits.is_needed(queued.request)
            if needs_permit and not queued.result.done():
                queued.result.set_result(None)

    def _assign(
        self,
        queued: _QueuedRequest,
        duration: float,
        now: clock.Millis,
    ) -> bool:
        """Assign a server; return False if none has capacity."""
        server = self._place(queued.request)
        if server is None:
            self._reject_if_late(queued, duration, now)
            return False
        queued.result.set_result(server)
        return True

    def _reject_if_late(
        self,
        queued: _QueuedRequest,
        duration: float,
        now: clock.Millis,
    ) -> None:
        """Reject a request that can no longer be answered in time."""
        may_start_at = clock.later(
            now, self._backlogs.back_off_ms(queued.request)
        )
        latest_start = queueing.latest_start(queued.request, duration)
        is_late = may_start_at >= latest_start
        if is_late or self._backlogs.is_hopeless(queued.request):
            queued.result.set_result(
                self._backlogs.rejection(
                    queued.request,
                    self._waiting_for(queued.request),
                )
            )

    def _waiting_for(self, request: queueing.QueuedRequest) -> int:
        return len(self._queues.get(request.service, ()))

    def _withdraw(self, queued: _QueuedRequest) -> None:
        queue = self._queues.get(queued.request.service, [])
        if queued in queue:
            queue.remove(queued)
            if not queue:
                self._queues.pop(queued.request.service, None)
        elif queued.result.done() and not queued.result.cancelled():
            granted = queued.result.result()
            if isinstance(granted, servers.BackendServer):
                self.release(queued.request, granted.incarnation.server)

    def _place(
        self,
        request: queueing.QueuedRequest,
    ) -> servers.BackendServer | None:
        server = self._selector.select(request)
        if server is not None:
            self._loads.start(server.incarnation.server)
            self._loads.back_offs.record_start(
                server.incarnation, self._view.clock.now()
            )
        return server

    def _reject_on_arrival(
        self,
        request: queueing.QueuedRequest,
    ) -> backlogs.Rejection | None:
        if self.waiting_count >= _MAX_WAITING:
            return self._backlogs.rejection(request, self._waiting_for(request))
        if self._backlogs.can_be_served(request, self._waiting_for(request)):
            return None
        return self._backlogs.rejection(request, self._waiting_for(request))

    def _report_waiting(self) -> None:
        counts: dict[ids.ServerId, int] = {}
        for queue in self._queues.values():
            for queued in queue:
                server = self._backlogs.owner_server(queued.request)
                if server is not None:
                    server_id = server.incarnation.server
                    counts[server_id] = counts.get(server_id, 0) + 1
        for server_id in self._view.fleet.servers:
            self._loads.set_waiting(server_id, counts.get(server_id, 0))


def _is_bound(request: queueing.QueuedRequest) -> bool:
    """Tell whether others may have room where a request has none.

    It has a key, or an earlier attempt excludes servers: a request that all
    servers were excluded from held back all others until it was rejected.
    """
    return request.key is not None or bool(request.excluded)
