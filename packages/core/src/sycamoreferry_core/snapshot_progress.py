"""Track which snapshots in the log are complete."""

import dataclasses

from sycamoreferry_core import records, state

# An instance may crash between parts, so incomplete snapshots accumulate; only
# the newest few are tracked.
MAX_UNFINISHED_SNAPSHOTS = 4


def add_part(
    progress: state.SnapshotProgress,
    record: records.StateSnapshot,
) -> state.SnapshotProgress:
    """Return the progress after one more part was read."""
    others = tuple(
        known
        for known in progress.unfinished
        if known.snapshot != record.snapshot
    )
    updated = _with_part_present(_find(progress, record), record.part)
    if updated.missing:
        kept = (*others, updated)[-MAX_UNFINISHED_SNAPSHOTS:]
        return dataclasses.replace(progress, unfinished=kept)
    newer = tuple(known for known in others if known.covers > record.covers)
    return state.SnapshotProgress(covers=record.covers, unfinished=newer)


def _find(
    progress: state.SnapshotProgress,
    record: records.StateSnapshot,
) -> state.UnfinishedSnapshot:
    for known in progress.unfinished:
        if known.snapshot == record.snapshot:
            return known
    return state.UnfinishedSnapshot(
        snapshot=record.snapshot,
        covers=record.covers,
        missing=tuple(range(record.parts)),
    )


def _with_part_present(
    known: state.UnfinishedSnapshot,
    part: int,
) -> state.UnfinishedSnapshot:
    missing = tuple(index for index in known.missing if index != part)
    return dataclasses.replace(known, missing=missing)
