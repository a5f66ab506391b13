"""Plan who is to own each shard, with the fewest moves."""

import collections
import typing

from sycamoreferry_core import ids, records, state


def plan_changes(
    assignment: state.Assignment,
    shard_count: int,
    servers: typing.Collection[ids.ServerId],
) -> tuple[records.Ownership, ...]:
    """Return the fewest changes that give every shard a listed owner."""
    if not servers or _is_even(assignment, shard_count, servers):
        return ()
    owners = assignment.owners or (ids.ServerId(''),) * shard_count
    kept = _kept_shards(owners, servers)
    orphans = [
        ids.ShardId(shard)
        for shard, owner in enumerate(owners)
        if owner not in kept
    ]
    orphans.extend(_surplus(kept, shard_count))
    return _hand_out(orphans, kept, shard_count)


def _is_even(
    assignment: state.Assignment,
    shard_count: int,
    servers: typing.Collection[ids.ServerId],
) -> bool:
    owned = assignment.shards_by_owner
    floor = shard_count // len(servers)
    sizes = [len(shards) for shards in owned.values()]
    return (
        owned.keys() == set(servers)
        and sum(sizes) == shard_count
        and all(floor <= size <= floor + 1 for size in sizes)
    )


def _kept_shards(
    owners: typing.Sequence[ids.ServerId],
    servers: typing.Collection[ids.ServerId],
) -> dict[ids.ServerId, list[ids.ShardId]]:
    kept: dict[ids.ServerId, list[ids.ShardId]] = {
        server: [] for server in sorted(servers)
    }
    for shard, owner in enumerate(owners):
        kept.get(owner, []).append(ids.ShardId(shard))
    return kept


def _surplus(
    kept: dict[ids.ServerId, list[ids.ShardId]],
    shard_count: int,
) -> list[ids.ShardId]:
    floor, larger = divmod(shard_count, len(kept))
    surplus: list[ids.ShardId] = []
    by_load = sorted(kept, key=lambda server: -len(kept[server]))
    for place, server in enumerate(by_load):
        room = floor + 1 if place < larger else floor
        surplus.extend(kept[server][room:])
        kept[server] = kept[server][:room]
    return surplus


def _hand_out(
    orphans: list[ids.ShardId],
    kept: dict[ids.ServerId, list[ids.ShardId]],
    shard_count: int,
) -> tuple[records.Ownership, ...]:
    floor = shard_count // len(kept)
    given: dict[ids.ServerId, list[ids.ShardId]] = collections.defaultdict(list)
    by_need = sorted(kept, key=lambda server: len(kept[server]))
    for room in (floor, floor + 1):
        for server in by_need:
            while orphans and len(kept[server]) < room:
                shard = orphans.pop()
                kept[server].append(shard)
                given[server].append(shard)
    return tuple(
        records.Ownership(server=server, shards=tuple(sorted(shards)))
        for server, shards in sorted(given.items())
    )
