"""Choose a target for a service without keys by load and latency."""

import dataclasses
import typing

from sycamoreferry_core import clock, ids

# The weight of a latency above the base halves in this time.
LATENCY_HALF_LIFE_MS = 2000
SLOW_START_MS = 5000
MIN_SLOW_START_RATIO = 0.1
# A target in the local data centre is no longer preferred once its latency
# reaches this multiple of the base.
MAX_LOCAL_LATENCY_RATIO = 3
_LATENCY_EWMA_WEIGHT = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class TargetLoad:
    """Hold the load of a target as this instance alone measures it."""

    server: ids.ServerId
    in_flight: int = 0
    recent_latency_ms: float = 0
    answered_at: clock.Millis = clock.LONG_AGO
    slow_start_at: clock.Millis = clock.LONG_AGO


@dataclasses.dataclass(frozen=True, slots=True)
class ScoringContext:
    """Hold the base latency and the time that all targets are scored by."""

    base_ms: float
    now: clock.Millis


def after_request_start(load: TargetLoad) -> TargetLoad:
    """Return the load with one more request in flight."""
    return TargetLoad(
        load.server,
        load.in_flight + 1,
        load.recent_latency_ms,
        load.answered_at,
        load.slow_start_at,
    )


def after_request_end(load: TargetLoad) -> TargetLoad:
    """Return the load with one request fewer in flight."""
    return TargetLoad(
        load.server,
        load.in_flight - 1,
        load.recent_latency_ms,
        load.answered_at,
        load.slow_start_at,
    )


def after_answer(
    load: TargetLoad,
    latency_ms: float,
    now: clock.Millis,
) -> TargetLoad:
    """Return the load with a latency added to the moving average."""
    recent = latency_ms
    if load.recent_latency_ms:
        change = latency_ms - load.recent_latency_ms
        recent = load.recent_latency_ms + _LATENCY_EWMA_WEIGHT * change
    return TargetLoad(
        load.server,
        load.in_flight,
        recent,
        now,
        load.slow_start_at,
    )


def score(load: TargetLoad, common: ScoringContext) -> float:
    """Return the expected cost of one more request; lower is better."""
    cost = (load.in_flight + 1) * latency_ratio(load, common)
    return cost / slow_start_ratio(load.slow_start_at, common.now)


def latency_ratio(load: TargetLoad, common: ScoringContext) -> float:
    """Return recent latency over base latency, decayed towards 1 by age."""
    if load.recent_latency_ms <= common.base_ms or not common.base_ms:
        return 1
    age = common.now - load.answered_at
    weight = float(2 ** (-age / LATENCY_HALF_LIFE_MS))
    return 1 + (load.recent_latency_ms / common.base_ms - 1) * weight


def slow_start_ratio(slow_start_at: clock.Millis, now: clock.Millis) -> float:
    """Return the share of a full load that a server gets in slow start."""
    return min(
        1, max(MIN_SLOW_START_RATIO, (now - slow_start_at) / SLOW_START_MS)
    )


def is_local_target_usable(
    load: TargetLoad, common: ScoringContext, slots: int
) -> bool:
    """Tell whether a local target has a free slot and is not too slow."""
    if load.in_flight >= slots:
        return False
    return latency_ratio(load, common) < MAX_LOCAL_LATENCY_RATIO


def choose(
    loads: typing.Sequence[TargetLoad],
    common: ScoringContext,
    draw: typing.Callable[[int], int],
) -> int | None:
    """Return the index of the better of two targets drawn at random."""
    if len(loads) <= 1:
        return 0 if loads else None
    first = draw(len(loads))
    second = (first + 1 + draw(len(loads) - 1)) % len(loads)
    if score(loads[second], common) < score(loads[first], common):
        return second
    return first
