"""Place shards on servers as other routers do, for comparison."""

import bisect
import typing

from sycamoreferry_core import ids, keys

VIRTUAL_NODES = 100

Servers = typing.Sequence[ids.ServerId]
Owners = tuple[ids.ServerId, ...]


def place_by_modulo(shard_count: int, servers: Servers) -> Owners:
    """Place each shard by its hash modulo the number of servers."""
    return tuple(
        servers[keys.hash_text(f'shard/{shard}') % len(servers)]
        for shard in range(shard_count)
    )


def place_on_ring(shard_count: int, servers: Servers) -> Owners:
    """Place each shard by consistent hashing with virtual nodes."""
    ring = sorted(
        (keys.hash_text(f'{server}/{number}'), server)
        for server in servers
        for number in range(VIRTUAL_NODES)
    )
    points = [point for point, _ in ring]
    places = (
        bisect.bisect(points, keys.hash_text(f'shard/{shard}'))
        for shard in range(shard_count)
    )
    return tuple(ring[place % len(ring)][1] for place in places)
