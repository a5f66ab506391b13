"""Combine what bounds the rate of requests to a backend server.

Load pattern: an overloaded server names a rate limit and becomes cold, or the
reverse. The lower of both rates holds for all instances together.
"""

import dataclasses

from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import servers
from sycamoreferry_core.traffic import server_load


@dataclasses.dataclass(frozen=True, slots=True)
class RequestRate:
    """Hold requests a second, and how many may be sent at once if limited."""

    requests_per_s: float
    burst: float | None = None


def rate_of(
    server_id: ids.ServerId,
    server: servers.BackendServer | None,
    loads: server_load.ServerLoads,
    now: clock.Millis,
) -> RequestRate | None:
    """Return the rate that a server allows now; None if it has no bound.

    A server that is not listed may still have named a limit.
    """
    limit = loads.rate_limits.get(server_id)
    cold = None
    if server is not None:
        cold = loads.warm_ups.requests_per_s(server, now)
    if cold is not None:
        lower = cold if limit is None else min(cold, limit)
        return RequestRate(lower, loads.warm_ups.burst)
    return None if limit is None else RequestRate(limit)
