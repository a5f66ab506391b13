"""Read the system's clock that other machines agree with roughly."""

import time

from sycamoreferry_core import clock

NANOS_PER_MILLI = 1_000_000


class WallClock:
    """Tell the milliseconds since 1970."""

    def now(self) -> clock.Millis:
        """Return the current reading in milliseconds."""
        return clock.Millis(time.time_ns() // NANOS_PER_MILLI)
