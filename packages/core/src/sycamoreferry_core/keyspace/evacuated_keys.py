"""Decide when the keys of an evacuated data centre move, and in which ranges.

Load pattern: a third of all keys is to move within seconds while callers use
them. A key has no owner between its release and the next grant, so ranges move
one after the other rather than all at once. Each is cut so that the servers
that stay share the work evenly.
"""

import math
import typing

from sycamoreferry_core.keyspace import key_work, owners

# The moves start within this time after the evacuation became known, which
# leaves as much again for the last ones before owners are used no more.
_START_MS = 1_000
# The coordinator starts moves at this interval.
STEP_MS = 100
# Each range costs announcements to all instances. With 60 at once, a
# coordinator of 195 instances was not heard for 0.9 s and lost its term.
_MAX_STARTS = 12
_MAX_RANGES = 48
_MAX_PARTS = 4
# With more ranges than this for each server, they are small enough.
_RANGES_PER_SERVER = 2


def count_due(idle_count: int, elapsed_ms: int) -> int:
    """Return how many of the ranges that don't move yet start to move now."""
    left_ms = max(STEP_MS, _START_MS - elapsed_ms)
    return min(_MAX_STARTS, math.ceil(idle_count * STEP_MS / left_ms))


def count_parts(held: int, evacuated: int, staying: int) -> int:
    """Return into how many parts to cut each of the held ranges.

    It depends on the numbers of servers that are evacuated and that stay.
    """
    if not held or held > _RANGES_PER_SERVER * evacuated:
        return 1
    wanted = min(math.ceil(staying / evacuated), _MAX_PARTS)
    return max(1, min(wanted, _MAX_RANGES // held))


def cut(
    keys: owners.KeyRange,
    work: typing.Mapping[owners.Key, float],
    count: int,
) -> list[owners.KeyRange]:
    """Cut a range into at most so many parts of about the same work.

    A range without known work is cut into parts of the same size.
    """
    known = key_work.KeyWork(work)
    total = known.of_range(keys)
    parts = []
    first = keys.first
    for number in range(1, count):
        last = _part_end(keys, known, total, number / count)
        if first <= last < keys.last:
            parts.append(owners.KeyRange(first, last))
            first = owners.Key(last + 1)
    parts.append(owners.KeyRange(first, keys.last))
    return parts


def _part_end(
    keys: owners.KeyRange,
    work: key_work.KeyWork,
    total: float,
    share: float,
) -> owners.Key:
    """Return the last key of the first parts with a share of the work."""
    if not total:
        return owners.Key(keys.first + int(keys.size * share) - 1)
    last = work.prefix_within(keys, total * share)
    return owners.Key(keys.first - 1) if last is None else last
