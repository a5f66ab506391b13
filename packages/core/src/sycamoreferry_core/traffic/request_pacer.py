"""Space the requests to servers that limit their rate.

A token bucket for each server, whose rate may change at any time: a bounded
burst makes up for idle time, so that irregular arrivals reach the full rate. A
bucket starts without a burst, since another instance may have counted before.
"""

import dataclasses
import typing

from sycamoreferry_core import clock, ids

# Requests that were due this long ago may still be sent in a burst.
_BURST_MS = 1_000
# A bucket that was not used for so long may be dropped.
_KEPT_MS = 10_000


@dataclasses.dataclass(slots=True)
class _Bucket:
    tokens: float
    requests_per_s: float
    updated_at: clock.Millis
    # The most that idle time adds up to; None for what it allows in _BURST_MS.
    burst: float | None = None

    def refill(self, now: clock.Millis) -> None:
        """Add what the rate has allowed since the last call."""
        elapsed_s = clock.seconds(now - self.updated_at)
        burst = self.requests_per_s * clock.seconds(_BURST_MS)
        if self.burst is not None:
            burst = min(burst, self.burst)
        most = max(1, burst)
        refilled = self.tokens + elapsed_s * self.requests_per_s
        self.tokens = min(most, refilled)
        self.updated_at = now


class RequestPacer:
    """Track when each server is due for its next request."""

    def __init__(self) -> None:
        self._buckets: dict[ids.ServerId, _Bucket] = {}

    def set_rate(
        self,
        server: ids.ServerId,
        limit_per_s: float,
        share: float,
        now: clock.Millis,
        burst: float | None = None,
    ) -> None:
        """Set the share of a server's limit that is granted here.

        `burst` bounds the requests that may be sent at once after idle time.
        """
        bucket = self._buckets.get(server)
        if bucket is None:
            # Buckets of several instances hold one token together; none if the
            # burst is bounded, since the server may be busy with earlier ones.
            tokens = share if burst is None else 0
            bucket = _Bucket(tokens, 0, now)
            self._buckets[server] = bucket
        bucket.refill(now)
        bucket.requests_per_s = limit_per_s * share
        bucket.burst = burst

    def is_due(self, server: ids.ServerId, now: clock.Millis) -> bool:
        """Return whether a server may get a request now."""
        bucket = self._buckets.get(server)
        if bucket is None:
            return True
        bucket.refill(now)
        return bucket.tokens >= 1

    def record_request(self, server: ids.ServerId) -> None:
        """Count a request that is sent now."""
        bucket = self._buckets.get(server)
        if bucket is not None:
            bucket.tokens -= 1

    def drop(self, unpaced: typing.Callable[[ids.ServerId], bool]) -> None:
        """Drop the buckets of servers that are not paced any more.

        What they save up meanwhile must not be sent once they are again.
        """
        for server in list(self._buckets):
            if unpaced(server):
                self._buckets.pop(server)

    def drop_unused(self, now: clock.Millis) -> None:
        """Drop the buckets of servers that were not asked for lately."""
        for server, bucket in list(self._buckets.items()):
            if now - bucket.updated_at > _KEPT_MS:
                self._buckets.pop(server)
