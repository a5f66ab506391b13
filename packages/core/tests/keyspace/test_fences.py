"""Check fences against a model of a store that returns to older copies."""

import dataclasses

import hypothesis
from hypothesis import strategies

from sycamoreferry_core import ids
from sycamoreferry_core.fleet import store_records
from sycamoreferry_core.keyspace import fences

WRITES = strategies.integers(min_value=0, max_value=fences.OFFSETS_PER_ERA // 8)
# Each restore: records written before it, and which copy it returns to.
RESTORES = strategies.lists(
    strategies.tuples(WRITES, strategies.integers(0, 9)), max_size=7
)


@dataclasses.dataclass(frozen=True)
class _Copy:
    end: int
    claimed_era: int


def _claim(copy: _Copy, era: int) -> _Copy:
    skipped = fences.offsets_to_skip(
        ids.Offset(copy.end),
        ids.FIRST_OFFSET,
        era=store_records.StoreEra(era),
        claimed_era=store_records.StoreEra(copy.claimed_era),
    )
    # The record of the era and the assignment follow the skipped offsets.
    return _Copy(copy.end + skipped + 2, era)


@hypothesis.given(RESTORES)
def test_instance_without_memory_repeats_a_fence_after_restores(
    restores: list[tuple[int, int]],
) -> None:
    copies = [_Copy(0, 0)]
    claimed = _claim(copies[0], 1)
    highest = claimed.end
    for lost_era, (writes, age) in enumerate(restores, start=1):
        written = dataclasses.replace(claimed, end=claimed.end + writes)
        highest = written.end
        copies.extend((claimed, written))
        claimed = _claim(copies[-1 - age % len(copies)], lost_era + 1)
        assert claimed.end > highest


def test_fences_fall_below_the_highest_known_offset() -> None:
    highest = ids.Offset(10 * fences.OFFSETS_PER_ERA)
    skipped = fences.offsets_to_skip(
        ids.Offset(5),
        highest,
        era=store_records.StoreEra(2),
        claimed_era=store_records.StoreEra(1),
    )
    assert 5 + skipped >= highest
