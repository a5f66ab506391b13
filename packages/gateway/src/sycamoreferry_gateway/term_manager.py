"""Claim the coordinator's term in the store and write owners under it."""

import asyncio
import dataclasses
import typing
import uuid

from sycamoreferry_adapter import store_calls
from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import instances, store_records
from sycamoreferry_core.keyspace import owners
from sycamoreferry_gateway import (
    assignment,
    assignment_writer,
    earlier_terms,
    event_log,
    order_sender,
    store_client,
    term_claims,
    view,
)

# When the term has not been confirmed for longer than this, the coordinator
# grants the longest leases allowed, as its authority may lapse soon.
_EXPIRY_WARNING_MS = 900
_WRITE_RETRY_INTERVAL_MS = 100


@dataclasses.dataclass(slots=True, eq=False)
class _PendingWrite:
    """Hold rows to be written and, once written, the rows with fences."""

    service: ids.ServiceName
    rows: typing.Sequence[owners.Ownership]
    written: list[owners.Ownership] | None = None


_FencedRows = list[owners.Ownership]


class TermManager:
    """Claim, confirm and give up the term, and write owners under it."""

    def __init__(
        self,
        cluster_view: view.View,
        client: store_client.StoreClient,
        orders: order_sender.OrderSender,
        log: event_log.EventLog,
        announce: assignment_writer.Announce,
    ) -> None:
        self._view = cluster_view
        self._clock = cluster_view.clock
        self._client = client
        self._orders = orders
        self._log = log
        self._writer = assignment_writer.AssignmentWriter(
            cluster_view, client, log, announce
        )
        self._earlier = earlier_terms.EarlierTerms(cluster_view, orders)
        self._write_lock = asyncio.Lock()
        self._pending_writes: list[_PendingWrite] = []
        self._term = ids.NO_TERM
        self._given_up_term = ids.NO_TERM
        # The store's era in which the term was claimed.
        self._era = store_records.NO_ERA
        self._confirmed_at = clock.LONG_AGO

    @property
    def are_writes_refused(self) -> bool:
        """Tell whether the store has refused writes for too long to wait."""
        return self._writer.is_refused

    @property
    def has_refused_write(self) -> bool:
        """Tell whether the store refused the last write of owners."""
        return self._writer.has_refused

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
        return (
            self.is_coordinating
            and not self.has_lost_era
            and instances.is_authority_fresh(
                self._confirmed_at,
                instances.AUTHORITY_MS,
                self._clock.now(),
            )
        )

    @property
    def has_lost_era(self) -> bool:
        """Tell whether the store returned to a copy since the claim."""
        return self._client.era != self._era

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
            store_calls.OWNERS_TOPIC,
            self._writer.next_offset,
            self._era,
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
        known_term = self._view.assignment.term
        seemed_lost = self._view.owners.lost_since is not None
        knowledge = self._earlier.owner_knowledge(
            self._given_up_term, self._confirmed_at
        )
        if self._earlier.must_wait(knowledge):
            return False
        if not await self._adopt_newest(self._clock.now()):
            return False
        knowledge = self._earlier.owner_knowledge(
            self._given_up_term, self._confirmed_at
        )
        if self._is_claimed(known_term, seemed_lost=seemed_lost):
            return False
        if self._earlier.must_wait(knowledge):
            return False
        earlier = self._view.assignment
        planned = term_claims.build_claim(
            self._view.owners,
            self._view.deployment.instance,
            self._view.mirrors[store_calls.OWNERS_TOPIC].era,
            self._writer.next_offset,
            knowledge,
        )
        if not await self._append_claim(planned):
            return False
        self._earlier.assume_leases(
            earlier,
            knowledge,
            is_own=self._earlier.is_own(earlier, self._given_up_term),
        )
        self._log.write(
            'coordinator',
            'claimed the term',
            term=self._term,
            offset=self._writer.next_offset,
            previous=earlier.coordinator,
            era=self._era,
            skipped_offsets=len(planned.skipped),
            owners=knowledge.value,
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
        written = assignment_writer.WriteResult.ABSENT
        while self.has_authority:
            # The fence is the offset that follows the record's own, which is
            # above all fences written before.
            fence = ids.Fence(self._writer.next_offset + 1)
            current = self._view.assignment
            fenced, proposed = _with_rows(current, batch, fence)
            asked_at = self._clock.now()
            appended = await self._writer.append(proposed, self._era)
            if appended is assignment_writer.WriteResult.PRESENT:
                self._confirmed_at = max(self._confirmed_at, asked_at)
                for pending, rows in zip(batch, fenced, strict=True):
                    pending.written = rows
                return
            if appended is assignment_writer.WriteResult.UNKNOWN:
                written = appended
            if (
                self._writer.is_refused
                and written is assignment_writer.WriteResult.ABSENT
            ):
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
        self._writer.adopt(listing)
        if self.is_coordinating:
            if listing.era == self._era:
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

    async def _append_claim(self, planned: term_claims.TermClaim) -> bool:
        asked_at = self._clock.now()
        written = await self._writer.append(
            planned.proposed, planned.era, planned.skipped
        )
        if written is not assignment_writer.WriteResult.PRESENT:
            return False
        self._term = planned.proposed.term
        self._era = planned.era
        self._confirmed_at = asked_at
        return True

    def _is_claimed(self, known_term: ids.Term, *, seemed_lost: bool) -> bool:
        """Tell whether another instance has claimed a term meanwhile."""
        current = self._view.assignment
        if current.term != known_term and current.coordinator is not None:
            return True
        return seemed_lost and self._view.owners.lost_since is None


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
