"""Read the clock that counts while the machine is suspended."""

import time

from sycamoreferry_core import clock

_NANOS_PER_MILLI = 1_000_000


class SteadyClock:
    """Tell the milliseconds since the machine started."""

    def now(self) -> clock.Millis:
        """Return the current reading in milliseconds."""
        nanos = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
        return clock.Millis(nanos // _NANOS_PER_MILLI)
