import datetime
import zoneinfo

import hypothesis
import pytest
from hypothesis import strategies

from sycamoreferry_core import clock, profiles, windows

# London: clocks go forward on 29 March 2026 at 01:00 UTC and back on
# 25 October 2026 at 01:00 UTC. Manila has one offset all year.
CASES = [
    ('Asia/Manila', '17:00', '21:00', '2026-12-03T08:59', False),
    ('Asia/Manila', '17:00', '21:00', '2026-12-03T09:00', True),
    ('Asia/Manila', '17:00', '21:00', '2026-12-03T12:59', True),
    ('Asia/Manila', '17:00', '21:00', '2026-12-03T13:00', False),
    # The same local evening is an hour earlier in UTC after the change.
    ('Europe/London', '18:00', '20:00', '2026-03-28T18:00', True),
    ('Europe/London', '18:00', '20:00', '2026-03-29T17:00', True),
    ('Europe/London', '18:00', '20:00', '2026-03-29T19:00', False),
    ('Europe/London', '18:00', '20:00', '2026-10-24T17:00', True),
    ('Europe/London', '18:00', '20:00', '2026-10-25T17:00', False),
    ('Europe/London', '18:00', '20:00', '2026-10-25T18:00', True),
    # Across midnight.
    ('Europe/London', '23:00', '01:00', '2026-01-10T22:59', False),
    ('Europe/London', '23:00', '01:00', '2026-01-10T23:30', True),
    ('Europe/London', '23:00', '01:00', '2026-01-11T00:59', True),
    ('Europe/London', '23:00', '01:00', '2026-01-11T01:00', False),
    # 01:00 to 02:00 does not exist; a window there keeps its length.
    ('Europe/London', '01:15', '02:30', '2026-03-29T00:14', False),
    ('Europe/London', '01:15', '02:30', '2026-03-29T00:15', True),
    ('Europe/London', '01:15', '02:30', '2026-03-29T01:29', True),
    ('Europe/London', '01:15', '02:30', '2026-03-29T01:30', False),
    ('Europe/London', '01:20', '01:40', '2026-03-29T01:00', True),
    # 01:00 to 02:00 occurs twice; the window runs from its first start to its
    # last end.
    ('Europe/London', '01:15', '01:45', '2026-10-25T00:14', False),
    ('Europe/London', '01:15', '01:45', '2026-10-25T00:15', True),
    ('Europe/London', '01:15', '01:45', '2026-10-25T00:50', True),
    ('Europe/London', '01:15', '01:45', '2026-10-25T01:44', True),
    ('Europe/London', '01:15', '01:45', '2026-10-25T01:45', False),
    ('Europe/London', '23:30', '01:30', '2026-10-25T01:29', True),
]


def _millis(text: str) -> clock.UnixMillis:
    instant = datetime.datetime.fromisoformat(f'{text}+00:00')
    return clock.UnixMillis(int(instant.timestamp()) * clock.MILLIS_PER_SECOND)


@pytest.mark.parametrize(('zone', 'start', 'end', 'at', 'inside'), CASES)
def test_window_contains_instant(
    zone: str,
    start: str,
    end: str,
    at: str,
    inside: bool,
) -> None:
    window = profiles.PeakWindow(zone=zone, start=start, end=end)
    assert windows.in_window(window, _millis(at)) is inside


_times = strategies.times().map(lambda time: time.strftime('%H:%M'))
_MINUTES_A_YEAR = 365 * 24 * 60


@hypothesis.given(
    strategies.sampled_from(
        ['Europe/London', 'Asia/Manila', 'America/New_York', 'Asia/Kolkata'],
    ),
    _times,
    _times,
    strategies.integers(0, _MINUTES_A_YEAR),
)
def test_local_time_inside_window_is_peak(
    zone: str,
    start: str,
    end: str,
    minute: int,
) -> None:
    hypothesis.assume(start != end)
    window = profiles.PeakWindow(zone=zone, start=start, end=end)
    first = _millis('2026-01-01T00:00')
    at = clock.UnixMillis(first + minute * 60 * clock.MILLIS_PER_SECOND)
    local = datetime.datetime.fromtimestamp(
        clock.seconds(at),
        zoneinfo.ZoneInfo(zone),
    ).strftime('%H:%M')
    if start < end:
        by_clock = start <= local < end
    else:
        by_clock = local >= start or local < end
    if by_clock:
        assert windows.in_peak((window,), at)


def test_no_windows_means_no_peak() -> None:
    assert not windows.in_peak((), _millis('2026-01-01T00:00'))
