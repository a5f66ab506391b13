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


def set_up_logs(config: settings.Logging) -> logbook.Handler:
    """Write logs to standard error at the config level; return the handler."""
    handler = logbook.StreamHandler(
        sys.stderr,
        level=logbook.lookup_level(config.level.upper()),
        format_string=_FORMAT,
    )
    handler.push_application()
    compat.redirect_logging()
    # The redirection lets every level through, and libraries write far more
    # debug records than the instance handles messages.
    logging.getLogger().setLevel(max(logging.INFO, _stdlib_level(config)))
    return handler


def _stdlib_level(config: settings.Logging) -> int:
    return logging.getLevelNamesMapping()[config.level.upper()]


def part_logger(part: str) -> logbook.Logger:
    """Return a logger that prefixes each line with the name of a part."""
    return logbook.Logger(part)
