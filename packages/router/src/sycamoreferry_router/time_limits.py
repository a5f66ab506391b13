"""Limit the time of requests in flight while the instance shuts down."""

import asyncio
import contextlib
import dataclasses
import typing

from sycamoreferry_core import clock


class TimeLimitError(TimeoutError):
    """Report a wait that took longer than its time limit."""


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class _TimeLimit:
    timeout: asyncio.Timeout
    shutdown_share: float


class TimeLimits:
    """Bound deadlines and waits by the end of the shutdown."""

    def __init__(self, time_source: clock.Clock) -> None:
        self._clock = time_source
        self._ends_at: clock.Millis | None = None
        self._limits: set[_TimeLimit] = set()

    @property
    def is_shutting_down(self) -> bool:
        """Tell whether the end of the shutdown is set."""
        return self._ends_at is not None

    def end_by(self, ends_at: clock.Millis) -> None:
        """Set the end of the shutdown, also for waits that have begun."""
        self._ends_at = ends_at
        for limit in self._limits:
            self._apply(limit)

    def bound(self, deadline: clock.Millis) -> clock.Millis:
        """Return the deadline, or the end of the shutdown if it is earlier."""
        if self._ends_at is None:
            return deadline
        return min(deadline, self._ends_at)

    @contextlib.asynccontextmanager
    async def limit(
        self,
        seconds: float | None = None,
        shutdown_share: float = 1,
    ) -> typing.AsyncIterator[None]:
        """Raise TimeLimitError after a time, or a share of the shutdown."""
        timeout = asyncio.timeout(seconds)
        limit = _TimeLimit(timeout, shutdown_share)
        try:
            async with timeout:
                self._apply(limit)
                self._limits.add(limit)
                yield
        except TimeoutError as error:
            if not timeout.expired():
                raise
            raise TimeLimitError('the time limit has passed') from error
        finally:
            self._limits.discard(limit)

    def _apply(self, limit: _TimeLimit) -> None:
        if self._ends_at is None or limit.timeout.expired():
            return
        remaining = clock.seconds(max(0, self._ends_at - self._clock.now()))
        latest = asyncio.get_running_loop().time()
        latest += remaining * limit.shutdown_share
        ends_at = limit.timeout.when()
        if ends_at is None or latest < ends_at:
            limit.timeout.reschedule(latest)
