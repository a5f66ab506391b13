"""Check instants against daily windows of local time."""

import datetime
import typing
import zoneinfo

from sycamoreferry_core import clock, profiles

_DAY = datetime.timedelta(days=1)
# A window that contains an instant may have begun the day before, and zones
# differ from UTC by up to a day.
_DAY_OFFSETS = (-1, 0, 1)


def in_peak(
    windows: typing.Iterable[profiles.PeakWindow],
    at: clock.UnixMillis,
) -> bool:
    """Tell whether any window contains an instant."""
    return any(in_window(window, at) for window in windows)


def in_window(window: profiles.PeakWindow, at: clock.UnixMillis) -> bool:
    """Tell whether a window contains an instant; its end is exclusive."""
    zone = zoneinfo.ZoneInfo(window.zone)
    instant = datetime.datetime.fromtimestamp(clock.seconds(at), datetime.UTC)
    today = instant.astimezone(zone).date()
    for day_offset in _DAY_OFFSETS:
        start, end = window_on(window, today + day_offset * _DAY)
        if start <= instant < end:
            return True
    return False


def window_on(
    window: profiles.PeakWindow,
    day: datetime.date,
) -> tuple[datetime.datetime, datetime.datetime]:
    """Return the start and end, in UTC, of the window on a local day."""
    zone = zoneinfo.ZoneInfo(window.zone)
    start = datetime.time.fromisoformat(window.start)
    end = datetime.time.fromisoformat(window.end)
    last_day = day if start < end else day + _DAY
    return min(_instants(day, start, zone)), max(_instants(last_day, end, zone))


def _instants(
    day: datetime.date,
    time: datetime.time,
    zone: zoneinfo.ZoneInfo,
) -> tuple[datetime.datetime, datetime.datetime]:
    # A local time that occurs twice or never when the clocks change maps to
    # two UTC instants; at any other time both are the same.
    local = datetime.datetime.combine(day, time, zone)
    return (
        local.replace(fold=0).astimezone(datetime.UTC),
        local.replace(fold=1).astimezone(datetime.UTC),
    )
