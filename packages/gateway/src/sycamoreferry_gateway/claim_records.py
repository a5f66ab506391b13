"""Build the records with which a coordinator claims its term in an era.

They are appended together with the assignment. Instances of earlier versions
ignore them, as they read the assignment's key only.
"""

import msgspec

from sycamoreferry_core import decoding
from sycamoreferry_core.fleet import store_records

# Holds the era of the store in which a term was last claimed.
ERA_KEY = store_records.RecordKey('era')
# A record without content that only takes up an offset.
_FILLER = store_records.NewRecord(store_records.RecordKey('0'), b'')

_decoder: msgspec.msgpack.Decoder[int] = msgspec.msgpack.Decoder(decoding.Count)


def build_era_records(
    era: store_records.StoreEra,
    skipped_offsets: int,
) -> list[store_records.NewRecord]:
    """Build the records that skip offsets and name the era of a claim."""
    content = msgspec.msgpack.encode(int(era))
    return [
        *((_FILLER,) * skipped_offsets),
        store_records.NewRecord(ERA_KEY, content),
    ]


def decode_era(
    record: store_records.StoredRecord | None,
) -> store_records.StoreEra:
    """Return the era of the last claim; NO_ERA if no record names one."""
    if record is None or record.content is None:
        return store_records.NO_ERA
    try:
        return store_records.StoreEra(decoding.decode(_decoder, record.content))
    except msgspec.MsgspecError:
        return store_records.NO_ERA
