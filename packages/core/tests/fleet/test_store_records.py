"""Check mirrors of a store that returns to an older copy."""

from sycamoreferry_core import ids
from sycamoreferry_core.fleet import store_records

KEY = store_records.RecordKey('k')


def _page(end: int, era: int) -> store_records.RecordPage:
    records = tuple(
        store_records.StoredRecord(KEY, ids.Offset(offset), b'content')
        for offset in range(end)
    )
    return store_records.RecordPage(
        records, ids.Offset(end), era=store_records.StoreEra(era)
    )


def test_records_are_kept_over_a_copy_without_any() -> None:
    mirror = store_records.TopicMirror()
    mirror.replace(_page(end=3, era=1))
    deleted = mirror.replace(_page(end=0, era=2))
    assert [(record.key, record.content) for record in deleted] == [(KEY, None)]
    assert mirror.records[KEY].content is None


def test_highest_end_falls_with_the_return_to_a_copy() -> None:
    mirror = store_records.TopicMirror()
    mirror.replace(_page(end=3, era=1))
    mirror.replace(_page(end=1, era=2))
    assert (mirror.end, mirror.highest_end) == (1, 3)
