"""Track which snapshots in the log are complete."""

import dataclasses

from sycamoreferry_core import records, state

# An instance may crash between parts, so incomplete snapshots accumulate; only
# the newest few are tracked.
UNFINISHED_SNAPSHOTS = 4


def note_part(
    progress: state.SnapshotMarks,
    record: records.StateSnapshot,
) -> state.SnapshotMarks:
    """Return the progress after one more part was read."""
    others = tuple(
        known
        for known in progress.unfinished
        if known.snapshot != record.snapshot
    )
    updated = _with_part_present(_find(progress, record), record.part)
    if updated.missing:
        kept = (*others, updated)[-UNFINISHED_SNAPSHOTS:]
        return dataclasses.replace(progress, unfinished=kept)
    newer = tuple(known for known in others if known.covers > record.covers)
    return state.SnapshotMarks(covers=record.covers, unfinished=newer)


def _find(
    progress: state.SnapshotMarks,
    record: records.StateSnapshot,
) -> state.OpenSnapshot:
    for known in progress.unfinished:
        if known.snapshot == record.snapshot:
            return known
    return state.OpenSnapshot(
        snapshot=record.snapshot,
        covers=record.covers,
        missing=tuple(range(record.parts)),
    )


def _with_part_present(
    known: state.OpenSnapshot,
    part: int,
) -> state.OpenSnapshot:
    missing = tuple(index for index in known.missing if index != part)
    return dataclasses.replace(known, missing=missing)
