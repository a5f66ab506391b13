"""Estimate the request rate of each key.

Load pattern: within a second a few hundred neighbouring keys draw a third of
all requests. Counts over a few seconds tell the keys apart, but lag behind.
Those of a short time tell that a range of keys rises, as all of its keys count
together.
"""

import collections
import math
import typing

from sycamoreferry_core import clock
from sycamoreferry_core.keyspace import owners

# Long enough to tell busy keys from idle ones.
TIME_CONSTANT_MS = 2_500
# Short enough to detect a rising range well within a second.
_RECENT_MS = 600
_NEGLIGIBLE_COUNT = 0.005
_DECAY_STEP_MS = 100
_FULL_WEIGHT_MS = 60_000
# Neighbouring keys rise together.
_BLOCK_BITS = 7
# Recent requests for a block vary at random; beyond this it rises.
_RISING_DEVIATIONS = 2
_RISING_REQUESTS = 2

_Block = typing.NewType('_Block', int)


class DecayedCounts:
    """Count requests by key; earlier ones weigh exponentially less."""

    def __init__(self, time_constant_ms: int) -> None:
        self._time_constant_ms = time_constant_ms
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
        weight = 1 - math.exp(-seen_ms / self._time_constant_ms)
        window_s = clock.seconds(self._time_constant_ms) * weight
        return {key: count / window_s for key, count in self._counts.items()}

    def _decay(self, now: clock.Millis) -> None:
        if self._at == clock.LONG_AGO:
            self._at = now
            self._started = now
        elapsed = now - self._at
        if elapsed < _DECAY_STEP_MS:
            return
        factor = math.exp(-elapsed / self._time_constant_ms)
        kept = {
            key: count * factor
            for key, count in self._counts.items()
            if count * factor > _NEGLIGIBLE_COUNT
        }
        self._counts = collections.defaultdict(float, kept)
        self._at = now


class KeyDemand:
    """Estimate the request rate of each key, and of ranges that rise."""

    def __init__(self) -> None:
        self._usual = DecayedCounts(TIME_CONSTANT_MS)
        self._recent = DecayedCounts(_RECENT_MS)

    def add(self, key: owners.Key, count: int, now: clock.Millis) -> None:
        """Count requests for a key."""
        self._usual.add(key, count, now)
        self._recent.add(key, count, now)

    def rates(self, now: clock.Millis) -> dict[owners.Key, float]:
        """Return the requests per second of each key.

        Keys of a block that rises keep their shares of its recent rate.
        """
        usual = self._usual.rates(now)
        factors = _rising_factors(
            _sum_blocks(usual), _sum_blocks(self._recent.rates(now))
        )
        if not factors:
            return usual
        return {
            key: rate * factors.get(_block_of(key), 1)
            for key, rate in usual.items()
        }


def _rising_factors(
    usual: typing.Mapping[_Block, float],
    recent: typing.Mapping[_Block, float],
) -> dict[_Block, float]:
    """Return by how much the recent rate of each rising block is higher."""
    window_s = clock.seconds(_RECENT_MS)
    factors = {}
    for block, rate in recent.items():
        expected = usual.get(block, float(0)) * window_s
        highest = (
            expected
            + _RISING_DEVIATIONS * math.sqrt(expected)
            + _RISING_REQUESTS
        )
        if expected and rate * window_s > highest:
            factors[block] = rate * window_s / expected
    return factors


def _sum_blocks(
    rates: typing.Mapping[owners.Key, float],
) -> dict[_Block, float]:
    sums: collections.defaultdict[_Block, float] = collections.defaultdict(
        float
    )
    for key, rate in rates.items():
        sums[_block_of(key)] += rate
    return sums


def _block_of(key: owners.Key) -> _Block:
    return _Block(key >> _BLOCK_BITS)
