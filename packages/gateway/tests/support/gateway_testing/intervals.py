"""Record from when to when disruptions last."""

import math


class Intervals:
    """Hold the intervals of one kind of disruption, in seconds."""

    def __init__(self) -> None:
        self._intervals: list[tuple[float, float]] = []

    def begin(self, now: float) -> None:
        """Begin an interval unless one lasts."""
        if not self._lasts:
            self._intervals.append((now, math.inf))

    def end(self, now: float) -> None:
        """End the interval that lasts, if any."""
        if self._lasts:
            self._intervals[-1] = (self._intervals[-1][0], now)

    def overlap(self, since: float, until: float) -> bool:
        """Tell whether an interval overlaps a span of time."""
        return any(
            begins_at <= until and ends_at >= since
            for begins_at, ends_at in self._intervals
        )

    def ended_within(self, since: float, until: float) -> bool:
        """Tell whether an interval ended in a span of time."""
        return any(since <= ends_at <= until for _, ends_at in self._intervals)

    @property
    def _lasts(self) -> bool:
        return bool(self._intervals) and self._intervals[-1][1] == math.inf
