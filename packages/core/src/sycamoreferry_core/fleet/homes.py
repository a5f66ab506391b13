"""Choose the instance that counts the requests at backend servers.

Load pattern: dozens of instances of unequal size send to the same servers. All
choose the same one by weighted highest random weight, and few servers change it
when instances come or go. A disagreement lasts as long as the news of instances
and costs some excess.
"""

import math
import typing

import xxhash

from sycamoreferry_core import ids

# One instance can count for so many servers of a service.
_POOL_SERVERS = 64
_HASHES = 1 << xxhash.xxh3_64().digest_size * 8

Weights = typing.Mapping[ids.InstanceId, float]


def home_of(counted: str, weights: Weights) -> ids.InstanceId | None:
    """Return the instance that counts for servers; None if there is none."""
    return max(
        weights,
        key=lambda instance: _score(instance, counted, weights[instance]),
        default=None,
    )


def _score(
    instance: ids.InstanceId,
    counted: str,
    weight: float,
) -> float:
    named = f'{instance} {counted}'.encode()
    drawn = (xxhash.xxh3_64_intdigest(named) + 1) / (_HASHES + 1)
    return weight / -math.log(drawn)


def pools_of(count: int) -> int:
    """Return in how many pools the servers of a service are counted."""
    return max(1, math.ceil(count / _POOL_SERVERS))


def pool_of(server: ids.ServerId, pools: int) -> int:
    """Return the pool of a server."""
    return xxhash.xxh3_64_intdigest(server.encode()) % pools


class HomeTable:
    """Remember the choices while the instances are the same."""

    def __init__(self) -> None:
        self._weights: dict[ids.InstanceId, float] = {}
        self._homes: dict[str, ids.InstanceId | None] = {}

    def use(self, weights: Weights) -> None:
        """Choose among these instances from now on."""
        if weights != self._weights:
            self._weights = dict(weights)
            self._homes.clear()

    def get(self, counted: str) -> ids.InstanceId | None:
        """Return the instance that counts for a line of requests."""
        if counted not in self._homes:
            self._homes[counted] = home_of(counted, self._weights)
        return self._homes[counted]
