"""Let the periodic work of an instance run at common times.

Load pattern: hundreds of instances of a fraction of a core each. A dozen
periodic checks, most of which find nothing to do, would each wake the process
up at times of their own. Ticks of intervals that are multiples of each other
coincide. Instances draw their phase by lot, so that they don't all report at
the same moment.
"""

import asyncio
import math
import random

from sycamoreferry_core import clock

# Phases are spread over this time, which is a multiple of most intervals.
_PHASE_RANGE_MS = 300
# A timer may fire early by up to this share of the interval.
_EARLY_SHARE = 0.1


class TickTimer:
    """Wait for the ticks of periodic work."""

    def __init__(self) -> None:
        self._phase_ms = random.uniform(0, _PHASE_RANGE_MS)  # noqa: S311

    async def wait(self, interval_ms: int) -> None:
        """Wait for the next tick of an interval, in milliseconds."""
        now_ms = asyncio.get_running_loop().time() * clock.MILLIS_PER_SECOND
        wait_ms = until_tick_ms(now_ms - self._phase_ms, interval_ms)
        await asyncio.sleep(wait_ms / clock.MILLIS_PER_SECOND)


def until_tick_ms(now_ms: float, interval_ms: int) -> float:
    """Return the time until the next multiple of an interval.

    Just before a multiple, that one counts as reached.
    """
    reached = math.floor(now_ms / interval_ms + _EARLY_SHARE)
    return (reached + 1) * interval_ms - now_ms
