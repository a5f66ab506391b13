"""Append the assignment to the store and tell whether it is there."""

import enum
import typing

from sycamoreferry_adapter import store_calls
from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import store_records
from sycamoreferry_gateway import (
    assignment,
    event_log,
    peer_messages,
    record_patches,
    store_client,
    view,
)

# Writes are abandoned when the store has refused them for this long, so that
# released keys do not stay without an owner.
_MAX_REFUSAL_MS = 400
# Interval after which a refused write is tried again.
_REFUSED_RETRY_INTERVAL_MS = 1_000

Announce = typing.Callable[[peer_messages.PeerMessage], None]


@enum.unique
class WriteResult(enum.Enum):
    """Tell whether a written assignment is in the store."""

    PRESENT = 'present'
    ABSENT = 'absent'
    UNKNOWN = 'unknown'


class AssignmentWriter:
    """Write at the known end of the topic, and announce what was written."""

    def __init__(
        self,
        cluster_view: view.View,
        client: store_client.StoreClient,
        log: event_log.EventLog,
        announce: Announce,
    ) -> None:
        self._view = cluster_view
        self._clock = cluster_view.clock
        self._client = client
        self._log = log
        self._announce = announce
        self._next_offset = ids.FIRST_OFFSET
        # The times of the first and the last in a series of refused writes.
        self._refused_since = clock.LONG_AGO
        self._refused_at = clock.LONG_AGO

    @property
    def next_offset(self) -> ids.Offset:
        """Return the offset at which the next record is appended."""
        return self._next_offset

    @property
    def is_refused(self) -> bool:
        """Tell whether the store has refused writes for too long to wait."""
        if self._clock.now() - self._refused_at >= _REFUSED_RETRY_INTERVAL_MS:
            return False
        return self._refused_at - self._refused_since >= _MAX_REFUSAL_MS

    @property
    def has_refused(self) -> bool:
        """Tell whether the store refused the last write."""
        return self._refused_at != clock.LONG_AGO

    def adopt(self, listing: store_records.RecordPage) -> None:
        """Continue from a listing of the topic, unless its era is over."""
        self._view.replace(store_calls.OWNERS_TOPIC, listing)
        if listing.era == self._view.mirrors[store_calls.OWNERS_TOPIC].era:
            self._next_offset = listing.end

    async def append(
        self,
        proposed: assignment.Assignment,
        era: store_records.StoreEra,
        skipped: typing.Sequence[store_records.NewRecord] = (),
    ) -> WriteResult:
        """Append an assignment at the known end, after skipped records.

        Returns whether it is in the store, which must be in the given era.
        """
        content = assignment.encode_assignment(proposed)
        at = self._next_offset
        records = (
            *skipped,
            store_records.NewRecord(assignment.ASSIGNMENT_KEY, content),
        )
        appended = await self._client.append(
            store_calls.OWNERS_TOPIC, records, at, era
        )
        if isinstance(appended, store_records.Appended):
            self._refused_at = clock.LONG_AGO
            self._apply_written(appended.offset, records, era)
            return WriteResult.PRESENT
        if isinstance(appended, store_records.StoreFailure):
            return self._record_failure(appended, at)
        listing = await self._client.newest(store_calls.OWNERS_TOPIC)
        if isinstance(listing, store_records.StoreFailure):
            return WriteResult.UNKNOWN
        self.adopt(listing)
        is_present = self._view.assignment.write == proposed.write
        if is_present and listing.era == era:
            return WriteResult.PRESENT
        return WriteResult.ABSENT

    def _record_failure(
        self,
        failure: store_records.StoreFailure,
        at: ids.Offset,
    ) -> WriteResult:
        self._log.write_rate_limited(
            'coordinator',
            'assignment was not confirmed by the store',
            trouble=failure.reason.value,
            detail=failure.detail,
            offset=at,
        )
        if not failure.has_no_effect:
            return WriteResult.UNKNOWN
        now = self._clock.now()
        if now - self._refused_at >= _REFUSED_RETRY_INTERVAL_MS:
            self._refused_since = now
        self._refused_at = now
        return WriteResult.ABSENT

    def _apply_written(
        self,
        offset: ids.Offset,
        records: typing.Sequence[store_records.NewRecord],
        era: store_records.StoreEra,
    ) -> None:
        self._next_offset = ids.Offset(offset + len(records))
        written = {
            record.key: store_records.StoredRecord(
                record.key,
                ids.Offset(offset + position),
                record.content or None,
            )
            for position, record in enumerate(records)
        }
        page = store_records.RecordPage(
            tuple(written.values()), self._next_offset, era=era
        )
        mirror = self._view.mirrors[store_calls.OWNERS_TOPIC]
        earlier = mirror.records.get(assignment.ASSIGNMENT_KEY)
        is_patch = len(records) == 1 and mirror.era == era
        self._view.apply(store_calls.OWNERS_TOPIC, page)
        if is_patch and earlier is not None and earlier.content:
            self._announce(
                record_patches.build(
                    store_calls.OWNERS_TOPIC,
                    earlier,
                    written[assignment.ASSIGNMENT_KEY],
                    self._next_offset,
                    era,
                )
            )
        else:
            self._announce_all(era)

    def _announce_all(self, era: store_records.StoreEra) -> None:
        mirror = self._view.mirrors[store_calls.OWNERS_TOPIC]
        self._announce(
            peer_messages.Records(
                store_calls.OWNERS_TOPIC,
                self._next_offset,
                [
                    peer_messages.RecordRow(
                        record.key, record.offset, record.content
                    )
                    for record in mirror.records.values()
                ],
                era=era,
            ),
        )
