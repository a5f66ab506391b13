"""Measure how the cost of decisions grows, in-process, and fit lines."""

import dataclasses
import operator
import time
import tracemalloc
import typing

from sycamoreferry_core import clock, fold, ids, records, state
from sycamoreferry_standins.bench import fits, group, report

SERVERS = (8, 17, 34, 68, 136)
SHARDS = (1024, 4096, 16384, 65536)
FEW_SERVERS = 17
FEW_SHARDS = 1024
SETTLE_MS = 3000
WINDOW_MS = 5000
PERCENT = 100
MICROS = 1_000_000
FOLDS = 200

PROCESSOR_TARGET_PERCENT = 1.5

Points = list[tuple[float, float]]


def measure() -> tuple[report.Measurement, ...]:
    """Measure decisions, orders, folding and state at several sizes."""
    rows: list[report.Measurement] = []
    rows.extend(
        _decisions('servers', [(count, FEW_SHARDS) for count in SERVERS])
    )
    rows.extend(
        _decisions('shards', [(FEW_SERVERS, count) for count in SHARDS])
    )
    rows.extend(_fold_costs())
    return tuple(rows)


def _decisions(
    grown: str,
    sizes: typing.Sequence[tuple[int, int]],
) -> typing.Iterator[report.Measurement]:
    rates = {
        float(servers if grown == 'servers' else shards): _steady_rates(
            servers,
            shards,
        )
        for servers, shards in sizes
    }
    experiment = f'decisions by {grown}'
    for quantity, unit, pick in (
        ('processor', '%', operator.attrgetter('processor_percent')),
        ('orders', '/s', operator.attrgetter('orders')),
        ('bodies', 'B/s', operator.attrgetter('body_bytes')),
    ):
        points = [(size, pick(rate)) for size, rate in rates.items()]
        yield from _fitted(experiment, quantity, unit, points)


@dataclasses.dataclass(frozen=True)
class Rates:
    """Hold what a settled group spends in a second."""

    processor_percent: float
    orders: float
    body_bytes: float


def _steady_rates(servers: int, shards: int) -> Rates:
    settled = group.Group(servers, shards)
    settled.run(SETTLE_MS)
    if settled.held() != shards:
        raise RuntimeError('the group did not settle; lengthen SETTLE_MS')
    spent = settled.decision_seconds
    orders = settled.orders.total()
    sent = settled.order_bytes
    settled.run(WINDOW_MS)
    window = clock.seconds(WINDOW_MS)
    return Rates(
        processor_percent=PERCENT * (settled.decision_seconds - spent) / window,
        orders=(settled.orders.total() - orders) / window,
        body_bytes=(settled.order_bytes - sent) / window,
    )


def _fitted(
    experiment: str,
    quantity: str,
    unit: str,
    points: Points,
) -> typing.Iterator[report.Measurement]:
    for size, figure in points:
        yield report.Measurement(
            experiment,
            f'{size:g}',
            quantity,
            figure,
            unit,
        )
    fit = fits.fit_line(points)
    yield report.Measurement(
        experiment,
        'fit',
        f'{quantity}, slope',
        fit.slope,
        unit,
    )
    yield report.Measurement(
        experiment,
        'fit',
        f'{quantity}, intercept',
        fit.intercept,
        unit,
    )
    yield report.Measurement(
        experiment,
        'fit',
        f'{quantity}, largest miss',
        PERCENT * fit.largest_miss,
        '%',
    )


def _fold_costs() -> typing.Iterator[report.Measurement]:
    micros: Points = []
    held: Points = []
    for shards in SHARDS:
        tracemalloc.start()
        assigned = _assigned(shards)
        held.append((float(shards), float(tracemalloc.get_traced_memory()[0])))
        tracemalloc.stop()
        micros.append((float(shards), _fold_micros(assigned, shards)))
    yield from _fitted('fold one revision by shards', 'time', 'us', micros)
    yield from _fitted('state by shards', 'memory', 'B', held)


def _revision(
    place: int,
    shards: typing.Iterable[int],
    count: int,
) -> records.AnyRecord:
    return records.AssignmentRevised(
        record_id=ids.RecordId(f'revision/{place}'),
        service=ids.ServiceName('keyed'),
        term=ids.NO_TERM,
        shard_count=count,
        changes=(
            records.Ownership(
                ids.ServerId(f'server-{place % FEW_SERVERS}'),
                tuple(ids.ShardId(shard) for shard in shards),
            ),
        ),
    )


def _assigned(shards: int) -> state.LogState:
    return _append(state.LogState(), _revision(0, range(shards), shards))


def _append(
    log_state: state.LogState,
    record: records.AnyRecord,
) -> state.LogState:
    payload = records.encode_record(record)
    return fold.fold_one(
        log_state,
        records.LoggedRecord(log_state.next_offset, payload),
    )


def _fold_micros(log_state: state.LogState, shards: int) -> float:
    started = time.perf_counter()
    for place in range(1, FOLDS):
        log_state = _append(log_state, _revision(place, (0,), shards))
    return MICROS * (time.perf_counter() - started) / FOLDS
