"""Measure three ways to serve callers while a shard has no owner."""

import dataclasses
import enum
import heapq
import random

from sycamoreferry_core import clock, owner_wait, profiles
from sycamoreferry_standins.bench import latencies, report

_SEED = 5
_CALLS_PER_SECOND = 100
_ARRIVALS_MS = 3000
_LOSSES_MS = (1500, 2100, 2500)
_DEADLINES_MS = (2000, 5000)
_ROUND_TRIP_MS = 4
_MOST_CALLS = 8
_SHORT = owner_wait.SHORT_GAP_MS
_MILLIS = 1000
_POLICY = profiles.Profile()


@enum.unique
class Way(enum.Enum):
    """Name the ways that are weighed."""

    AT_ONCE = 'answer at once'
    TO_DEADLINE = 'wait to the deadline'
    IF_IN_TIME = 'wait if an owner is due in time'


@dataclasses.dataclass
class Tally:
    """Count what callers met."""

    first_calls: int = 0
    calls: int = 0
    refused: int = 0
    held_then_refused: int = 0
    held: int = 0
    delays: latencies.Latencies = dataclasses.field(
        default_factory=latencies.Latencies,
    )


def measure() -> tuple[report.Measurement, ...]:
    """Return what callers met for each way, deadline and loss."""
    rows: list[report.Measurement] = []
    for deadline_ms in _DEADLINES_MS:
        for loss_ms in _LOSSES_MS:
            for way in Way:
                tally = _run(way, deadline_ms, loss_ms)
                name = f'deadline {deadline_ms}, loss {loss_ms}'
                rows.extend(_rows(f'{way.value}; {name}', tally))
    return tuple(rows)


def _run(way: Way, deadline_ms: int, loss_ms: int) -> Tally:
    chance = random.Random(_SEED)
    tally = Tally()
    queue: list[tuple[int, int, int]] = []
    arrival: float = 0
    while arrival < _ARRIVALS_MS:
        heapq.heappush(queue, (int(arrival), int(arrival), 1))
        tally.first_calls += 1
        arrival += chance.expovariate(_CALLS_PER_SECOND / _MILLIS)
    while queue:
        now, started, number = heapq.heappop(queue)
        again = _call(way, tally, now, started, deadline_ms, loss_ms)
        if again is not None and number < _MOST_CALLS:
            heapq.heappush(queue, (again, started, number + 1))
    return tally


def _call(
    way: Way,
    tally: Tally,
    now: int,
    started: int,
    deadline_ms: int,
    loss_ms: int,
) -> int | None:
    """Serve one call; return when the caller calls again, if it has to."""
    tally.calls += 1
    if now >= loss_ms:
        tally.delays.add(now - started + _ROUND_TRIP_MS)
        return None
    limit, retry_after_ms = _limit(way, now, deadline_ms)
    if limit >= loss_ms:
        tally.held += 1
        tally.delays.add(loss_ms - started + _ROUND_TRIP_MS)
        return None
    tally.refused += 1
    if limit > now:
        tally.held_then_refused += 1
    # Retry-After counts whole seconds.
    whole = -(-retry_after_ms // _MILLIS) * _MILLIS
    return limit + _ROUND_TRIP_MS + whole


def _limit(way: Way, now: int, deadline_ms: int) -> tuple[int, int]:
    if way is Way.AT_ONCE:
        return now, _MILLIS
    if way is Way.TO_DEADLINE:
        return now + deadline_ms, _MILLIS
    decided = owner_wait.decide_wait(
        clock.Millis(0),
        clock.Millis(now + deadline_ms),
        0,
        _POLICY,
        clock.Millis(now),
    )
    if isinstance(decided, owner_wait.RetryLater):
        return now, decided.retry_after_ms
    if decided.until >= now + deadline_ms or decided.until - now > _SHORT:
        return decided.until, _MILLIS
    return _after_short_gap(decided.until, now + deadline_ms)


def _after_short_gap(now: int, deadline: int) -> tuple[int, int]:
    """Decide again, as the wait for a short gap ends without an owner."""
    decided = owner_wait.decide_wait(
        clock.Millis(0),
        clock.Millis(deadline),
        0,
        _POLICY,
        clock.Millis(now),
    )
    if isinstance(decided, owner_wait.RetryLater):
        return now, decided.retry_after_ms
    return decided.until, _MILLIS


def _rows(variant: str, tally: Tally) -> tuple[report.Measurement, ...]:
    shown = (
        ('p50 to the answer', tally.delays.percentile(latencies.HALF), 'ms'),
        (
            'p99 to the answer',
            tally.delays.percentile(latencies.NEARLY_ALL),
            'ms',
        ),
        ('calls for each first call', tally.calls / tally.first_calls, ''),
        ('refused', tally.refused / tally.first_calls, 'of first calls'),
        (
            'held, then refused',
            tally.held_then_refused / tally.first_calls,
            'of first calls',
        ),
    )
    return tuple(
        report.Measurement('owner lost', variant, quantity, figure, unit)
        for quantity, figure, unit in shown
    )
