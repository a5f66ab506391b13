"""Plan who is to own each shard, with the fewest moves."""

import collections
import heapq
import typing

from sycamoreferry_core import ids, records, state

Shards = typing.Iterable[ids.ShardId]

# Keeps a record of changes well under what a log service takes at once.
SHARDS_PER_RECORD = 4096


def plan_changes(
    assigned: state.Assignment,
    shard_count: int,
    servers: typing.Collection[ids.ServerId],
    staying: typing.Collection[ids.ServerId] = (),
) -> tuple[records.Ownership, ...]:
    """Give each shard without a server to the servers that own fewest."""
    if not servers:
        return ()
    kept = {*servers, *staying}
    orphans = _orphans(assigned, shard_count, kept)
    return hand_out(assigned, orphans[:SHARDS_PER_RECORD], servers)


def hand_out(
    assigned: state.Assignment,
    shards: Shards,
    servers: typing.Collection[ids.ServerId],
) -> tuple[records.Ownership, ...]:
    """Give shards one by one to the server that owns fewest."""
    owned = assigned.shards_by_owner
    room = [(len(owned.get(server, ())), server) for server in servers]
    heapq.heapify(room)
    given: dict[ids.ServerId, list[ids.ShardId]] = collections.defaultdict(list)
    for shard in shards:
        count, server = room[0]
        heapq.heapreplace(room, (count + 1, server))
        given[server].append(shard)
    return to_changes(given)


def to_changes(
    given: typing.Mapping[ids.ServerId, list[ids.ShardId]],
) -> tuple[records.Ownership, ...]:
    """Return the changes that a record carries."""
    return tuple(
        records.Ownership(server=server, shards=tuple(sorted(shards)))
        for server, shards in sorted(given.items())
        if shards
    )


def _orphans(
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
