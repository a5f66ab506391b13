"""Keep fences rising when the store has lost records."""

from sycamoreferry_core import ids
from sycamoreferry_core.fleet import store_records

# More than instances write while a copy of the store grows old.
OFFSETS_PER_ERA = 16_384
# Limits the size of one append.
_MAX_LOST_ERAS = 18


def offsets_to_skip(
    end: ids.Offset,
    highest_end: ids.Offset,
    *,
    era: store_records.StoreEra,
    claimed_era: store_records.StoreEra,
) -> int:
    """Return how many offsets to skip so that the next fence is the highest.

    Fences follow from offsets, which the store gives out again after it has
    returned to an older copy. `claimed_era` is the era of the last claim that
    the copy has; those of later eras are lost, with the offsets that they
    skipped. `highest_end` is the highest end that was ever read.
    """
    if claimed_era == era:
        return 0
    lost_eras = max(1, min(era - claimed_era, _MAX_LOST_ERAS))
    return max(lost_eras * OFFSETS_PER_ERA, highest_end - end)
