"""Track the requests in flight, so that a shutdown can limit their time."""

import asyncio
import dataclasses
import typing

from sycamoreferry_core import clock
from sycamoreferry_core.traffic import queueing
from sycamoreferry_gateway import proxied_requests

_Outcome = typing.TypeVar('_Outcome')


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class _OpenRequest:
    proxied: proxied_requests.ProxiedRequest
    queued: queueing.QueuedRequest
    time_limit: asyncio.Timeout

    def limit(self, due: clock.Millis, now: clock.Millis) -> None:
        if due >= self.proxied.answer_by:
            return
        # A request that no server has seen is left to another instance.
        ends_at = due if self.proxied.was_sent else now
        self.proxied.answer_by = ends_at
        # The queues reject it as soon as it can't be sent in time.
        self.queued.answer_by = ends_at
        loop = asyncio.get_running_loop()
        self.time_limit.reschedule(loop.time() + clock.seconds(ends_at - now))


class OpenRequests:
    """Hold the requests in flight and the time by which all must end."""

    def __init__(self, source: clock.Clock) -> None:
        self._clock = source
        self._open: set[_OpenRequest] = set()
        self._due_at: clock.Millis | None = None

    @property
    def is_stopping(self) -> bool:
        """Tell whether the instance shuts down."""
        return self._due_at is not None

    def may_start(self, proxied: proxied_requests.ProxiedRequest) -> bool:
        """Tell whether a request is certain not to be cut by the shutdown.

        Its caller may read the answer until it gives up, however slowly.
        """
        return self._due_at is None or proxied.ends_at <= self._due_at

    @property
    def proxied(self) -> list[proxied_requests.ProxiedRequest]:
        """Return the requests in flight."""
        return [one.proxied for one in self._open]

    def finish_by(self, due: clock.Millis) -> None:
        """Limit the time of all requests, including those still to come."""
        self._due_at = due
        now = self._clock.now()
        for one in self._open:
            one.limit(due, now)

    async def run(
        self,
        proxied: proxied_requests.ProxiedRequest,
        queued: queueing.QueuedRequest,
        work: typing.Coroutine[typing.Any, typing.Any, _Outcome],
    ) -> _Outcome:
        """Do the work of a request; raise TimeoutError if it must end."""
        time_limit = asyncio.timeout(None)
        one = _OpenRequest(proxied, queued, time_limit)
        try:
            async with time_limit:
                self._open.add(one)
                if self._due_at is not None:
                    one.limit(self._due_at, self._clock.now())
                return await work
        finally:
            self._open.discard(one)
