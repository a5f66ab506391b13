"""Publish profiles to the log and read them back."""

import asyncio
import dataclasses
import secrets

from sycamoreferry_core import (
    clock,
    ids,
    profiles,
    records,
    result_codes,
    state,
)
from sycamoreferry_platform import log_port, log_state

RECORD_ID_BYTES = 8
READ_BACK_TRIES = 50
READ_BACK_PAUSE_MS = 100


class LogUnreachableError(Exception):
    """Report that the log did not answer."""


@dataclasses.dataclass(frozen=True)
class Published:
    """Hold the number that a profile was accepted under."""

    number: ids.ProfileNumber


@dataclasses.dataclass(frozen=True)
class PublishRefused:
    """Hold the code under which a profile was refused."""

    code: result_codes.ResultCode


async def read_state(
    log_service: log_port.LogService,
    known: state.LogState | None = None,
) -> state.LogState:
    """Fold the whole log; raise LogUnreachableError."""
    try:
        return await log_state.read_state(
            log_service,
            known or state.LogState(),
        )
    except log_state.LogUnreadableError as error:
        raise LogUnreachableError(str(error)) from error


async def publish_profile(
    log_service: log_port.LogService,
    name: ids.ProfileName,
    profile: profiles.Profile,
    revises: ids.ProfileNumber,
) -> Published | PublishRefused:
    """Publish a profile that revises a number, and read it back."""
    record = records.ProfilePublished(
        record_id=ids.RecordId(
            f'profile/{secrets.token_hex(RECORD_ID_BYTES)}',
        ),
        name=name,
        revises=revises,
        body=profiles.format_profile(profile),
    )
    appended = await log_service.append(records.encode_record(record))
    if isinstance(appended, log_port.NotAppended):
        raise LogUnreachableError(appended.reason)
    code = await _await_verdict(log_service, record.record_id)
    if code is result_codes.ResultCode.ANSWERED:
        return Published(ids.ProfileNumber(revises + 1))
    return PublishRefused(code)


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
    raise LogUnreachableError('the record is not in the log; publish again')
