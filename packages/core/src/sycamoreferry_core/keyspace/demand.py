"""Estimate the request rate of each key."""

import collections
import math

from sycamoreferry_core import clock
from sycamoreferry_core.keyspace import owners

# Short enough to detect a new hot key within about a second.
TIME_CONSTANT_MS = 2_500
_NEGLIGIBLE_COUNT = 0.005


class KeyDemand:
    """Keep an exponentially decayed request rate by key."""

    def __init__(self) -> None:
        self._counts: collections.defaultdict[owners.Key, float] = (
            collections.defaultdict(float)
        )
        self._at = clock.LONG_AGO
        self._started = clock.LONG_AGO

    def add(self, key: owners.Key, count: int, now: clock.Millis) -> None:
        """Count requests for a key."""
        self._decay(now)
        self._counts[key] += count

    def rates(self, now: clock.Millis) -> dict[owners.Key, float]:
        """Return the requests per second of each key."""
        self._decay(now)
        seen_ms = min(max(1, now - self._started), _FULL_WEIGHT_MS)
        weight = 1 - math.exp(-seen_ms / TIME_CONSTANT_MS)
        window_s = clock.seconds(TIME_CONSTANT_MS) * weight
        return {key: count / window_s for key, count in self._counts.items()}

    def _decay(self, now: clock.Millis) -> None:
        if self._at == clock.LONG_AGO:
            self._at = now
            self._started = now
        elapsed = now - self._at
        if elapsed < _DECAY_STEP_MS:
            return
        factor = math.exp(-elapsed / TIME_CONSTANT_MS)
        kept = {
            key: count * factor
            for key, count in self._counts.items()
            if count * factor > _NEGLIGIBLE_COUNT
        }
        self._counts = collections.defaultdict(float, kept)
        self._at = now


_DECAY_STEP_MS = 100
_FULL_WEIGHT_MS = 60_000
