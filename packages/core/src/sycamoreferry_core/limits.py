"""Limit the requests that an instance has in flight at one target."""

import dataclasses

MIN_LIMIT = 1
INITIAL_LIMIT = 2
# The limit shrinks once latency exceeds this multiple of the base latency.
MAX_LATENCY_RATIO = 3.0
# Latency added by this instance and the network does not indicate a loaded
# target.
LATENCY_MARGIN_MS = 5
_LATENCY_BACKOFF_RATIO = 0.9
_SHED_BACKOFF_RATIO = 0.5
_LATENCY_EWMA_WEIGHT = 0.1
_BASE_DECREASE_WEIGHT = 0.1
_BASE_INCREASE_WEIGHT = 0.0002


@dataclasses.dataclass(frozen=True, slots=True)
class AdaptiveLimit:
    """Hold an in-flight limit that adapts to the latency of a target."""

    limit: float = INITIAL_LIMIT
    recent_latency_ms: float = 0

    def has_room(self, in_flight: int) -> bool:
        """Tell whether one more request may be sent."""
        return in_flight < int(self.limit)


def after_answer(
    current: AdaptiveLimit,
    latency_ms: float,
    base_ms: float,
    in_flight: int,
    max_limit: int,
) -> AdaptiveLimit:
    """Return the limit after an answer; it grows only when it is reached."""
    recent = current.recent_latency_ms + _LATENCY_EWMA_WEIGHT * (
        latency_ms - current.recent_latency_ms
    )
    limit = current.limit
    if recent > MAX_LATENCY_RATIO * base_ms + LATENCY_MARGIN_MS:
        limit -= limit * (1 - _LATENCY_BACKOFF_RATIO) / max(1, in_flight)
    elif in_flight + 1 >= int(limit):
        limit += 1 / limit
    bounded = min(max(limit, MIN_LIMIT), max_limit)
    return AdaptiveLimit(bounded, recent)


def after_shed(current: AdaptiveLimit) -> AdaptiveLimit:
    """Return the reduced limit after a target shed a request."""
    return dataclasses.replace(
        current,
        limit=max(MIN_LIMIT, current.limit * _SHED_BACKOFF_RATIO),
    )


def slots_per_instance(total: int, instances: int) -> int:
    """Return an instance's even share of a target's slots, at least one."""
    return max(MIN_LIMIT, total // max(1, instances))


def update_base_latency(base_ms: float, latency_ms: float) -> float:
    """Return the new estimate of the latency of an unloaded service."""
    if not base_ms:
        return latency_ms
    weight = (
        _BASE_INCREASE_WEIGHT if latency_ms > base_ms else _BASE_DECREASE_WEIGHT
    )
    return base_ms + weight * (latency_ms - base_ms)
