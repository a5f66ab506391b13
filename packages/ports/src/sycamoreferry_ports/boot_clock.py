"""Read the monotonic system clock that includes time in suspend."""

import time

from sycamoreferry_core import clock

NANOS_PER_MILLI = 1_000_000


class BootClock:
    """Count the milliseconds since the machine booted."""

    def now(self) -> clock.Millis:
        """Return the milliseconds since boot, including time in suspend."""
        nanos = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
        return clock.Millis(nanos // NANOS_PER_MILLI)
