"""Choose the backend server for a request among equals.

Load pattern: servers of one service differ in speed, are cold after a start
and are shared by instances that choose at the same time. The choice takes the
server with the shortest expected wait, the nearer one of two that are alike,
with some noise so that instances do not all take the same one.
"""

import dataclasses
import typing

from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import servers
from sycamoreferry_core.traffic import server_load

# One request may wait at the server for every three slots, so that a slot
# is not idle while the news of its release travels.
_SLOTS_PER_WAITING = 3
# Both ways between data centres of one region.
_DISTANCE_MS = 12.0
# Large answers cost more on the links between data centres.
_LARGE_DISTANCE_MS = 60.0
# A cold server is about half as fast.
_COLD_FACTOR = 2.0
_NOISE_SHARE = 0.15
# So many servers are weighed; more cost time and attract all instances at once.
MOST_CANDIDATES = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Choosing:
    """Hold what a choice looks at besides the servers."""

    data_centre: ids.DataCentre
    excluded: frozenset[ids.ServerId]
    now: clock.Millis
    has_large_answer: bool = False
    # The requests at each server, where they are counted exactly.
    counted: typing.Mapping[ids.ServerId, int] | None = None


def capacity_of(slots: int) -> int:
    """Return how many requests a server may be sent at once."""
    return slots + max(1, slots // _SLOTS_PER_WAITING)


def has_room(
    server: servers.BackendServer,
    loads: server_load.ServerLoads,
    now: clock.Millis,
) -> bool:
    """Tell whether a server can take one more request."""
    server_id = server.life.server
    return loads.total_in_flight(server_id, now) < capacity_of(server.slots)


def choose_server(
    candidates: typing.Iterable[servers.BackendServer],
    loads: server_load.ServerLoads,
    choosing: Choosing,
    noise: typing.Callable[[], float],
) -> servers.BackendServer | None:
    """Return the server with the least expected time, if one has room.

    Servers that failed lately are taken only where no other has room.
    """
    now = choosing.now
    usable = [
        server
        for server in candidates
        if server.is_ready
        and server.life.server not in choosing.excluded
        and _busy(server, loads, choosing) < capacity_of(server.slots)
    ]
    sound = [
        server
        for server in usable
        if not loads.is_suspended(server.life.server, now)
    ]
    costs = {
        server.life: expected_ms(server, loads, choosing)
        * (1 + _NOISE_SHARE * noise())
        for server in sound or usable[:1]
    }
    return min(
        sound or usable[:1],
        key=lambda server: costs[server.life],
        default=None,
    )


def expected_ms(
    server: servers.BackendServer,
    loads: server_load.ServerLoads,
    choosing: Choosing,
) -> float:
    """Return the expected duration of one more request in milliseconds."""
    busy = _busy(server, loads, choosing)
    duration = loads.duration_ms(server)
    if server.warmup_ms > 0:
        duration = max(
            duration,
            loads.service_ms(server.service) * _COLD_FACTOR,
        )
    ahead = max(0, busy + 1 - server.slots) / server.slots
    crowding = busy / server.slots / 4
    cost = duration * (1 + ahead + crowding)
    if server.data_centre != choosing.data_centre:
        cost += (
            _LARGE_DISTANCE_MS if choosing.has_large_answer else _DISTANCE_MS
        )
    return cost


def _busy(
    server: servers.BackendServer,
    loads: server_load.ServerLoads,
    choosing: Choosing,
) -> int:
    if choosing.counted is None:
        return loads.total_in_flight(server.life.server, choosing.now)
    return choosing.counted.get(server.life.server, 0)
