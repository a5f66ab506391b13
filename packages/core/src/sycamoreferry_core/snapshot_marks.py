"""Keep track of which snapshots in the log are whole."""

import dataclasses

from sycamoreferry_core import records, state

# An author may die between parts; only the newest few attempts are kept.
UNFINISHED_SNAPSHOTS = 4


def note_part(
    marks: state.SnapshotMarks,
    record: records.StateSnapshot,
) -> state.SnapshotMarks:
    """Return the marks after one part more."""
    others = tuple(
        known for known in marks.unfinished if known.snapshot != record.snapshot
    )
    noted = _without_part(_find(marks, record), record.part)
    if noted.missing:
        kept = (*others, noted)[-UNFINISHED_SNAPSHOTS:]
        return dataclasses.replace(marks, unfinished=kept)
    newer = tuple(known for known in others if known.covers > record.covers)
    return state.SnapshotMarks(covers=record.covers, unfinished=newer)


def _find(
    marks: state.SnapshotMarks,
    record: records.StateSnapshot,
) -> state.OpenSnapshot:
    for known in marks.unfinished:
        if known.snapshot == record.snapshot:
            return known
    return state.OpenSnapshot(
        snapshot=record.snapshot,
        covers=record.covers,
        missing=tuple(range(record.parts)),
    )


def _without_part(
    known: state.OpenSnapshot,
    part: int,
) -> state.OpenSnapshot:
    missing = tuple(index for index in known.missing if index != part)
    return dataclasses.replace(known, missing=missing)
