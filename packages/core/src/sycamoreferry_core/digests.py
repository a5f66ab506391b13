"""Digest sets of shards."""

import typing

import xxhash

from sycamoreferry_core import ids, keys


def digest_shards(shards: typing.Iterable[ids.ShardId]) -> int:
    """Return a digest of a set of shards, whatever its order."""
    text = ','.join(str(shard) for shard in sorted(shards))
    return xxhash.xxh3_64_intdigest(text.encode(), keys.HASH_SEED)
