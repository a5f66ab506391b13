"""Collect latencies in a histogram."""

from hdrh import histogram

HALF = 50
NEARLY_ALL = 99

_LOWEST_MICROS = 1
_HIGHEST_MICROS = 60_000_000
_DIGITS = 3
_MICROS_PER_MILLI = 1000


class Latencies:
    """Hold latencies in milliseconds, exact to a microsecond."""

    def __init__(self) -> None:
        self._histogram = histogram.HdrHistogram(
            _LOWEST_MICROS,
            _HIGHEST_MICROS,
            _DIGITS,
        )

    @property
    def count(self) -> int:
        """Return how many latencies were added."""
        return int(self._histogram.get_total_count())

    def add(self, latency_ms: float) -> None:
        """Add a latency."""
        micros = max(_LOWEST_MICROS, round(latency_ms * _MICROS_PER_MILLI))
        self._histogram.record_value(min(micros, _HIGHEST_MICROS))

    def percentile(self, share: float) -> float:
        """Return the latency that a share in 100 stays within."""
        micros = self._histogram.get_value_at_percentile(share)
        return float(micros) / _MICROS_PER_MILLI
