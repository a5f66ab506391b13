"""Simulate demand on servers of unequal speed."""

import math
import random

import pytest

from sycamoreferry_core import ids
from sycamoreferry_core.fleet import servers
from sycamoreferry_core.keyspace import capacities

MEAN_MS = 160
OBJECTIVE_MS = 500
LOG_SIGMA = 0.8
SLOTS = 2
SPEEDS = [(0.6, 1.0, 1.4)[number % 3] for number in range(15)]
REQUESTS = 8_000


def _incarnation(number: int) -> servers.ServerIncarnation:
    return servers.ServerIncarnation(
        ids.ServerId(f's{number}'), servers.IncarnationNumber(1)
    )


def _weights(utilisation: float) -> list[float]:
    known = [
        capacities.ServerSpeed(_incarnation(number), SLOTS, speed)
        for number, speed in enumerate(SPEEDS)
    ]
    demanded = utilisation * SLOTS * sum(SPEEDS)
    weighed = capacities.weight_capacities(known, demanded)
    return [capacity.slots for capacity in weighed]


def _on_time(weights: list[float], utilisation: float, seed: int) -> float:
    """Return the share answered on time if keys are placed by the weights."""
    source = random.Random(seed)
    rate = utilisation * SLOTS * sum(SPEEDS) / MEAN_MS
    location = math.log(MEAN_MS) - LOG_SIGMA**2 / 2
    free_at = [[0.0] * SLOTS for _ in SPEEDS]
    now = 0.0
    on_time = 0
    for _ in range(REQUESTS):
        now += source.expovariate(rate)
        chosen = source.choices(range(len(SPEEDS)), weights)[0]
        slots = free_at[chosen]
        slot = min(range(SLOTS), key=slots.__getitem__)
        work = source.lognormvariate(location, LOG_SIGMA) / SPEEDS[chosen]
        slots[slot] = max(now, slots[slot]) + work
        on_time += slots[slot] - now <= OBJECTIVE_MS
    return on_time / REQUESTS


@pytest.mark.parametrize(
    ('utilisation', 'least_gain'),
    [(0.2, 0.005), (0.3, 0.005), (0.45, 0.005), (0.7, -0.01), (0.9, -0.01)],
)
def test_weights_answer_more_on_time_than_speed_alone_at_low_utilisation(
    utilisation: float,
    least_gain: float,
) -> None:
    seeds = range(3)
    by_speed = [SLOTS * speed for speed in SPEEDS]
    weighed = _weights(utilisation)
    gains = [
        _on_time(weighed, utilisation, seed)
        - _on_time(by_speed, utilisation, seed)
        for seed in seeds
    ]
    assert sum(gains) / len(gains) >= least_gain


def test_total_capacity_equals_what_servers_can_run() -> None:
    assert sum(_weights(0.4)) == pytest.approx(SLOTS * sum(SPEEDS))


def test_no_servers_give_no_capacities() -> None:
    assert not capacities.weight_capacities([], 1)


def test_rate_limit_bounds_the_capacity_of_its_server_only() -> None:
    limited = capacities.ServerSpeed(_incarnation(0), SLOTS, 1, 0.3)
    other = capacities.ServerSpeed(_incarnation(1), SLOTS, 1)
    weighed = capacities.weight_capacities([limited, other], 1)
    assert [capacity.slots for capacity in weighed] == [0.3, SLOTS]
