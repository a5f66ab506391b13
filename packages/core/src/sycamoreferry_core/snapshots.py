"""Write snapshots of the state to the log in parts and read them back."""

import dataclasses
import typing

from sycamoreferry_core import (
    ids,
    keys,
    records,
    state,
    state_encoding,
)

# Keeps each record well below the size limit of a log service's append.
PART_BYTES = 32_768


@dataclasses.dataclass(frozen=True)
class SnapshotPolicy:
    """Set after how many records or how long a snapshot is due."""

    records: int
    interval_ms: int
    patience_ms: int


def build_parts(
    log_state: state.LogState,
    author: ids.InstanceId,
) -> tuple[records.StateSnapshot, ...]:
    """Return the log records that carry a snapshot of a state."""
    content = state_encoding.encode_state(log_state)
    covers = log_state.next_offset
    snapshot = ids.SnapshotId(f'{covers}/{author}')
    pieces = split(content)
    return tuple(
        records.StateSnapshot(
            record_id=ids.RecordId(f'snapshot/{snapshot}/{part}'),
            snapshot=snapshot,
            covers=covers,
            part=part,
            parts=len(pieces),
            content=piece,
        )
        for part, piece in enumerate(pieces)
    )


def split(content: bytes) -> tuple[bytes, ...]:
    """Split bytes into parts of at most PART_BYTES."""
    return tuple(
        content[start : start + PART_BYTES]
        for start in range(0, len(content), PART_BYTES)
    )


def is_due(
    log_state: state.LogState,
    instance: ids.InstanceId,
    policy: SnapshotPolicy,
    age_ms: int,
) -> bool:
    """Tell whether this instance is to write a snapshot now."""
    order = _author_order(log_state)
    if instance not in order:
        return False
    growth = log_state.next_offset - log_state.snapshots.covers
    late_ms = age_ms - policy.interval_ms
    by_time = late_ms >= order.index(instance) * policy.patience_ms
    by_growth = growth >= policy.records * (order.index(instance) + 1)
    return by_time or by_growth


def _author_order(
    log_state: state.LogState,
) -> list[ids.InstanceId]:
    covers = log_state.snapshots.covers
    return sorted(
        log_state.instances,
        key=lambda instance: keys.hash_text(f'{covers}/{instance}'),
    )


@dataclasses.dataclass(frozen=True)
class SnapshotFinder:
    """Assemble snapshots from their parts while the log is read."""

    first_offset: ids.Offset
    parts: typing.Mapping[ids.SnapshotId, tuple[records.StateSnapshot, ...]]
    newest_state: state.LogState | None = None

    def read(
        self,
        logged: typing.Iterable[records.LoggedRecord],
    ) -> 'SnapshotFinder':
        """Return the finder after reading more records."""
        finder = self
        for entry in logged:
            finder = finder.read_one(entry)
        return finder

    def read_one(self, entry: records.LoggedRecord) -> 'SnapshotFinder':
        """Return the finder after reading one more record."""
        try:
            record = records.decode_record(entry.payload)
        except records.BadRecordError:
            return self
        if not isinstance(record, records.StateSnapshot):
            return self
        if record.covers < self.first_offset:
            return self
        return self._add(record)

    def _add(self, record: records.StateSnapshot) -> 'SnapshotFinder':
        known = [
            part
            for part in self.parts.get(record.snapshot, ())
            if part.part != record.part
        ]
        parts = {**self.parts, record.snapshot: (*known, record)}
        if len(parts[record.snapshot]) < record.parts:
            return dataclasses.replace(self, parts=parts)
        found = _assemble(parts.pop(record.snapshot))
        return dataclasses.replace(
            self,
            parts=parts,
            newest_state=newer_state(self.newest_state, found),
        )


def new_finder(first_offset: ids.Offset) -> SnapshotFinder:
    """Return a finder that ignores snapshots older than an offset."""
    return SnapshotFinder(first_offset=first_offset, parts={})


def newer_state(
    known: state.LogState | None,
    candidate: state.LogState | None,
) -> state.LogState | None:
    """Return the state with the higher offset; the known one when equal."""
    if known is None or candidate is None:
        return known or candidate
    return candidate if candidate.next_offset > known.next_offset else known


def _assemble(
    parts: tuple[records.StateSnapshot, ...],
) -> state.LogState | None:
    ordered = sorted(parts, key=lambda part: part.part)
    try:
        return state_encoding.decode_state(
            b''.join(part.content for part in ordered)
        )
    except state_encoding.StateDecodeError:
        return None
