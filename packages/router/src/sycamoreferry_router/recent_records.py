"""Keep the newest log records for peers that cannot reach the log."""

import collections
import typing

from sycamoreferry_core import ids, records

KEPT_RECORDS = 1024
KEPT_BYTES = 262_144


class RecentRecords:
    """Hold consecutive records, bounded in count and bytes."""

    def __init__(self) -> None:
        self._logged: collections.deque[records.LoggedRecord] = (
            collections.deque()
        )
        self._bytes = 0

    def add(self, logged: typing.Iterable[records.LoggedRecord]) -> None:
        """Keep records that follow those held; start over after a gap."""
        for entry in logged:
            self._add_one(entry)

    def read(
        self,
        start: ids.Offset,
        limit: int,
    ) -> tuple[records.LoggedRecord, ...]:
        """Return records from an offset on; none where it is not held."""
        if not self._logged or start < self._logged[0].offset:
            return ()
        found = [entry for entry in self._logged if entry.offset >= start]
        return tuple(found[:limit])

    def _add_one(self, entry: records.LoggedRecord) -> None:
        if self._logged and entry.offset <= self._logged[-1].offset:
            return
        if self._logged and entry.offset > self._logged[-1].offset + 1:
            self._logged.clear()
            self._bytes = 0
        self._logged.append(entry)
        self._bytes += len(entry.payload)
        while len(self._logged) > KEPT_RECORDS or self._bytes > KEPT_BYTES:
            self._bytes -= len(self._logged.popleft().payload)
