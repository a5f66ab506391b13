"""Digest sets of shards."""

import functools

import xxhash

from sycamoreferry_core import ids, keys

# Holds the sets of every server of a group, before and after a move.
REMEMBERED_DIGESTS = 2048


@functools.lru_cache(maxsize=REMEMBERED_DIGESTS)
def digest_shards(shards: frozenset[ids.ShardId]) -> int:
    """Return a digest of a set of shards, whatever its order."""
    text = ','.join(str(shard) for shard in sorted(shards))
    return xxhash.xxh3_64_intdigest(text.encode(), keys.HASH_SEED)
