"""Claim the coordinator's term in the store and write owners under it."""

import asyncio
import dataclasses
import enum
import typing
import uuid

from sycamoreferry_adapter import store_calls
from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import instances, store_records
from sycamoreferry_core.keyspace import leases, owners
from sycamoreferry_gateway import (
    assignment,
    event_log,
    order_sender,
    peer_messages,
    store_client,
    view,
)

# A coordinator may act for this long after the store last confirmed its term.
AUTHORITY_MS = 1_500
# When the term has not been confirmed for longer than this, the coordinator
# grants the longest leases allowed, as its authority may lapse soon.
_EXPIRY_WARNING_MS = 900
_WRITE_RETRY_INTERVAL_MS = 100
# Writes are abandoned when the store has refused them for this long, so that
# released keys do not stay without an owner.
_MAX_REFUSAL_MS = 400
# Interval after which a refused write is tried again.
_REFUSED_RETRY_INTERVAL_MS = 1_000


@enum.unique
class _WriteResult(enum.Enum):
    """Tell whether a written assignment is in the store."""

    PRESENT = 'present'
    ABSENT = 'absent'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(slots=True, eq=False)
class _PendingWrite:
    """Hold rows to be written and, once written, the rows with fences."""

    service: ids.ServiceName
    rows: typing.Sequence[owners.Ownership]
    written: list[owners.Ownership] | None = None


_FencedRows = list[owners.Ownership]
Announce = typing.Callable[[peer_messages.PeerMessage], None]


