"""Publish profiles to the log and read them back."""

import dataclasses

from sycamoreferry_core import ids, profiles, records, result_codes
from sycamoreferry_ctl import log_access
from sycamoreferry_ports import log_port, record_ids


@dataclasses.dataclass(frozen=True)
class Published:
    """Hold the number that a profile was accepted under."""

    number: ids.ProfileNumber


@dataclasses.dataclass(frozen=True)
class PublishRefused:
    """Hold the code under which a profile was refused."""

    code: result_codes.ResultCode


async def publish_profile(
    log_service: log_port.LogService,
    name: ids.ProfileName,
    profile: profiles.Profile,
    revises: ids.ProfileNumber,
) -> Published | PublishRefused:
    """Publish a profile that revises a number, and read it back."""
    record = records.ProfilePublished(
        record_id=record_ids.new_record_id('profile'),
        name=name,
        revises=revises,
        body=profiles.format_profile(profile),
    )
    code = await log_access.append_record(log_service, record)
    if code is result_codes.ResultCode.ANSWERED:
        return Published(ids.ProfileNumber(revises + 1))
    return PublishRefused(code)
