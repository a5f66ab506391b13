"""Tell whether an instant lies in a daily window of local time."""

import datetime
import typing
import zoneinfo

from sycamoreferry_core import clock, profiles

_DAY = datetime.timedelta(days=1)
# The window that holds an instant may have begun the day before, and zones
# differ from UTC by up to a day.
_DAYS_AROUND = (-1, 0, 1)


def in_peak(
    windows: typing.Iterable[profiles.PeakWindow],
    at: clock.UnixMillis,
) -> bool:
    """Tell whether any window holds an instant."""
    return any(in_window(window, at) for window in windows)


def in_window(window: profiles.PeakWindow, at: clock.UnixMillis) -> bool:
    """Tell whether a window holds an instant; its end is outside."""
    zone = zoneinfo.ZoneInfo(window.zone)
    instant = datetime.datetime.fromtimestamp(clock.seconds(at), datetime.UTC)
    today = instant.astimezone(zone).date()
    for shift in _DAYS_AROUND:
        start, end = window_on(window, today + shift * _DAY)
        if start <= instant < end:
            return True
    return False


def window_on(
    window: profiles.PeakWindow,
    day: datetime.date,
) -> tuple[datetime.datetime, datetime.datetime]:
    """Return the instants between which a window of a day lies."""
    zone = zoneinfo.ZoneInfo(window.zone)
    start = datetime.time.fromisoformat(window.start)
    end = datetime.time.fromisoformat(window.end)
    last_day = day if start < end else day + _DAY
    return min(_readings(day, start, zone)), max(_readings(last_day, end, zone))


def _readings(
    day: datetime.date,
    time: datetime.time,
    zone: zoneinfo.ZoneInfo,
) -> tuple[datetime.datetime, datetime.datetime]:
    # A local time that comes twice, or never, has two readings in UTC; on any
    # other day they are the same.
    local = datetime.datetime.combine(day, time, zone)
    return (
        local.replace(fold=0).astimezone(datetime.UTC),
        local.replace(fold=1).astimezone(datetime.UTC),
    )
