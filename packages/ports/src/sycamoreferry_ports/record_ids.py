"""Generate ids for log records."""

import secrets

from sycamoreferry_core import ids

RECORD_ID_BYTES = 8


def new_record_id(prefix: str) -> ids.RecordId:
    """Return a random record id, unique across writers."""
    return ids.RecordId(f'{prefix}/{secrets.token_hex(RECORD_ID_BYTES)}')
