"""Score targets by what they report, to weigh that against own counts."""

import dataclasses

from sycamoreferry_core import balancing, clock

_HALF_LIFE_MS = 200
# Believed up to this multiple of what the latency shows.
_TRUST = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Reported:
    """Hold what a server said of the load that others put on it."""

    others: int = 0
    at: clock.Millis = clock.LONG_AGO


NOTHING = Reported()


def score(
    load: balancing.TargetLoad,
    reported: Reported,
    common: balancing.ScoringContext,
    slots: int,
) -> float:
    """Return how long a target would take, others' load counted."""
    slowness = balancing.latency_ratio(load, common)
    fade = float(2 ** (-(common.now - reported.at) / _HALF_LIFE_MS))
    believed = min(reported.others * fade, _TRUST * slots * slowness)
    warmth = balancing.slow_start_ratio(load.slow_start_at, common.now)
    return (load.in_flight + 1 + believed) * slowness / warmth