class TermManager:
    """Claim, confirm and give up the term, and write owners under it."""

    def __init__(
        self,
        cluster_view: view.View,
        client: store_client.StoreClient,
        orders: order_sender.OrderSender,
        log: event_log.EventLog,
        announce: Announce,
    ) -> None:
        self._view = cluster_view
        self._clock = cluster_view.clock
        self._client = client
        self._orders = orders
        self._log = log
        self._announce = announce
        self._write_lock = asyncio.Lock()
        self._pending_writes: list[_PendingWrite] = []
        self._term = ids.NO_TERM
        self._given_up_term = ids.NO_TERM
        self._next_offset = ids.FIRST_OFFSET
        self._confirmed_at = clock.LONG_AGO
        # The times of the first and the last in a series of refused writes.
        self._refused_since = clock.LONG_AGO
        self._refused_at = clock.LONG_AGO

    @property
    def are_writes_refused(self) -> bool:
        """Tell whether the store has refused writes for too long to wait."""
        if self._clock.now() - self._refused_at >= _REFUSED_RETRY_INTERVAL_MS:
            return False
        return self._refused_at - self._refused_since >= _MAX_REFUSAL_MS

    @property
    def is_authority_expiring(self) -> bool:
        """Tell whether the authority lapses soon without confirmation."""
        return self._clock.now() - self._confirmed_at > _EXPIRY_WARNING_MS

    @property
    def is_superseded(self) -> bool:
        """Tell whether a newer term has replaced the one held here."""
        return self._term > ids.NO_TERM and not self.is_coordinating

    @property
    def is_coordinating(self) -> bool:
        """Tell whether this instance holds the newest term it knows of."""
        current = self._view.assignment
        return (
            self._term > ids.NO_TERM
            and current.term == self._term
            and current.coordinator == self._view.deployment.instance
        )

    @property
    def has_authority(self) -> bool:
        """Tell whether this instance may send grants and releases now."""
        return self.is_coordinating and instances.is_authority_fresh(
            self._confirmed_at,
            AUTHORITY_MS,
            self._clock.now(),
        )

    def last_given_up(self) -> tuple[ids.Term, int]:
        """Return the last term given up and the ms until its leases expire."""
        left = self._orders.book.latest_end() - self._clock.now()
        return self._given_up_term, max(0, left)

    async def confirm(self) -> None:
        """Extend the authority if the store confirms that the term holds."""
        if self._write_lock.locked():
            return
        asked_at = self._clock.now()
        page = await self._client.read(
            store_calls.OWNERS_TOPIC, self._next_offset
        )
        if isinstance(page, store_records.StoreFailure):
            return
        if isinstance(page, store_records.HistoryTruncated) or page.records:
            if not self._write_lock.locked():
                await self._adopt_newest(asked_at)
            return
        if self.is_coordinating:
            self._confirmed_at = max(self._confirmed_at, asked_at)

    async def claim(self) -> bool:
        """Try to claim the next term; return whether this instance holds it."""
        asked_at = self._clock.now()
        known_term = self._view.assignment.term
        if not await self._adopt_newest(asked_at):
            return False
        current = self._view.assignment
        if current.term != known_term and current.coordinator is not None:
            return False
        fence = ids.Fence(self._next_offset + 1)
        claimed = assignment.Assignment(
            term=ids.Term(current.term + 1),
            coordinator=self._view.deployment.instance,
            write=uuid.uuid4().hex,
            # A server that accepts its keys under a new fence refuses
            # delayed grants of earlier terms.
            tables={
                service: table.with_fence(fence)
                for service, table in current.tables.items()
            },
        )
        asked_at = self._clock.now()
        if await self._append(claimed) is not _WriteResult.PRESENT:
            return False
        self._term = claimed.term
        self._confirmed_at = asked_at
        self._assume_earlier_leases(current)
        self._log.write(
            'coordinator',
            'claimed the term',
            term=claimed.term,
            offset=self._next_offset,
            previous=current.coordinator,
        )
        return True

    async def write_rows(
        self,
        service: ids.ServiceName,
        rows: typing.Sequence[owners.Ownership],
    ) -> list[owners.Ownership] | None:
        """Write new owners; return the rows with their fences.

        Grants of the rows' keys must be blocked until this returns, since a
        write without a reply may still take effect. None means that the
        owners are unchanged, or that the term was given up.
        """
        pending = _PendingWrite(service, rows)
        self._pending_writes.append(pending)
        try:
            async with self._write_lock:
                # Rows that wait for the lock share one record.
                if pending in self._pending_writes:
                    batch = self._pending_writes
                    self._pending_writes = []
                    await self._write_batch(batch)
        finally:
            # Rows of a cancelled call must not be written in a later term.
            if pending in self._pending_writes:
                self._pending_writes.remove(pending)
        return pending.written

    def give_up(self, reason: str) -> None:
        """Give up the term and send no more grants under it.

        The next coordinator can then rely on the reported end of its leases.
        """
        self._given_up_term = self._term
        self._log.write(
            'coordinator',
            'gave up the term',
            term=self._term,
            reason=reason,
            leases_ms=self.last_given_up()[1],
        )
        self.stop()

    def stop(self) -> None:
        """Stop acting under the term; called alone if a newer one was seen."""
        self._term = ids.NO_TERM

    async def _write_batch(self, batch: list[_PendingWrite]) -> None:
        written = _WriteResult.ABSENT
        while self.has_authority:
            # The fence is the offset that follows the record's own, which is
            # above all fences written before.
            fence = ids.Fence(self._next_offset + 1)
            current = self._view.assignment
            fenced, proposed = _with_rows(current, batch, fence)
            asked_at = self._clock.now()
            appended = await self._append(proposed)
            if appended is _WriteResult.PRESENT:
                self._confirmed_at = max(self._confirmed_at, asked_at)
                for pending, rows in zip(batch, fenced, strict=True):
                    pending.written = rows
                return
            if appended is _WriteResult.UNKNOWN:
                written = appended
            if self.are_writes_refused and written is _WriteResult.ABSENT:
                return
            await asyncio.sleep(clock.seconds(_WRITE_RETRY_INTERVAL_MS))
        if self.is_coordinating:
            # The write may still take effect, so nothing may be granted by
            # the assignment before it.
            self.give_up('the result of a write is unknown')

    async def _adopt_newest(self, asked_at: clock.Millis) -> bool:
        listing = await self._client.newest(store_calls.OWNERS_TOPIC)
        if isinstance(listing, store_records.StoreFailure):
            return False
        self._view.replace(store_calls.OWNERS_TOPIC, listing)
        self._next_offset = listing.end
        if self.is_coordinating:
            self._confirmed_at = asked_at
        elif self._term > ids.NO_TERM:
            self._log.write(
                'coordinator',
                'another instance coordinates',
                term=self._view.assignment.term,
                own_term=self._term,
                coordinator=self._view.assignment.coordinator,
            )
            self.stop()
        return True

    def _assume_earlier_leases(self, earlier: assignment.Assignment) -> None:
        """Record until when servers may hold leases of an earlier term."""
        if earlier.coordinator is None:
            return
        if earlier.term == self._given_up_term:
            # This instance gave up that term itself, so its lease book has
            # every lease.
            return
        book = leases.LeaseBook()
        self._orders.use_book(book)
        until = self._view.given_up_lease_ends.get(earlier.term)
        if until is None:
            longest = self._view.deployment.bounds.longest_hold_ms
            unknown_ms = AUTHORITY_MS + leases.longest_hold_ms(longest)
            until = clock.later(self._clock.now(), unknown_ms)
        book.assume_earlier_grants(until)

    async def _append(self, proposed: assignment.Assignment) -> _WriteResult:
        """Append an assignment at the known end; tell whether it is stored."""
        content = assignment.encode_assignment(proposed)
        at = self._next_offset
        appended = await self._client.append(
            store_calls.OWNERS_TOPIC,
            assignment.ASSIGNMENT_KEY,
            content,
            at,
        )
        if isinstance(appended, store_records.Appended):
            self._refused_at = clock.LONG_AGO
            self._apply_written(appended.offset, content)
            return _WriteResult.PRESENT
        if isinstance(appended, store_records.StoreFailure):
            return self._record_failure(appended, at)
        listing = await self._client.newest(store_calls.OWNERS_TOPIC)
        if isinstance(listing, store_records.StoreFailure):
            return _WriteResult.UNKNOWN
        self._next_offset = listing.end
        self._view.replace(store_calls.OWNERS_TOPIC, listing)
        is_present = self._view.assignment.write == proposed.write
        return _WriteResult.PRESENT if is_present else _WriteResult.ABSENT

    def _record_failure(
        self,
        failure: store_records.StoreFailure,
        at: ids.Offset,
    ) -> _WriteResult:
        self._log.write_rate_limited(
            'coordinator',
            'assignment was not confirmed by the store',
            trouble=failure.reason.value,
            detail=failure.detail,
            offset=at,
        )
        if not failure.has_no_effect:
            return _WriteResult.UNKNOWN
        now = self._clock.now()
        if now - self._refused_at >= _REFUSED_RETRY_INTERVAL_MS:
            self._refused_since = now
        self._refused_at = now
        return _WriteResult.ABSENT

    def _apply_written(self, offset: ids.Offset, content: bytes) -> None:
        self._next_offset = ids.Offset(offset + 1)
        record = store_records.StoredRecord(
            assignment.ASSIGNMENT_KEY,
            offset,
            content,
        )
        page = store_records.RecordPage((record,), self._next_offset)
        self._view.apply(store_calls.OWNERS_TOPIC, page)
        self._announce(
            peer_messages.Records(
                store_calls.OWNERS_TOPIC,
                self._next_offset,
                [peer_messages.RecordRow(record.key, offset, content)],
            ),
        )


def _with_rows(
    current: assignment.Assignment,
    batch: list[_PendingWrite],
    fence: ids.Fence,
) -> tuple[list[_FencedRows], assignment.Assignment]:
    """Return the rows of each write with the fence, and the new assignment."""
    tables = dict(current.tables)
    fenced = []
    for pending in batch:
        rows = [dataclasses.replace(row, fence=fence) for row in pending.rows]
        fenced.append(rows)
        table = tables.get(pending.service, owners.OwnerTable())
        for row in rows:
            table = table.replace(row)
        tables[pending.service] = table
    return fenced, dataclasses.replace(
        current,
        write=uuid.uuid4().hex,
        tables=tables,
    )
