"""Set up logs with a fixed prefix for each part."""

import sys

import logbook
from logbook import compat

from sycamoreferry_router import settings

_FORMAT = (
    '{record.time:%Y-%m-%dT%H:%M:%S.%f}Z {record.level_name} '
    '[{record.channel}] {record.message}'
)


def set_up_logs(chosen: settings.Logging) -> None:
    """Write logs to standard error at the chosen level."""
    handler = logbook.StreamHandler(
        sys.stderr,
        level=logbook.lookup_level(chosen.level.upper()),
        format_string=_FORMAT,
    )
    handler.push_application()
    compat.redirect_logging()


def part_logger(part: str) -> logbook.Logger:
    """Return the logger of a part of the instance."""
    return logbook.Logger(part)
