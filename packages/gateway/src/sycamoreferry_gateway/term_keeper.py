"""Claim the term in the store, prove it, and write who owns which keys."""

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

# A coordinator acts this long after the store last proved its term.
AUTHORITY_MS = 1_500
# While its proof ages, the coordinator grants for as long as is allowed.
_PROOF_AGING_MS = 900
_WRITE_RETRY_MS = 100
# A store that refuses writes for longer is not waited for with keys released.
_WRITE_PATIENCE_MS = 400
# Then it is tried again at this pace.
_REFUSED_RETRY_MS = 1_000


@enum.unique
class _Written(enum.Enum):
    """Tell whether an assignment is in the store."""

    PRESENT = 'present'
    ABSENT = 'absent'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(slots=True, eq=False)
class _RowsWanted:
    """Hold rows to be written, and what they became."""

    service: ids.ServiceName
    rows: typing.Sequence[owners.Ownership]
    written: list[owners.Ownership] | None = None


_FencedRows = list[owners.Ownership]
Announce = typing.Callable[[peer_messages.PeerMessage], None]


class TermKeeper:
    """Hold the term of this instance and act on the store under it."""

    def __init__(
        self,
        folded: view.View,
        client: store_client.StoreClient,
        orders: order_sender.OrderSender,
        log: event_log.EventLog,
        announce: Announce,
    ) -> None:
        self._view = folded
        self._clock = folded.clock
        self._client = client
        self._orders = orders
        self._log = log
        self._announce = announce
        self._writing = asyncio.Lock()
        self._unwritten: list[_RowsWanted] = []
        self._term = ids.NO_TERM
        self._given_up_term = ids.NO_TERM
        self._end = ids.FIRST_OFFSET
        self._proved_at = clock.LONG_AGO
        # The first and the last of a row of writes that were refused.
        self._refused_since = clock.LONG_AGO
        self._refused_at = clock.LONG_AGO

    @property
    def is_refused(self) -> bool:
        """Tell whether the store has refused writes for a while."""
        if self._clock.now() - self._refused_at >= _REFUSED_RETRY_MS:
            return False
        return self._refused_at - self._refused_since >= _WRITE_PATIENCE_MS

    @property
    def is_proof_aging(self) -> bool:
        """Tell whether the store has not proved the term for a while."""
        return self._clock.now() - self._proved_at > _PROOF_AGING_MS

    @property
    def has_ended(self) -> bool:
        """Tell whether another term followed the one held here."""
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
        """Tell whether this instance may give orders now."""
        return self.is_coordinating and instances.is_authority_fresh(
            self._proved_at,
            AUTHORITY_MS,
            self._clock.now(),
        )

    def given_up(self) -> tuple[ids.Term, int]:
        """Return the term given up last and how long its leases last, in ms."""
        left = self._orders.book.latest_end() - self._clock.now()
        return self._given_up_term, max(0, left)

    async def prove(self) -> None:
        """Ask the store whether the term still holds."""
        if self._writing.locked():
            return
        asked_at = self._clock.now()
        page = await self._client.read(store_calls.OWNERS_TOPIC, self._end)
        if isinstance(page, store_records.StoreFailure):
            return
        if isinstance(page, store_records.HistoryGone) or page.records:
            if not self._writing.locked():
                await self._adopt_newest(asked_at)
            return
        if self.is_coordinating:
            self._proved_at = max(self._proved_at, asked_at)

    async def claim(self) -> bool:
        """Claim the next term; tell whether this instance holds it now."""
        asked_at = self._clock.now()
        known_term = self._view.assignment.term
        if not await self._adopt_newest(asked_at):
            return False
        current = self._view.assignment
        if current.term != known_term and current.coordinator is not None:
            return False
        fence = ids.Fence(self._end + 1)
        claimed = assignment.Assignment(
            term=ids.Term(current.term + 1),
            coordinator=self._view.deployment.instance,
            write=uuid.uuid4().hex,
            # A server that takes its keys under a new fence refuses grants
            # of earlier terms that are still on their way.
            tables={
                service: table.with_fence(fence)
                for service, table in current.tables.items()
            },
        )
        asked_at = self._clock.now()
        if await self._append(claimed) is not _Written.PRESENT:
            return False
        self._term = claimed.term
        self._proved_at = asked_at
        self._account_for(current)
        self._log.write(
            'coordinator',
            'claimed the term',
            term=claimed.term,
            offset=self._end,
            previous=current.coordinator,
        )
        return True

    async def write_rows(
        self,
        service: ids.ServiceName,
        rows: typing.Sequence[owners.Ownership],
    ) -> list[owners.Ownership] | None:
        """Write new owners; return the rows with their fences.

        The rows' keys must be held back until the result is known, since a
        write without an answer may still be carried out. None means that the
        owners are as before, or that the term was given up.
        """
        wanted = _RowsWanted(service, rows)
        self._unwritten.append(wanted)
        try:
            async with self._writing:
                # Rows that wait for the same write share one record.
                if wanted in self._unwritten:
                    batch = self._unwritten
                    self._unwritten = []
                    await self._write_batch(batch)
        finally:
            # Rows of a term that ended must not be written in the next one.
            if wanted in self._unwritten:
                self._unwritten.remove(wanted)
        return wanted.written

    def give_up(self, reason: str) -> None:
        """Give no order of this term any more, so that its leases are known."""
        self._given_up_term = self._term
        self._log.write(
            'coordinator',
            'gave up the term',
            term=self._term,
            reason=reason,
            leases_ms=self.given_up()[1],
        )
        self.stop()

    def stop(self) -> None:
        """Hold no term any more."""
        self._term = ids.NO_TERM

    async def _write_batch(self, batch: list[_RowsWanted]) -> None:
        written = _Written.ABSENT
        while self.has_authority:
            # The offset at which the record will lie is a fence above all
            # that were written before.
            fence = ids.Fence(self._end + 1)
            current = self._view.assignment
            fenced, wanted = _with_rows(current, batch, fence)
            asked_at = self._clock.now()
            appended = await self._append(wanted)
            if appended is _Written.PRESENT:
                self._proved_at = max(self._proved_at, asked_at)
                for one, rows in zip(batch, fenced, strict=True):
                    one.written = rows
                return
            if appended is _Written.UNKNOWN:
                written = appended
            if self.is_refused and written is _Written.ABSENT:
                return
            await asyncio.sleep(clock.seconds(_WRITE_RETRY_MS))
        if self.is_coordinating:
            # The write may still be carried out, so nothing may be granted
            # under the state before it.
            self.give_up('a write has no result')

    async def _adopt_newest(self, asked_at: clock.Millis) -> bool:
        listing = await self._client.newest(store_calls.OWNERS_TOPIC)
        if isinstance(listing, store_records.StoreFailure):
            return False
        self._view.replace(store_calls.OWNERS_TOPIC, listing)
        self._end = listing.end
        if self.is_coordinating:
            self._proved_at = asked_at
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

    def _account_for(self, earlier: assignment.Assignment) -> None:
        """Know until when grants of an earlier term may be held."""
        if earlier.coordinator is None:
            return
        if earlier.term == self._given_up_term:
            # The book of this instance's own term is exact.
            return
        book = leases.LeaseBook()
        self._orders.use_book(book)
        until = self._view.given_up.get(earlier.term)
        if until is None:
            longest = self._view.deployment.bounds.longest_hold_ms
            unknown_ms = AUTHORITY_MS + leases.longest_hold_ms(longest)
            until = clock.later(self._clock.now(), unknown_ms)
        book.assume_earlier_grants(until)

    async def _append(self, wanted: assignment.Assignment) -> _Written:
        """Append an assignment at the known end; tell whether it is there."""
        content = assignment.encode_assignment(wanted)
        at = self._end
        appended = await self._client.append(
            store_calls.OWNERS_TOPIC,
            assignment.ASSIGNMENT_KEY,
            content,
            at,
        )
        if isinstance(appended, store_records.Appended):
            self._refused_at = clock.LONG_AGO
            self._take_written(appended.offset, content)
            return _Written.PRESENT
        if isinstance(appended, store_records.StoreFailure):
            return self._note_failure(appended, at)
        listing = await self._client.newest(store_calls.OWNERS_TOPIC)
        if isinstance(listing, store_records.StoreFailure):
            return _Written.UNKNOWN
        self._end = listing.end
        self._view.replace(store_calls.OWNERS_TOPIC, listing)
        is_there = self._view.assignment.write == wanted.write
        return _Written.PRESENT if is_there else _Written.ABSENT

    def _note_failure(
        self,
        failure: store_records.StoreFailure,
        at: ids.Offset,
    ) -> _Written:
        self._log.sample(
            'coordinator',
            'write has no result',
            trouble=failure.trouble.value,
            detail=failure.detail,
            offset=at,
        )
        if not failure.has_no_effect:
            return _Written.UNKNOWN
        now = self._clock.now()
        if now - self._refused_at >= _REFUSED_RETRY_MS:
            self._refused_since = now
        self._refused_at = now
        return _Written.ABSENT

    def _take_written(self, offset: ids.Offset, content: bytes) -> None:
        self._end = ids.Offset(offset + 1)
        record = store_records.StoredRecord(
            assignment.ASSIGNMENT_KEY,
            offset,
            content,
        )
        page = store_records.RecordPage((record,), self._end)
        self._view.apply(store_calls.OWNERS_TOPIC, page)
        self._announce(
            peer_messages.Records(
                store_calls.OWNERS_TOPIC,
                self._end,
                [peer_messages.RecordRow(record.key, offset, content)],
            ),
        )


def _with_rows(
    current: assignment.Assignment,
    batch: list[_RowsWanted],
    fence: ids.Fence,
) -> tuple[list[_FencedRows], assignment.Assignment]:
    """Return rows with their fence and the assignment that has them."""
    tables = dict(current.tables)
    fenced = []
    for one in batch:
        rows = [dataclasses.replace(row, fence=fence) for row in one.rows]
        fenced.append(rows)
        table = tables.get(one.service, owners.OwnerTable())
        for row in rows:
            table = table.replace(row)
        tables[one.service] = table
    return fenced, dataclasses.replace(
        current,
        write=uuid.uuid4().hex,
        tables=tables,
    )
