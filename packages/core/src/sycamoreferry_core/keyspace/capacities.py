"""Weigh fast and slow servers by how busy all of them are.

Load pattern: servers of one service differ in speed by more than two to one,
and the durations of requests have a long tail. While there is room, a key is
more often answered on time at a fast server; under full load each server has
to take what it can run.
"""

import dataclasses
import typing

from sycamoreferry_core.fleet import servers
from sycamoreferry_core.keyspace import placement

# Exponent of the speed by the utilisation of all servers, after a model of
# two slots, log-normal durations and an objective of three mean durations.
_IDLE_EXPONENT = 3.4
_EXPONENT_SLOPE = 3.3
_LEAST_EXPONENT = 1.0
_MOST_EXPONENT = 2.5
# A server is not trusted with more than this many times its share.
_LEAST_SPEED = 0.25
_MOST_SPEED = 2.5


@dataclasses.dataclass(frozen=True, slots=True)
class ServerSpeed:
    """Hold a server's slots and its speed relative to the mean."""

    life: servers.ServerLife
    slots: int
    speed: float


def weigh_capacities(
    known: typing.Sequence[ServerSpeed],
    demanded_slots: float,
) -> list[placement.Capacity]:
    """Return capacities that favour fast servers while there is room."""
    speeds = {row.life: _bounded(row.speed) for row in known}
    total = sum(row.slots * speeds[row.life] for row in known)
    if not total:
        return []
    exponent = speed_exponent(demanded_slots / total)
    weights = {
        row.life: row.slots * speeds[row.life] ** exponent for row in known
    }
    # Together they still offer what the servers can run.
    scale = total / sum(weights.values())
    return [
        placement.Capacity(row.life, weights[row.life] * scale) for row in known
    ]


def speed_exponent(utilisation: float) -> float:
    """Return how strongly speed counts at a utilisation."""
    wanted = _IDLE_EXPONENT - _EXPONENT_SLOPE * utilisation
    return max(_LEAST_EXPONENT, min(_MOST_EXPONENT, wanted))


def _bounded(speed: float) -> float:
    return max(_LEAST_SPEED, min(_MOST_SPEED, speed))
