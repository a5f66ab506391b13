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
# Precedes also the deletions of a listing without records.
_BEFORE_ERA = ids.Offset(ids.NO_OFFSET - 1)


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRecord:
    """Store the newest content of a key; None means it was deleted."""

    key: RecordKey
    offset: ids.Offset
    content: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class NewRecord:
    """Hold a record to be appended; without content its key is dropped."""

    key: RecordKey
    content: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class RecordPage:
    """Carry records and the offset from which to continue reading."""

    records: tuple[StoredRecord, ...]
    end: ids.Offset
    has_more: bool = False
    # Offsets of different eras can't be compared.
    era: StoreEra = NO_ERA


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
        self._highest_end = ids.FIRST_OFFSET
        self._era = NO_ERA
        self._has_lost_records = False
        self._is_complete = False

    @property
    def end(self) -> ids.Offset:
        """Return the offset from which to continue reading."""
        return self._end

    @property
    def highest_end(self) -> ids.Offset:
        """Return the highest end offset of all eras."""
        return self._highest_end

    @property
    def era(self) -> StoreEra:
        """Return the era of the store to which the offsets belong."""
        return self._era

    @property
    def has_lost_records(self) -> bool:
        """Return whether the store returned to a copy since the start."""
        return self._has_lost_records

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
        """Apply a page; return the records that are newer than known ones.

        A page of an earlier era changes nothing.
        """
        if page.era < self._era:
            return []
        if page.era > self._era:
            self._begin_era(page.era)
        changed = []
        for record in page.records:
            known = self._records.get(record.key)
            if known is not None and known.offset >= record.offset:
                continue
            self._records[record.key] = record
            changed.append(record)
        self._end = max(self._end, page.end)
        self._highest_end = max(self._highest_end, self._end)
        return changed

    def replace(
        self,
        listing: RecordPage,
    ) -> list[StoredRecord]:
        """Apply a full listing; mark known keys that it lacks as deleted."""
        if listing.era < self._era:
            return []
        if listing.era > self._era:
            self._begin_era(listing.era)
        end = listing.end
        listed = {record.key for record in listing.records}
        deleted = [
            StoredRecord(key, ids.Offset(end - 1), None)
            for key, known in self._records.items()
            if key not in listed
            and known.content is not None
            and known.offset < end
        ]
        self._is_complete = True
        records = (*listing.records, *deleted)
        return self.apply(dataclasses.replace(listing, records=records))

    def _begin_era(self, era: StoreEra) -> None:
        """Forget all offsets; the contents stay until they are listed."""
        self._has_lost_records = self._era != NO_ERA
        self._era = era
        self._end = ids.FIRST_OFFSET
        self._is_complete = False
        self._records = {
            key: dataclasses.replace(record, offset=_BEFORE_ERA)
            for key, record in self._records.items()
        }
