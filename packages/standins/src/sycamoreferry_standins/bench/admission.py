"""Weigh ways to admit non-idempotent requests, in simulated time."""

import dataclasses
import itertools

from sycamoreferry_core import (
    admission_actions,
    admission_records,
    admission_state,
    clock,
    ids,
)
from sycamoreferry_standins import admission_callers, admission_world
from sycamoreferry_standins.bench import report

PARTITIONS = 8
LOG_APPENDS_A_SECOND = 400
STEADY_MS = 20_000
OUTAGE_MS = 60_000
LOSS_MS = 10_000
SETTLING_MS = 3000
OUTAGE_RATE = 80
PERCENT = 100
MEDIAN = 50
TAIL = 99
NAMES = ('a', 'b', 'c', 'd')
RATES = (80, 240, 800)

_ADMITTED = admission_actions.Verdict.ADMITTED

BATCHED = admission_state.Timing()
SINGLE = admission_state.Timing(batch_ms=0, batch_entries=1)
REFUSING = admission_state.Timing(limit_without_log_ms=0)


@dataclasses.dataclass(frozen=True)
class _Variant:
    """Name a way to admit."""

    name: str
    timing: admission_state.Timing


_BATCHES = _Variant('batches and a deputy', BATCHED)
_SINGLES = _Variant('an append each', SINGLE)
_REFUSALS = _Variant('refused through an outage', REFUSING)


class _Run:
    """Offer requests to one partition at its share of a rate."""

    def __init__(self, variant: _Variant) -> None:
        self.variant = variant
        self.world = admission_world.World(NAMES, variant.timing)
        gap_ms = clock.MILLIS_PER_SECOND * PARTITIONS // LOG_APPENDS_A_SECOND
        self.world.faults.gap_ms = gap_ms
        self.callers = admission_callers.Callers(self.world)
        self._numbers = itertools.count()
        self.world.advance(SETTLING_MS)

    def offer(
        self,
        rate: int,
        duration: int,
    ) -> list[admission_callers.Request]:
        """Offer requests at a rate for a time; return them when they ended."""
        interval = clock.MILLIS_PER_SECOND * PARTITIONS // rate
        offered = []
        for _ in range(duration // interval):
            number = next(self._numbers)
            offered.append(
                self.callers.request(
                    f'key-{number}',
                    ids.InstanceId(NAMES[-1 - number % 2]),
                    admission_records.Ending.ANSWERED,
                ),
            )
            self.world.advance(interval)
        self.world.advance(admission_callers.GATE_PATIENCE_MS)
        return offered


async def measure() -> tuple[report.Measurement, ...]:
    """Measure added latency, appends a second and unavailable time."""
    measured: list[report.Measurement] = []
    for variant in (_BATCHES, _SINGLES):
        for rate in RATES:
            measured.extend(_measure_steady(variant, rate))
    for without_log in (_BATCHES, _REFUSALS):
        measured.append(_measure_outage(without_log))
    measured.extend(_measure_losses())
    return tuple(measured)


def _measure_steady(
    variant: _Variant,
    rate: int,
) -> list[report.Measurement]:
    run = _Run(variant)
    appends = run.world.appends
    offered = run.offer(rate, STEADY_MS)
    appends = run.world.appends - appends
    waits = sorted(
        made.answered_at - made.asked_at
        for made in offered
        if made.verdict is _ADMITTED
    )
    refused = PERCENT * (len(offered) - len(waits)) / len(offered)
    seconds = clock.seconds(STEADY_MS)
    experiment = f'admission at {rate} requests/s'
    rows = (
        ('added latency p50', _quantile(waits, MEDIAN), 'ms'),
        ('added latency p99', _quantile(waits, TAIL), 'ms'),
        ('appends of all partitions', appends * PARTITIONS / seconds, '/s'),
        ('refused', refused, '%'),
    )
    return [report.Measurement(experiment, variant.name, *row) for row in rows]


def _quantile(ordered: list[int], percent: int) -> float:
    if not ordered:
        return float('inf')
    place = min(len(ordered) - 1, len(ordered) * percent // PERCENT)
    return float(ordered[place])


def _measure_outage(variant: _Variant) -> report.Measurement:
    run = _Run(variant)
    run.world.faults.down = True
    offered = run.offer(OUTAGE_RATE, OUTAGE_MS)
    return report.Measurement(
        'log down for 60 s',
        variant.name,
        'unavailable time',
        _unavailable(offered, OUTAGE_MS),
        's',
    )


def _measure_losses() -> list[report.Measurement]:
    return [
        report.Measurement(
            'loss while the log is up',
            _BATCHES.name,
            f'unavailable time, {who} lost',
            _measure_loss(place),
            's',
        )
        for place, who in enumerate(('owner', 'deputy'))
    ]


def _measure_loss(place: int) -> float:
    run = _Run(_BATCHES)
    known = run.world.nodes[ids.InstanceId(NAMES[0])].state
    claim = known.journal.claim
    run.world.kill((claim.owner, claim.deputy)[place])
    offered = run.offer(OUTAGE_RATE, LOSS_MS)
    return _unavailable(offered, LOSS_MS)


def _unavailable(
    offered: list[admission_callers.Request],
    duration: int,
) -> float:
    admitted = sum(made.verdict is _ADMITTED for made in offered)
    share = 1 - admitted / len(offered)
    return share * clock.seconds(duration)
