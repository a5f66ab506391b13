"""Read the state that the log holds, and append records to it."""

import asyncio

from sycamoreferry_core import clock, ids, records, result_codes, state
from sycamoreferry_ports import log_port
from sycamoreferry_ports import log_state as platform_log_state

READ_BACK_TRIES = 50
READ_BACK_PAUSE_MS = 100


class LogUnreachableError(Exception):
    """Report that the log did not answer."""


async def read_state(
    log_service: log_port.LogService,
    known: state.LogState | None = None,
) -> state.LogState:
    """Fold the whole log; raise LogUnreachableError."""
    try:
        return await platform_log_state.read_state(
            log_service,
            known or state.LogState(),
        )
    except platform_log_state.LogUnreadableError as error:
        raise LogUnreachableError(str(error)) from error


async def append_record(
    log_service: log_port.LogService,
    record: records.AnyRecord,
) -> result_codes.ResultCode:
    """Append a record and return how it was folded.

    A record that instances would not read is rejected here.
    """
    payload = records.encode_record(record)
    try:
        records.decode_record(payload)
    except records.BadRecordError:
        return result_codes.ResultCode.BAD_RECORD
    appended = await log_service.append(payload)
    if isinstance(appended, log_port.NotAppended):
        raise LogUnreachableError(appended.reason)
    return await _await_verdict(log_service, record.record_id)


async def _await_verdict(
    log_service: log_port.LogService,
    record_id: ids.RecordId,
) -> result_codes.ResultCode:
    folded = state.LogState()
    for _ in range(READ_BACK_TRIES):
        folded = await read_state(log_service, folded)
        code = folded.verdict_of(record_id)
        if code is not None:
            return code
        await asyncio.sleep(clock.seconds(READ_BACK_PAUSE_MS))
    raise LogUnreachableError(
        'the record is not in the log; look at its state, then try again',
    )
