"""Assign shards to servers with the fewest moves."""

import collections
import heapq
import typing

from sycamoreferry_core import ids, records, state

Shards = typing.Iterable[ids.ShardId]

# Keeps a revision record well below the size limit of a log service's append.
SHARDS_PER_RECORD = 4096


def plan_changes(
    assigned: state.Assignment,
    shard_count: int,
    servers: typing.Collection[ids.ServerId],
    retaining: typing.Collection[ids.ServerId] = (),
) -> tuple[records.Ownership, ...]:
    """Assign unowned shards; `retaining` servers keep theirs but get none."""
    if not servers:
        return ()
    kept = {*servers, *retaining}
    unowned = _unowned_shards(assigned, shard_count, kept)
    return assign_to_fewest(assigned, unowned[:SHARDS_PER_RECORD], servers)


def assign_to_fewest(
    assigned: state.Assignment,
    shards: Shards,
    servers: typing.Collection[ids.ServerId],
) -> tuple[records.Ownership, ...]:
    """Assign each shard in turn to the server that owns the fewest."""
    owned = assigned.shards_by_owner
    by_shard_count = [
        (len(owned.get(server, ())), server) for server in servers
    ]
    heapq.heapify(by_shard_count)
    assigned_to: dict[ids.ServerId, list[ids.ShardId]] = (
        collections.defaultdict(list)
    )
    for shard in shards:
        count, server = by_shard_count[0]
        heapq.heapreplace(by_shard_count, (count + 1, server))
        assigned_to[server].append(shard)
    return ownership_changes(assigned_to)


def ownership_changes(
    assigned_to: typing.Mapping[ids.ServerId, list[ids.ShardId]],
) -> tuple[records.Ownership, ...]:
    """Return ownership changes in a fixed order; skip empty ones."""
    return tuple(
        records.Ownership(server=server, shards=tuple(sorted(shards)))
        for server, shards in sorted(assigned_to.items())
        if shards
    )


def _unowned_shards(
    assigned: state.Assignment,
    shard_count: int,
    kept: typing.Collection[ids.ServerId],
) -> list[ids.ShardId]:
    if not assigned.owners:
        return [ids.ShardId(shard) for shard in range(shard_count)]
    owned = assigned.shards_by_owner
    if sum(len(owned.get(server, ())) for server in kept) == shard_count:
        return []
    return [
        ids.ShardId(shard)
        for shard, owner in enumerate(assigned.owners)
        if owner not in kept
    ]
