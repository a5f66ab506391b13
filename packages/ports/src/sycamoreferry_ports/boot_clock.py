"""Read the system's clock that counts time in suspension."""

import time

from sycamoreferry_core import clock

NANOS_PER_MILLI = 1_000_000


class BootClock:
    """Tell the milliseconds since the machine started."""

    def now(self) -> clock.Millis:
        """Return the current reading in milliseconds."""
        nanos = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
        return clock.Millis(nanos // NANOS_PER_MILLI)
