"""Choose a target of a service without keys."""

import dataclasses
import typing

from sycamoreferry_core import clock, ids

# A slow answer is worth half as much after this time.
LATENCY_HALF_LIFE_MS = 2000
SLOW_START_MS = 5000
COLDEST_WARMTH = 0.1
# A target of the own data centre is left once it is this much slower.
NEAR_SLOWNESS = 3
_RECENT_SHARE = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class TargetLoad:
    """Hold what an instance itself sees of a target's load."""

    server: ids.ServerId
    in_flight: int = 0
    recent_ms: float = 0
    answered_at: clock.Millis = clock.LONG_AGO
    warm_since: clock.Millis = clock.LONG_AGO


@dataclasses.dataclass(frozen=True, slots=True)
class Common:
    """Hold what the targets of a service share."""

    base_ms: float
    now: clock.Millis


def with_one_more(load: TargetLoad) -> TargetLoad:
    """Return the load with one more request in flight."""
    return TargetLoad(
        load.server,
        load.in_flight + 1,
        load.recent_ms,
        load.answered_at,
        load.warm_since,
    )


def with_one_less(load: TargetLoad) -> TargetLoad:
    """Return the load with one request fewer in flight."""
    return TargetLoad(
        load.server,
        load.in_flight - 1,
        load.recent_ms,
        load.answered_at,
        load.warm_since,
    )


def after_answer(
    load: TargetLoad,
    latency_ms: float,
    now: clock.Millis,
) -> TargetLoad:
    """Return the load of a target with one more latency."""
    recent = latency_ms
    if load.recent_ms:
        change = latency_ms - load.recent_ms
        recent = load.recent_ms + _RECENT_SHARE * change
    return TargetLoad(
        load.server,
        load.in_flight,
        recent,
        now,
        load.warm_since,
    )


def score(load: TargetLoad, common: Common) -> float:
    """Return how long a target would take, in multiples of its work."""
    present = (load.in_flight + 1) * slowness(load, common)
    return present / warmth(load.warm_since, common.now)


def slowness(load: TargetLoad, common: Common) -> float:
    """Return the multiple of the base latency that a target shows."""
    if load.recent_ms <= common.base_ms or not common.base_ms:
        return 1
    age = common.now - load.answered_at
    worth = float(2 ** (-age / LATENCY_HALF_LIFE_MS))
    return 1 + (load.recent_ms / common.base_ms - 1) * worth


def warmth(warm_since: clock.Millis, now: clock.Millis) -> float:
    """Return the share of a full load that a cold server gets."""
    return min(1, max(COLDEST_WARMTH, (now - warm_since) / SLOW_START_MS))


def is_near_enough(load: TargetLoad, common: Common, slots: int) -> bool:
    """Tell whether a target of the own data centre has room."""
    if load.in_flight >= slots:
        return False
    return slowness(load, common) < NEAR_SLOWNESS


def choose(
    loads: typing.Sequence[TargetLoad],
    common: Common,
    draw: typing.Callable[[int], int],
) -> int | None:
    """Return the place of the better of two targets drawn at random."""
    if len(loads) <= 1:
        return 0 if loads else None
    first = draw(len(loads))
    second = (first + 1 + draw(len(loads) - 1)) % len(loads)
    if score(loads[second], common) < score(loads[first], common):
        return second
    return first
