"""Digest sets of shards."""

import functools

import xxhash

from sycamoreferry_core import ids, keys

# One set for each of the backend servers of a large service.
REMEMBERED_DIGESTS = 4096


@functools.lru_cache(REMEMBERED_DIGESTS)
def digest_shards(shards: frozenset[ids.ShardId]) -> int:
    """Return a digest of a set of shards, whatever its order."""
    text = ','.join(str(shard) for shard in sorted(shards))
    return xxhash.xxh3_64_intdigest(text.encode(), keys.HASH_SEED)
