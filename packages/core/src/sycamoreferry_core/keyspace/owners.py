"""Map each range of keys to the backend server that owns it."""

import bisect
import dataclasses
import typing

from sycamoreferry_core import ids
from sycamoreferry_core.fleet import servers

Key = typing.NewType('Key', int)

_KEY_BITS = 16

FIRST_KEY = Key(0)
KEY_COUNT = 2**_KEY_BITS
LAST_KEY = Key(KEY_COUNT - 1)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class KeyRange:
    """Represent the keys from first to last, both inclusive."""

    first: Key
    last: Key

    @property
    def size(self) -> int:
        """Return the number of keys in the range."""
        return self.last - self.first + 1

    def overlaps(self, other: 'KeyRange') -> bool:
        """Return whether the ranges have a key in common."""
        return self.first <= other.last and other.first <= self.last


@dataclasses.dataclass(frozen=True, slots=True)
class Ownership:
    """Assign a range to a server incarnation under a fencing token."""

    keys: KeyRange
    owner: servers.ServerIncarnation
    fence: ids.Fence
    handover: str = ''


class OwnerTable:
    """Look up the owner of a key of one service."""

    def __init__(self, rows: typing.Iterable[Ownership] = ()) -> None:
        self._rows = tuple(sorted(rows, key=lambda row: row.keys.first))
        self._firsts = [row.keys.first for row in self._rows]

    @property
    def rows(self) -> tuple[Ownership, ...]:
        """Return the rows in the order of their keys."""
        return self._rows

    @property
    def highest_fence(self) -> ids.Fence:
        """Return the highest fence of all rows."""
        return max((row.fence for row in self._rows), default=ids.NO_FENCE)

    def owner_of(self, key: Key) -> Ownership | None:
        """Return the row that contains a key; None if it has no owner."""
        index = bisect.bisect_right(self._firsts, key) - 1
        if index < 0 or self._rows[index].keys.last < key:
            return None
        return self._rows[index]

    def contains(self, row: Ownership) -> bool:
        """Return whether all keys of a row have its owner and fencing token."""
        held = self.owner_of(row.keys.first)
        return (
            held is not None
            and held.owner == row.owner
            and held.fence == row.fence
            and held.keys.last >= row.keys.last
        )

    def replace(self, changed: Ownership) -> 'OwnerTable':
        """Return a table in which a row replaces earlier owners of its keys."""
        kept: list[Ownership] = []
        for row in self._rows:
            kept.extend(_without(row, changed.keys))
        kept.append(changed)
        return OwnerTable(kept)

    def with_fence(self, fence: ids.Fence) -> 'OwnerTable':
        """Return a copy with one fence; merge adjacent rows of one owner."""
        merged: list[Ownership] = []
        for row in self._rows:
            keys = row.keys
            if merged and _adjoins(merged[-1], row):
                keys = KeyRange(merged.pop().keys.first, row.keys.last)
            merged.append(Ownership(keys, row.owner, fence))
        return OwnerTable(merged)

    def unowned(self) -> list[KeyRange]:
        """Return the ranges without an owner."""
        gaps = []
        next_key: int = FIRST_KEY
        for row in self._rows:
            if row.keys.first > next_key:
                gaps.append(KeyRange(Key(next_key), Key(row.keys.first - 1)))
            next_key = row.keys.last + 1
        if next_key <= LAST_KEY:
            gaps.append(KeyRange(Key(next_key), LAST_KEY))
        return gaps


def subtract(
    row: Ownership,
    excluded: typing.Iterable[KeyRange],
) -> list[Ownership]:
    """Return the parts of a row that are outside the excluded ranges."""
    parts = [row]
    for keys in excluded:
        parts = [left for part in parts for left in _without(part, keys)]
    return parts


def _adjoins(before: Ownership, row: Ownership) -> bool:
    follows = before.keys.last + 1 == row.keys.first
    return follows and before.owner == row.owner


def _without(row: Ownership, keys: KeyRange) -> list[Ownership]:
    if not row.keys.overlaps(keys):
        return [row]
    parts = []
    if row.keys.first < keys.first:
        before = KeyRange(row.keys.first, Key(keys.first - 1))
        parts.append(dataclasses.replace(row, keys=before))
    if row.keys.last > keys.last:
        after = KeyRange(Key(keys.last + 1), row.keys.last)
        parts.append(dataclasses.replace(row, keys=after))
    return parts


def split_evenly(count: int) -> list[KeyRange]:
    """Divide all keys into a count of ranges of nearly equal size."""
    total = LAST_KEY + 1
    edges = [total * index // count for index in range(count + 1)]
    return [
        KeyRange(Key(first), Key(next_key - 1))
        for first, next_key in zip(edges, edges[1:], strict=False)
    ]
