"""Let the requests of revoked shards end before the shards are given back."""

import collections
import contextlib
import typing

from sycamoreferry_core import clock, ids


class ClosingShards:
    """Count the requests that run for each shard, and close shards."""

    def __init__(self, timer: clock.Clock) -> None:
        self._clock = timer
        self._running: collections.Counter[ids.ShardId] = collections.Counter()
        self._closed_at: dict[ids.ShardId, clock.Millis] = {}

    def forget(self) -> None:
        """Lose what is closing, as in a crash."""
        self._closed_at = {}

    @contextlib.contextmanager
    def running(self, shard: ids.ShardId) -> typing.Iterator[None]:
        """Count a request while it runs for a shard."""
        self._running[shard] += 1
        try:
            yield
        finally:
            self._running[shard] -= 1

    def close(self, shard: ids.ShardId, grace_ms: int) -> None:
        """Close a shard when its requests ended, or when the grace is over."""
        closed_at = clock.later(self._clock.now(), grace_ms)
        self._closed_at.setdefault(shard, closed_at)

    def reopen(self, shard: ids.ShardId) -> None:
        """Let new requests run for a shard that was granted again."""
        self._closed_at.pop(shard, None)

    def is_closing(self, shard: ids.ShardId) -> bool:
        """Tell whether a shard takes no new requests."""
        return shard in self._closed_at

    def take_closed(self) -> tuple[ids.ShardId, ...]:
        """Return the shards that can be given back, and forget them."""
        now = self._clock.now()
        closed = tuple(
            shard
            for shard, closed_at in self._closed_at.items()
            if now >= closed_at or not self._running[shard]
        )
        for shard in closed:
            self._closed_at.pop(shard)
        return closed
