"""Bound the requests that are sent a second time, over all instances.

Load pattern: a service fails for seconds and each instance would repeat each
request. All share one allowance in a sliding window; each instance may use its
part of the fixed extra and a share of the requests that it saw itself.
"""

import collections
import dataclasses

from sycamoreferry_core import clock, ids

# Requests are counted by arrival, windows slide: half of it stays unused.
_USED_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class RepeatAllowance:
    """Hold what all instances together may repeat in a window."""

    ratio: float
    window_ms: int
    extra: int


class RepeatBudget:
    """Count requests and repeats by service in a sliding window."""

    def __init__(self, allowance: RepeatAllowance) -> None:
        self._allowance = allowance
        self._requests: dict[ids.ServiceName, _SlidingCount] = (
            collections.defaultdict(_SlidingCount)
        )
        self._repeats: dict[ids.ServiceName, _SlidingCount] = (
            collections.defaultdict(_SlidingCount)
        )

    def count_request(
        self, service: ids.ServiceName, now: clock.Millis
    ) -> None:
        """Count a request of a caller."""
        self._requests[service].add(now)

    def left(
        self,
        service: ids.ServiceName,
        instances: int,
        now: clock.Millis,
    ) -> float:
        """Return how many repeats this instance may still send."""
        start = clock.Millis(now - self._allowance.window_ms)
        requests = self._requests[service].since(start)
        repeats = self._repeats[service].since(start)
        share = self._allowance.extra / max(1, instances)
        allowed = self._allowance.ratio * requests + share
        return _USED_SHARE * allowed - repeats

    def spend(
        self,
        service: ids.ServiceName,
        instances: int,
        now: clock.Millis,
    ) -> bool:
        """Take one repeat if the budget has one."""
        if self.left(service, instances, now) < 1:
            return False
        self._repeats[service].add(now)
        return True


class _SlidingCount:
    """Count events in a window that slides."""

    def __init__(self) -> None:
        self._times: collections.deque[clock.Millis] = collections.deque()

    def add(self, now: clock.Millis) -> None:
        """Count an event."""
        self._times.append(now)

    def since(self, start: clock.Millis) -> int:
        """Return the events since a time; drop earlier ones."""
        times = self._times
        while times and times[0] < start:
            times.popleft()
        return len(times)
