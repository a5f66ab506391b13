"""Choose a target of a service without keys."""

import dataclasses
import typing

from sycamoreferry_core import ids


@dataclasses.dataclass(frozen=True)
class TargetLoad:
    """Hold what an instance knows of a target's load."""

    server: ids.ServerId
    in_flight: int


def choose_target(
    targets: typing.Sequence[TargetLoad],
    draw: typing.Callable[[int], int],
) -> TargetLoad | None:
    """Return the less loaded of two targets drawn at random."""
    if not targets:
        return None
    first = targets[draw(len(targets))]
    second = targets[draw(len(targets))]
    return min(first, second, key=lambda target: target.in_flight)
