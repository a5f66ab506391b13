"""Represent times and durations in milliseconds."""

import dataclasses
import typing

Millis = typing.NewType('Millis', int)
# Milliseconds since 1970 in UTC; used for times of day, never for leases.
UnixMillis = typing.NewType('UnixMillis', int)

MILLIS_PER_SECOND = 1000
MILLIS_PER_HOUR = 3_600_000
UNIX_EPOCH = UnixMillis(0)
LONG_AGO = Millis(-MILLIS_PER_SECOND * MILLIS_PER_SECOND * MILLIS_PER_SECOND)


class Clock(typing.Protocol):
    """Tell the time in milliseconds since an arbitrary start."""

    def now(self) -> Millis:
        """Return the current reading in milliseconds."""


@dataclasses.dataclass
class ManualClock:
    """Tell a time that changes only through advance()."""

    reading: Millis = Millis(0)

    def now(self) -> Millis:
        """Return the current reading in milliseconds."""
        return self.reading

    def advance(self, duration: int) -> Millis:
        """Move the reading forward by a duration in milliseconds."""
        self.reading = Millis(self.reading + duration)
        return self.reading


def later(start: Millis, duration: int) -> Millis:
    """Return the time that is `duration` milliseconds after `start`."""
    return Millis(start + duration)


def seconds(duration: int) -> float:
    """Convert a duration in milliseconds to seconds."""
    return duration / MILLIS_PER_SECOND
