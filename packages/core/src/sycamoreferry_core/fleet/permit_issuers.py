"""Choose the instance that counts the requests at backend servers.

Load pattern: dozens of instances of unequal size send to the same servers. All
of them choose the same counting instance by weighted rendezvous hashing, so
that an instance that joins or leaves changes the choice for few servers only.
Instances disagree until they know of the same members; meanwhile some servers
receive requests beyond their capacity.
"""

import math
import typing

import xxhash

from sycamoreferry_core import ids

# One instance counts the requests at about this many servers of a service.
_SERVERS_PER_POOL = 64
_HASH_COUNT = 1 << xxhash.xxh3_64().digest_size * 8

Weights = typing.Mapping[ids.InstanceId, float]


def issuer_of(queue_name: str, weights: Weights) -> ids.InstanceId | None:
    """Return the instance that counts a queue; None if there are none."""
    return max(
        weights,
        key=lambda instance: _score(instance, queue_name, weights[instance]),
        default=None,
    )


def _score(
    instance: ids.InstanceId,
    queue_name: str,
    weight: float,
) -> float:
    hash_input = f'{instance} {queue_name}'.encode()
    uniform = (xxhash.xxh3_64_intdigest(hash_input) + 1) / (_HASH_COUNT + 1)
    return weight / -math.log(uniform)


def pool_count(server_count: int) -> int:
    """Return the number of pools that divide the servers of a service."""
    return max(1, math.ceil(server_count / _SERVERS_PER_POOL))


def pool_of(server: ids.ServerId, pools: int) -> int:
    """Return the index of the pool to which a server belongs."""
    return xxhash.xxh3_64_intdigest(server.encode()) % pools


def choose_pool(
    servers: typing.Iterable[ids.ServerId], pools: int, drawn: int
) -> int | None:
    """Return the drawn pool, or the next one that has any of the servers."""
    return min(
        {pool_of(server, pools) for server in servers},
        key=lambda pool: (pool - drawn) % pools,
        default=None,
    )


class IssuerCache:
    """Cache the chosen instances until the candidates or weights change."""

    def __init__(self) -> None:
        self._weights: dict[ids.InstanceId, float] = {}
        self._issuers: dict[str, ids.InstanceId | None] = {}

    def update_weights(self, weights: Weights) -> None:
        """Set the candidates and their weights; a change clears the cache."""
        if weights != self._weights:
            self._weights = dict(weights)
            self._issuers.clear()

    def get(self, queue_name: str) -> ids.InstanceId | None:
        """Return the instance that counts a queue; None if there are none."""
        if queue_name not in self._issuers:
            self._issuers[queue_name] = issuer_of(queue_name, self._weights)
        return self._issuers[queue_name]
