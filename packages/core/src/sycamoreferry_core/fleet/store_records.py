"""Define the results of calls to the store and a mirror of its records."""

import dataclasses
import enum
import typing

from sycamoreferry_core import ids

TopicName = typing.NewType('TopicName', str)
RecordKey = typing.NewType('RecordKey', str)
# Rises by one each time the store returns to an older copy of its records.
StoreEra = typing.NewType('StoreEra', int)

NO_ERA = StoreEra(0)


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRecord:
    """Store the newest content of a key; None means it was deleted."""

    key: RecordKey
    offset: ids.Offset
    content: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class RecordPage:
    """Carry records and the offset from which to continue reading."""

    records: tuple[StoredRecord, ...]
    end: ids.Offset
    has_more: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryTruncated:
    """Report that the requested records are no longer retained."""


@dataclasses.dataclass(frozen=True, slots=True)
class Appended:
    """Report the offset at which a record was appended."""

    offset: ids.Offset


@dataclasses.dataclass(frozen=True, slots=True)
class Superseded:
    """Report that another record was appended first."""


@enum.unique
class StoreFailureReason(enum.Enum):
    """Name the reasons why a call to the store has no result."""

    UNREACHABLE = 'unreachable'
    UNANSWERED = 'unanswered'
    REJECTED = 'rejected'
    MALFORMED = 'malformed'


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFailure:
    """Report a call without a result; it may still be carried out later."""

    reason: StoreFailureReason
    detail: str

    @property
    def has_no_effect(self) -> bool:
        """Return whether the call was certainly not carried out."""
        return self.reason in {
            StoreFailureReason.UNREACHABLE,
            StoreFailureReason.REJECTED,
        }


class TopicMirror:
    """Keep the newest record of each key of a topic."""

    def __init__(self) -> None:
        self._records: dict[RecordKey, StoredRecord] = {}
        self._end = ids.FIRST_OFFSET
        self._is_complete = False

    @property
    def end(self) -> ids.Offset:
        """Return the offset from which to continue reading."""
        return self._end

    @property
    def is_complete(self) -> bool:
        """Return whether a full listing of the topic was applied."""
        return self._is_complete

    @property
    def is_listed(self) -> bool:
        """Return whether a listing was applied, of the store or of a peer."""
        return self._is_complete or self._end > ids.FIRST_OFFSET

    @property
    def records(self) -> typing.Mapping[RecordKey, StoredRecord]:
        """Return the records by key."""
        return self._records

    def apply(self, page: RecordPage) -> list[StoredRecord]:
        """Apply a page; return the records that are newer than known ones."""
        changed = []
        for record in page.records:
            known = self._records.get(record.key)
            if known is not None and known.offset >= record.offset:
                continue
            self._records[record.key] = record
            changed.append(record)
        self._end = max(self._end, page.end)
        return changed

    def replace(
        self,
        records: typing.Sequence[StoredRecord],
        end: ids.Offset,
    ) -> list[StoredRecord]:
        """Apply a full listing; mark known keys that it lacks as deleted."""
        listed = {record.key for record in records}
        deleted = [
            StoredRecord(key, ids.Offset(end - 1), None)
            for key, known in self._records.items()
            if key not in listed
            and known.content is not None
            and known.offset < end
        ]
        self._is_complete = True
        return self.apply(RecordPage((*records, *deleted), end))
