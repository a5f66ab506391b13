"""Send a changed record as its difference from the earlier one.

Load pattern: hundreds of owners of keys share one record, each move changes two
of its rows, and the record goes to every instance.
"""

import zlib

from sycamoreferry_core import ids
from sycamoreferry_core.fleet import store_records
from sycamoreferry_gateway import peer_messages

# What the compression can refer to.
_WINDOW_BYTES = 32_768
_MAX_RECORD_BYTES = 8 * 1024 * 1024


def build(
    topic: store_records.TopicName,
    earlier: store_records.StoredRecord,
    record: store_records.StoredRecord,
    end: ids.Offset,
    era: store_records.StoreEra,
) -> peer_messages.RecordPatch:
    """Return the difference between two records with content."""
    packer = zlib.compressobj(zdict=_dictionary(earlier))
    patch = packer.compress(record.content or b'') + packer.flush()
    return peer_messages.RecordPatch(
        topic, record.key, earlier.offset, record.offset, end, era, patch
    )


def apply(
    patch: peer_messages.RecordPatch, earlier: store_records.StoredRecord
) -> store_records.RecordPage | None:
    """Return the changed record; None if the patch is of another record.

    Raises zlib.error if the patch is malformed.
    """
    if earlier.offset != patch.base or not earlier.content:
        return None
    unpacker = zlib.decompressobj(zdict=_dictionary(earlier))
    content = unpacker.decompress(patch.patch, _MAX_RECORD_BYTES)
    record = store_records.StoredRecord(
        earlier.key, ids.Offset(patch.offset), content
    )
    return store_records.RecordPage(
        (record,), ids.Offset(patch.end), era=store_records.StoreEra(patch.era)
    )


def _dictionary(record: store_records.StoredRecord) -> bytes:
    return (record.content or b'')[-_WINDOW_BYTES:]
