"""Fold a partition's admission stream, with the same result everywhere."""

import dataclasses
import functools

from sycamoreferry_core import (
    admission_records,
    admission_window,
    ids,
    records,
)

# Sweeping a few buckets with each batch removes expired entries in time.
BUCKETS_SWEPT_PER_BATCH = 4

_STATUS_BY_ENDING = {
    admission_records.Ending.ANSWERED: admission_window.Status.ANSWERED,
    admission_records.Ending.UNKNOWN: admission_window.Status.UNKNOWN,
}


@dataclasses.dataclass(frozen=True)
class Claim:
    """Record who claimed a partition, and at which stream offset."""

    offset: ids.Offset = ids.NO_OFFSET
    owner: ids.InstanceId = ids.InstanceId('')
    deputy: ids.InstanceId = ids.InstanceId('')


@dataclasses.dataclass(frozen=True)
class Journal:
    """Hold the folded stream up to the next offset.

    Stream time advances by the differences between the stamps of one
    claim's batches. It may lag behind real time, so that entries are
    kept too long but never too short.
    """

    window_ms: int
    first_offset: ids.Offset = ids.FIRST_OFFSET
    next_offset: ids.Offset = ids.FIRST_OFFSET
    claim: Claim = Claim()
    settled: Claim = Claim()
    number: int = 0
    stamp: int | None = None
    time_ms: int = 0
    window: admission_window.Window = admission_window.Window()

    @property
    def is_settled(self) -> bool:
        """Tell whether a batch has settled the newest claim."""
        return self.claim == self.settled

    def find(self, key: ids.AdmissionKey) -> admission_window.Entry | None:
        """Return the entry of a key unless it has expired."""
        return self.unexpired(self.window.find(key))

    def unexpired(
        self,
        entry: admission_window.Entry | None,
    ) -> admission_window.Entry | None:
        """Return an entry unless it has expired."""
        if entry is None or entry.admitted_at < self.expires_before:
            return None
        return entry

    @property
    def expires_before(self) -> int:
        """Return the stream time before which entries expire, in ms."""
        return self.time_ms - self.window_ms


def empty_journal(offset: ids.Offset, window_ms: int) -> Journal:
    """Return an empty journal whose first record is at an offset."""
    return Journal(window_ms, first_offset=offset, next_offset=offset)


def fold_one(journal: Journal, logged: records.LoggedRecord) -> Journal:
    """Fold a record; ignore repeats, and start afresh after a gap."""
    if logged.offset < journal.next_offset:
        return journal
    if logged.offset > journal.next_offset:
        journal = empty_journal(logged.offset, journal.window_ms)
    record = admission_records.decode_record(logged.payload)
    folded = _apply(record, journal, logged.offset)
    return dataclasses.replace(
        folded,
        next_offset=ids.Offset(logged.offset + 1),
    )


@functools.singledispatch
def _apply(record: object, journal: Journal, offset: ids.Offset) -> Journal:
    return journal


@_apply.register
def _apply_claim(
    record: admission_records.AdmissionClaimed,
    journal: Journal,
    offset: ids.Offset,
) -> Journal:
    return dataclasses.replace(
        journal,
        claim=Claim(offset, record.owner, record.deputy),
        number=0,
        stamp=None,
    )


@_apply.register
def _apply_batch(
    record: admission_records.AdmissionBatch,
    journal: Journal,
    offset: ids.Offset,
) -> Journal:
    journal = _adopt_claim(record, journal)
    if record.claim != journal.claim.offset:
        return journal
    if record.number <= journal.number:
        return journal
    elapsed = 0
    if journal.stamp is not None:
        elapsed = max(0, record.stamp - journal.stamp)
    timed = dataclasses.replace(
        journal,
        settled=journal.claim if record.settles else journal.settled,
        number=record.number,
        stamp=record.stamp,
        time_ms=journal.time_ms + elapsed,
    )
    return dataclasses.replace(timed, window=_update_window(record, timed))


def _adopt_claim(
    record: admission_records.AdmissionBatch,
    journal: Journal,
) -> Journal:
    """Take the claim from a batch if the claim's record left the log."""
    predates_stream = record.claim < journal.first_offset
    if not predates_stream or record.claim <= journal.claim.offset:
        return journal
    claim = Claim(record.claim, record.owner, record.deputy)
    return dataclasses.replace(journal, claim=claim, number=0, stamp=None)


def _update_window(
    record: admission_records.AdmissionBatch,
    journal: Journal,
) -> admission_window.Window:
    window = journal.window
    for admitted in record.admitted:
        known = journal.unexpired(window.find(admitted.key))
        if known is None or known.order < tuple(admitted.order):
            entry = admission_window.new_entry(admitted, journal.time_ms)
            window = window.with_entry(admitted.key, entry)
    for concluded in record.concluded:
        window = _conclude(concluded, window)
    for turn in range(BUCKETS_SWEPT_PER_BATCH):
        sweep_number = journal.number * BUCKETS_SWEPT_PER_BATCH + turn
        window = window.sweep(sweep_number, journal.expires_before)
    return window


def _conclude(
    concluded: admission_records.Concluded,
    window: admission_window.Window,
) -> admission_window.Window:
    known = window.find(concluded.key)
    if known is None or known.attempt != concluded.attempt:
        return window
    if concluded.ending is admission_records.Ending.NOT_RUN:
        return window.without_entry(concluded.key)
    return window.with_entry(concluded.key, concluded_entry(known, concluded))


def concluded_entry(
    entry: admission_window.Entry,
    concluded: admission_records.Concluded,
) -> admission_window.Entry:
    """Return an entry with the status of its ending; NOT_RUN has none."""
    return dataclasses.replace(
        entry,
        status=_STATUS_BY_ENDING[concluded.ending],
    )
