"""Set up logs with a fixed prefix for each part."""

import logging
import sys

import logbook
from logbook import compat

from sycamoreferry_router import settings

_FORMAT = (
    '{record.time:%Y-%m-%dT%H:%M:%S.%f}Z {record.level_name} '
    '[{record.channel}] {record.message}'
)


def set_up_logs(chosen: settings.Logging) -> logbook.Handler:
    """Write logs to standard error at the chosen level; return the handler."""
    handler = logbook.StreamHandler(
        sys.stderr,
        level=logbook.lookup_level(chosen.level.upper()),
        format_string=_FORMAT,
    )
    handler.push_application()
    compat.redirect_logging()
    # The redirection lets every level through; libraries write far more
    # debug records than the instance carries messages.
    logging.getLogger().setLevel(max(logging.INFO, _stdlib_level(chosen)))
    return handler


def _stdlib_level(chosen: settings.Logging) -> int:
    return logging.getLevelNamesMapping()[chosen.level.upper()]


def part_logger(part: str) -> logbook.Logger:
    """Return the logger of a part of the instance."""
    return logbook.Logger(part)
