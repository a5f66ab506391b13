"""Choose the backend server for a request that several can serve.

Load pattern: servers of one service differ in speed, are cold after a start
and are shared by instances that choose at the same time. The server with the
lowest expected duration is chosen, which includes the distance to its data
centre. Random noise keeps the instances from all choosing the same one.
"""

import dataclasses
import typing

from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import servers
from sycamoreferry_core.traffic import request_rates, server_load

# One request may queue at the server for every three slots, so that a slot
# is not idle until the instances learn that it is free.
_SLOTS_PER_QUEUED = 3
# Round trip between data centres of one region.
_REMOTE_ROUND_TRIP_MS = 12.0
# Large responses take longer over the links between data centres.
_REMOTE_LARGE_RESPONSE_MS = 60.0
# A cold server is about half as fast.
_COLD_FACTOR = 2.0
_NOISE_SHARE = 0.15
# Comparing more servers takes longer and makes all instances choose the same.
MAX_CANDIDATES = 16
# Of servers that report slowdowns this many are compared: most instances would
# choose those that have just reported to be fast.
_CANDIDATES_BY_SLOWDOWN = 4


_Draw = typing.Callable[
    [typing.Sequence[servers.BackendServer], int], list[servers.BackendServer]
]


@dataclasses.dataclass(frozen=True, slots=True)
class ChoiceInputs:
    """Hold the inputs of a choice other than the servers."""

    data_centre: ids.DataCentre
    excluded: frozenset[ids.ServerId]
    now: clock.Millis
    has_large_answer: bool = False
    # Requests in flight by server where they are counted exactly, else None.
    in_flight: typing.Mapping[ids.ServerId, int] | None = None


def capacity_of(slots: int) -> int:
    """Return the maximum number of requests in flight at a server."""
    return slots + max(1, slots // _SLOTS_PER_QUEUED)


def usable_slots(
    server: servers.BackendServer,
    loads: server_load.ServerLoads,
    now: clock.Millis,
) -> float:
    """Return the slots that a limit or a warm-up lets a server keep busy."""
    server_id = server.incarnation.server
    rate = request_rates.rate_of(server_id, server, loads, now)
    if rate is None:
        return server.slots
    requests_per_ms = rate.requests_per_s / clock.MILLIS_PER_SECOND
    busy = requests_per_ms * loads.duration_ms(server)
    return min(server.slots, busy)


def has_room(
    server: servers.BackendServer,
    loads: server_load.ServerLoads,
    now: clock.Millis,
) -> bool:
    """Return whether a server can accept one more request."""
    server_id = server.incarnation.server
    return loads.total_in_flight(server_id, now) < capacity_of(server.slots)


def draw_candidates(
    known: typing.Sequence[servers.BackendServer],
    loads: server_load.ServerLoads,
    inputs: ChoiceInputs,
    draw: _Draw,
) -> typing.Sequence[servers.BackendServer]:
    """Return the servers to compare where many instances choose at once."""
    if not any(loads.slowdowns.is_reported(one.service) for one in known[:1]):
        if len(known) <= MAX_CANDIDATES:
            return known
        return draw(known, MAX_CANDIDATES)
    open_servers = [
        server
        for server in known
        if _is_usable(server, loads, inputs)
        and not loads.is_suspended(server.incarnation.server, inputs.now)
    ]
    if len(open_servers) <= _CANDIDATES_BY_SLOWDOWN:
        # If there is none, one that is suspended may still be used.
        return open_servers or known
    return draw(open_servers, _CANDIDATES_BY_SLOWDOWN)


def choose_server(
    candidates: typing.Iterable[servers.BackendServer],
    loads: server_load.ServerLoads,
    inputs: ChoiceInputs,
    noise: typing.Callable[[], float],
) -> servers.BackendServer | None:
    """Return the server with the lowest expected duration, if one has room.

    Servers suspended after failures are used only if no other has room.
    """
    now = inputs.now
    usable = [
        server for server in candidates if _is_usable(server, loads, inputs)
    ]
    healthy = [
        server
        for server in usable
        if not loads.is_suspended(server.incarnation.server, now)
    ]
    costs = {
        server.incarnation: expected_duration_ms(server, loads, inputs)
        * (1 + _NOISE_SHARE * noise())
        for server in healthy or usable[:1]
    }
    return min(
        healthy or usable[:1],
        key=lambda server: costs[server.incarnation],
        default=None,
    )


def expected_duration_ms(
    server: servers.BackendServer,
    loads: server_load.ServerLoads,
    inputs: ChoiceInputs,
) -> float:
    """Return the expected duration of one more request in milliseconds."""
    in_flight = _in_flight(server, loads, inputs)
    duration = loads.duration_ms(server)
    may_be_cold = server.warmup_ms > 0 or not loads.warm_ups.is_empty
    if may_be_cold and loads.warm_ups.is_cold(server, inputs.now):
        duration = max(
            duration,
            loads.service_duration_ms(server.service) * _COLD_FACTOR,
        )
    duration *= loads.slowdowns.relative_factor(server, inputs.now)
    ahead = max(0, in_flight + 1 - server.slots) / server.slots
    crowding = in_flight / server.slots / 4
    cost = duration * (1 + ahead + crowding)
    if server.data_centre != inputs.data_centre:
        cost += (
            _REMOTE_LARGE_RESPONSE_MS
            if inputs.has_large_answer
            else _REMOTE_ROUND_TRIP_MS
        )
    return cost


def _is_usable(
    server: servers.BackendServer,
    loads: server_load.ServerLoads,
    inputs: ChoiceInputs,
) -> bool:
    """Return whether a server is ready, not excluded and has room."""
    return (
        server.is_ready
        and server.incarnation.server not in inputs.excluded
        and _in_flight(server, loads, inputs) < capacity_of(server.slots)
    )


def _in_flight(
    server: servers.BackendServer,
    loads: server_load.ServerLoads,
    inputs: ChoiceInputs,
) -> int:
    if inputs.in_flight is None:
        return loads.total_in_flight(server.incarnation.server, inputs.now)
    return inputs.in_flight.get(server.incarnation.server, 0)
