"""Hash keys and map them to shards."""

import xxhash

from sycamoreferry_core import ids

HASH_SEED = 20260


def hash_text(text: str) -> int:
    """Return the 64-bit hash of a text."""
    return xxhash.xxh3_64_intdigest(text.encode(), HASH_SEED)


def shard_of(key: str, shard_count: int) -> ids.ShardId:
    """Return the shard of a key among a fixed number of shards."""
    return ids.ShardId(hash_text(key) % shard_count)
