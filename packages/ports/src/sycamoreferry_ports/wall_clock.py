"""Read the wall clock, which is roughly synchronised across machines."""

import time

from sycamoreferry_core import clock

NANOS_PER_MILLI = 1_000_000


class WallClock:
    """Count the milliseconds since the Unix epoch (1970)."""

    def now(self) -> clock.Millis:
        """Return the milliseconds since the Unix epoch."""
        return clock.Millis(time.time_ns() // NANOS_PER_MILLI)
