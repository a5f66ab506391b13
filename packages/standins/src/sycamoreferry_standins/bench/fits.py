"""Fit straight lines to measurements, and say how far they are off."""

import dataclasses
import statistics
import typing


@dataclasses.dataclass(frozen=True)
class Fit:
    """Hold a straight line and its largest miss, relative to the figure."""

    slope: float
    intercept: float
    largest_miss: float

    def at(self, size: float) -> float:
        """Return the figure that the line gives for a size."""
        return self.intercept + self.slope * size


def fit_line(points: typing.Sequence[tuple[float, float]]) -> Fit:
    """Fit a line to points of size and figure; four at the least."""
    sizes = [size for size, _ in points]
    figures = [figure for _, figure in points]
    line = statistics.linear_regression(sizes, figures)
    misses = [
        abs(line.intercept + line.slope * size - figure) / max(figures)
        for size, figure in points
    ]
    return Fit(line.slope, line.intercept, max(misses))
