"""Limit the retries of requests over all instances.

Load pattern: a service fails for seconds and each instance would retry each
request. All share one allowance in a sliding window; each instance may use its
part of the fixed extra and a share of the requests that it saw itself.
"""

import collections
import dataclasses

from sycamoreferry_core import clock, ids

# Half of the allowance stays unused, since requests are counted by arrival and
# the windows slide.
_USABLE_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class RetryAllowance:
    """Limit the retries of all instances together within a window."""

    ratio: float
    window_ms: int
    extra: int


class RetryBudget:
    """Count requests and retries by service in a sliding window."""

    def __init__(self, allowance: RetryAllowance) -> None:
        self._allowance = allowance
        self._requests: dict[ids.ServiceName, _SlidingCount] = (
            collections.defaultdict(_SlidingCount)
        )
        self._retries: dict[ids.ServiceName, _SlidingCount] = (
            collections.defaultdict(_SlidingCount)
        )

    def count_request(
        self, service: ids.ServiceName, now: clock.Millis
    ) -> None:
        """Count a request that a caller sent, but not its retries."""
        self._requests[service].add(now)

    def remaining(
        self,
        service: ids.ServiceName,
        instances: int,
        now: clock.Millis,
    ) -> float:
        """Return how many retries this instance may still send."""
        start = clock.Millis(now - self._allowance.window_ms)
        requests = self._requests[service].since(start)
        retries = self._retries[service].since(start)
        share = self._allowance.extra / max(1, instances)
        allowed = self._allowance.ratio * requests + share
        return _USABLE_SHARE * allowed - retries

    def spend(
        self,
        service: ids.ServiceName,
        instances: int,
        now: clock.Millis,
    ) -> bool:
        """Use one retry of the budget; return whether one was left."""
        if self.remaining(service, instances, now) < 1:
            return False
        self._retries[service].add(now)
        return True


class _SlidingCount:
    """Count events in a sliding window."""

    def __init__(self) -> None:
        self._times: collections.deque[clock.Millis] = collections.deque()

    def add(self, now: clock.Millis) -> None:
        """Count an event."""
        self._times.append(now)

    def since(self, start: clock.Millis) -> int:
        """Return the number of events since a time; drop earlier ones."""
        times = self._times
        while times and times[0] < start:
            times.popleft()
        return len(times)
