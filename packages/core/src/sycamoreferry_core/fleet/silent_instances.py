"""Track which instances the coordinator no longer hears.

Load pattern: with hundreds of instances, each hears any other one only every
few seconds. All send the coordinator heartbeats at short intervals, so it knows
of a loss much earlier, and tells the others.
"""

import typing

from sycamoreferry_core import clock, ids

# The word of a coordinator that tells nothing any more holds for so long.
_REPORT_FRESH_MS = 5_000


class SilentInstances:
    """Hold the last report of the coordinator."""

    def __init__(self) -> None:
        self._instances: frozenset[ids.InstanceId] = frozenset()
        self._reported_at = clock.LONG_AGO
        self._last_heard_at = clock.LONG_AGO

    def record(
        self,
        instances: typing.Iterable[ids.InstanceId],
        silent_ms: int,
        now: clock.Millis,
    ) -> None:
        """Replace the report by one of instances silent for so long."""
        self._instances = frozenset(instances)
        self._reported_at = now
        self._last_heard_at = clock.later(now, -silent_ms)

    def includes(
        self,
        instance: ids.InstanceId,
        received_at: clock.Millis,
        now: clock.Millis,
    ) -> bool:
        """Return whether an instance is silent, by when it was heard here.

        One that was heard here later than by the coordinator is not: only the
        link between the two is broken.
        """
        return (
            instance in self._instances
            and received_at <= self._last_heard_at
            and now - self._reported_at < _REPORT_FRESH_MS
        )
