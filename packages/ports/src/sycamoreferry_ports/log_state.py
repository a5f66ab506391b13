"""Fold the log into a state, from a snapshot if it was truncated."""

from sycamoreferry_core import fold, ids, snapshots, state
from sycamoreferry_ports import log_port


class LogUnreadableError(Exception):
    """Report that the log cannot be read or lacks a needed snapshot."""


async def read_state(
    log_service: log_port.LogService,
    log_state: state.LogState,
) -> state.LogState:
    """Fold the log up to its end; raise LogUnreadableError on failure."""
    while True:
        outcome = await _read(log_service, log_state.next_offset)
        if outcome.first_offset > log_state.next_offset:
            log_state = await find_snapshot(log_service)
            continue
        try:
            log_state = fold.fold_all(log_state, outcome.logged)
        except fold.OffsetGapError as error:
            raise LogUnreadableError(str(error)) from error
        if log_state.next_offset >= outcome.end_offset:
            return log_state


async def find_snapshot(
    log_service: log_port.LogService,
) -> state.LogState:
    """Return the newest complete snapshot, or raise LogUnreadableError."""
    outcome = await _read(log_service, ids.FIRST_OFFSET)
    end = outcome.end_offset
    finder = snapshots.new_finder(outcome.first_offset).read(outcome.logged)
    while outcome.logged and outcome.logged[-1].offset + 1 < end:
        start = ids.Offset(outcome.logged[-1].offset + 1)
        outcome = await _read(log_service, start)
        finder = finder.read(outcome.logged)
    newest = finder.newest_state
    if newest is None or newest.next_offset < outcome.first_offset:
        raise LogUnreadableError(
            'the start of the log was truncated and no complete snapshot is'
            ' left; start this instance while another one runs',
        )
    return newest


async def _read(
    log_service: log_port.LogService,
    start: ids.Offset,
) -> log_port.Tail:
    outcome = await log_service.read(start, 0)
    if isinstance(outcome, log_port.ReadFailed):
        raise LogUnreadableError(outcome.reason)
    return outcome
