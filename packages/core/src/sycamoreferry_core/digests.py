"""Compute digests of sets of shards."""

import functools

import xxhash

from sycamoreferry_core import ids, keys

# Room for one set per backend server of a large service.
DIGEST_CACHE_SIZE = 4096


@functools.lru_cache(DIGEST_CACHE_SIZE)
def digest_shards(shards: frozenset[ids.ShardId]) -> int:
    """Return a 64-bit digest of a set of shards, regardless of order."""
    text = ','.join(str(shard) for shard in sorted(shards))
    return xxhash.xxh3_64_intdigest(text.encode(), keys.HASH_SEED)
