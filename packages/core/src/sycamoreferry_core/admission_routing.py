"""Map idempotency keys to partitions, and partitions to instances."""

import hashlib
import typing

from sycamoreferry_core import admission_events, ids, keys, state

DIGEST_BYTES = 16
FOLLOWER_COUNT = 2


def digest(*parts: str | bytes) -> str:
    """Digest parts with length prefixes, so that their boundaries count."""
    hashed = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        content = part.encode() if isinstance(part, str) else part
        hashed.update(str(len(content)).encode())
        hashed.update(b':')
        hashed.update(content)
    return hashed.hexdigest()


def partition_of(key: ids.AdmissionKey, partitions: int) -> int:
    """Return the partition of a key."""
    return keys.hash_text(key) % partitions


def rank_instances(
    partition: int,
    instances: typing.Iterable[state.InstanceState],
) -> tuple[admission_events.Member, ...]:
    """Rank the joined instances for a partition by rendezvous hashing."""
    ranked = sorted(
        instances,
        key=lambda known: keys.hash_text(f'{partition}/{known.instance}'),
    )
    return tuple(
        admission_events.Member(known.instance, known.data_centre)
        for known in ranked
    )


def is_follower(
    ranking: typing.Sequence[admission_events.Member],
    instance: ids.InstanceId,
) -> bool:
    """Tell whether an instance follows a partition before any request."""
    first = [member.instance for member in ranking[:FOLLOWER_COUNT]]
    return instance in first
