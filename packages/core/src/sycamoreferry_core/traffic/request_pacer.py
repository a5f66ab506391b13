"""Space the requests to servers that limit their rate.

A generic cell rate algorithm: a request is due one interval after the last,
and a bounded burst makes up for idle time, so that irregular arrivals reach the
full rate.
"""

import math
import typing

from sycamoreferry_core import clock, ids

# Requests that were due this long ago may still be sent in a burst.
_BURST_MS = 1_000


class RequestPacer:
    """Track when each server is due for its next request."""

    def __init__(self) -> None:
        self._due_at: dict[ids.ServerId, clock.Millis] = {}

    def is_due(self, server: ids.ServerId, now: clock.Millis) -> bool:
        """Return whether a server may get a request now."""
        return self._due_at.get(server, clock.LONG_AGO) <= now

    def record_request(
        self,
        server: ids.ServerId,
        requests_per_s: float,
        now: clock.Millis,
    ) -> None:
        """Count a request that is sent now."""
        interval_ms = math.ceil(clock.MILLIS_PER_SECOND / requests_per_s)
        earliest = clock.later(now, -_BURST_MS)
        due_at = max(earliest, self._due_at.get(server, earliest))
        self._due_at[server] = clock.later(due_at, interval_ms)

    def keep_only(self, known: typing.Container[ids.ServerId]) -> None:
        """Drop servers that are not known."""
        for server in list(self._due_at):
            if server not in known:
                self._due_at.pop(server)
