"""Look up the work of ranges of keys.

Load pattern: thousands of busy keys on hundreds of servers, some of which hold
dozens of ranges. Plans look up each range several times a second, so a lookup
must not pass over all keys.
"""

import bisect
import itertools
import typing

from sycamoreferry_core.keyspace import owners


class KeyWork:
    """Hold the work of the keys that have any, in order, with its sums."""

    def __init__(self, work: typing.Mapping[owners.Key, float]) -> None:
        self._keys = sorted(work)
        self._work = work
        # The work of all keys before each one, and of all keys at the end.
        self._sums = list(
            itertools.accumulate(
                (work[key] for key in self._keys), initial=float(0)
            )
        )

    @property
    def total(self) -> float:
        """Return the work of all keys."""
        return self._sums[-1]

    def of_key(self, key: owners.Key) -> float:
        """Return the work of a busy key; raise KeyError if it has none."""
        return self._work[key]

    def of_range(self, keys: owners.KeyRange) -> float:
        """Return the total work of the keys in a range."""
        start, end = self._bounds(keys)
        return self._sums[end] - self._sums[start]

    def busy_keys(self, keys: owners.KeyRange) -> list[owners.Key]:
        """Return the keys of a range that have work, in order."""
        start, end = self._bounds(keys)
        return self._keys[start:end]

    def prefix_within(
        self, keys: owners.KeyRange, limit: float
    ) -> owners.Key | None:
        """Return the last busy key of the longest prefix within a limit.

        None if the first busy key alone exceeds it, or if there is none.
        """
        start, end = self._bounds(keys)
        position = bisect.bisect_right(
            self._sums, self._sums[start] + limit, start, end + 1
        )
        last = min(position - 1, end) - 1
        return self._keys[last] if last >= start else None

    def suffix_within(
        self, keys: owners.KeyRange, limit: float
    ) -> owners.Key | None:
        """Return the first busy key of the longest suffix within a limit."""
        start, end = self._bounds(keys)
        first = bisect.bisect_left(
            self._sums, self._sums[end] - limit, start, end + 1
        )
        return self._keys[first] if first < end else None

    def _bounds(self, keys: owners.KeyRange) -> tuple[int, int]:
        """Return the positions of the first busy key, and behind the last."""
        return (
            bisect.bisect_left(self._keys, keys.first),
            bisect.bisect_right(self._keys, keys.last),
        )
