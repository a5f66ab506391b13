"""Weight the capacities of servers by speed and total utilisation.

Load pattern: servers of one service differ in speed by more than two to one,
and the durations of requests have a long tail. At low utilisation, requests for
a key meet their objective more often at a fast server; under full load each
server has to take what it can run.
"""

import dataclasses
import math
import typing

from sycamoreferry_core.fleet import servers
from sycamoreferry_core.keyspace import placement

# The exponent of the speed falls linearly with the utilisation of all servers.
# The coefficients follow from a model of two slots, log-normal durations and an
# objective of three mean durations.
_IDLE_EXPONENT = 3.4
_EXPONENT_SLOPE = 3.3
_MIN_EXPONENT = 1.0
_MAX_EXPONENT = 2.5
# Limits the estimated speed, so that no server gets more than this many times
# its share.
_MIN_SPEED = 0.25
_MAX_SPEED = 2.5


@dataclasses.dataclass(frozen=True, slots=True)
class ServerSpeed:
    """Describe a server's slots and its speed relative to the mean."""

    incarnation: servers.ServerIncarnation
    slots: int
    speed: float
    # What the rate limit of the server leaves, in slots of standard speed.
    max_slots: float = math.inf


def weight_capacities(
    known: typing.Sequence[ServerSpeed],
    demanded_slots: float,
) -> list[placement.Capacity]:
    """Return capacities that favour fast servers at low utilisation."""
    speeds = {row.incarnation: _clamp_speed(row.speed) for row in known}
    total = sum(row.slots * speeds[row.incarnation] for row in known)
    if not total:
        return []
    exponent = speed_exponent(demanded_slots / total)
    weights = {
        row.incarnation: row.slots * speeds[row.incarnation] ** exponent
        for row in known
    }
    # Scaling keeps the total capacity equal to what the servers can run.
    scale = total / sum(weights.values())
    return [
        placement.Capacity(
            row.incarnation,
            min(weights[row.incarnation] * scale, row.max_slots),
            is_limited=row.max_slots < math.inf,
        )
        for row in known
    ]


def speed_exponent(utilisation: float) -> float:
    """Return the exponent of the speed at a utilisation of all servers."""
    wanted = _IDLE_EXPONENT - _EXPONENT_SLOPE * utilisation
    return max(_MIN_EXPONENT, min(_MAX_EXPONENT, wanted))


def _clamp_speed(speed: float) -> float:
    return max(_MIN_SPEED, min(_MAX_SPEED, speed))
