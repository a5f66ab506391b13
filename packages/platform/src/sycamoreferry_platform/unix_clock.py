"""Read the time of day."""

import time

from sycamoreferry_core import clock


class UnixClock:
    """Tell the time since 1970 in UTC, for times of day only."""

    def now(self) -> clock.UnixMillis:
        """Return the current reading in milliseconds."""
        return clock.UnixMillis(int(time.time() * clock.MILLIS_PER_SECOND))
