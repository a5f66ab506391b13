"""Measure churn and imbalance beside other ways to place shards."""

import dataclasses
import random
import time
import typing

from sycamoreferry_core import (
    assignment,
    fold,
    ids,
    load_moves,
    profiles,
    records,
    shard_loads,
    state,
    state_encoding,
)
from sycamoreferry_standins.bench import placements, report

SIZES = ((17, 1024), (17, 65_536), (400, 1024), (400, 65_536))
THRESHOLD = profiles.Moves().imbalance_threshold
MILLIS_A_SECOND = 1000
MICROS_A_SECOND = 1_000_000
HOT_SHARDS = 150
HOT_SHARE = 0.2
REQUESTS_A_SECOND = 100_000
SEED = 7
CHANGES_A_DAY = 5200
REVISIONS = 100
SERVICE = ids.ServiceName('manifest-svc')

_NO_CHANGE = 'least possible'
_OURS = 'sycamoreferry'

Owners = tuple[ids.ServerId, ...]
Place = typing.Callable[[int, placements.Servers], Owners]


def measure() -> tuple[report.Measurement, ...]:
    """Measure churn, imbalance, planning, folding and snapshots."""
    rows: list[report.Measurement] = []
    for servers, shards in SIZES:
        rows.extend(_measure_churn(servers, shards))
        rows.extend(_measure_hot_keys(servers, shards))
    rows.extend(_measure_fold())
    return tuple(rows)


def _names(count: int) -> list[ids.ServerId]:
    return [ids.ServerId(f'server-{number:03}') for number in range(count)]


def _moved(before: Owners, after: Owners) -> int:
    return sum(left != right for left, right in zip(before, after, strict=True))


def _imbalance(owners: Owners, servers: int) -> float:
    counts: dict[ids.ServerId, int] = {}
    for owner in owners:
        counts[owner] = counts.get(owner, 0) + 1
    return max(counts.values()) * servers / len(owners)


def _measure_churn(servers: int, shards: int) -> list[report.Measurement]:
    names = _names(servers)
    ours = _first(shards, names)
    size = f'{servers} servers, {shards} shards'
    return [
        *_measure_change(
            f'loss or planned stop: {size}',
            ours,
            names,
            names[1:],
            len(ours.shards_by_owner[names[0]]),
        ),
        *_measure_change(
            f'arrival: {size}',
            ours,
            names,
            [*names, ids.ServerId('server-new')],
            shards // (servers + 1),
        ),
    ]


def _measure_change(
    experiment: str,
    ours: state.Assignment,
    before: placements.Servers,
    after: placements.Servers,
    least: int,
) -> list[report.Measurement]:
    return [
        _row(experiment, _NO_CHANGE, 'moved', least, 'shards'),
        *_compare(experiment, len(ours.owners), before, after),
        *_measure_ours(experiment, ours, after),
    ]


def _compare(
    experiment: str,
    shards: int,
    before: placements.Servers,
    after: placements.Servers,
) -> list[report.Measurement]:
    baselines: tuple[tuple[str, Place], ...] = (
        ('modulo hashing', placements.place_by_modulo),
        ('consistent hashing', placements.place_on_ring),
    )
    rows = []
    for variant, place in baselines:
        placed = place(shards, after)
        moved = _moved(place(shards, before), placed)
        imbalance = _imbalance(placed, len(after))
        rows.append(_row(experiment, variant, 'moved', moved, 'shards'))
        rows.append(_row(experiment, variant, 'max/mean', imbalance, ''))
    return rows


def _measure_ours(
    experiment: str,
    before: state.Assignment,
    servers: placements.Servers,
) -> list[report.Measurement]:
    start = time.perf_counter()
    after = _settle(before, servers, shard_loads.ShardLoads())
    spent = (time.perf_counter() - start) * MILLIS_A_SECOND
    moved = _moved(before.owners, after.owners)
    imbalance = _imbalance(after.owners, len(servers))
    return [
        _row(experiment, _OURS, 'moved', moved, 'shards'),
        _row(experiment, _OURS, 'max/mean', imbalance, ''),
        _row(experiment, _OURS, 'planning', spent, 'ms'),
    ]


def _first(shards: int, servers: placements.Servers) -> state.Assignment:
    unowned = state.Assignment(
        (ids.ServerId(''),) * shards,
        (ids.NO_FENCE,) * shards,
    )
    while True:
        changes = assignment.plan_changes(unowned, shards, servers)
        if not changes:
            return unowned
        unowned = _apply(unowned, changes)


def _apply(
    assigned: state.Assignment,
    changes: tuple[records.Ownership, ...],
) -> state.Assignment:
    owners = list(assigned.owners)
    for change in changes:
        for shard in change.shards:
            owners[shard] = change.server
    return dataclasses.replace(assigned, owners=tuple(owners))


def _settle(
    assigned: state.Assignment,
    servers: placements.Servers,
    loads: shard_loads.ShardLoads,
) -> state.Assignment:
    shards = len(assigned.owners)
    changes = assignment.plan_changes(assigned, shards, servers)
    if changes:
        assigned = _apply(assigned, changes)
    plan = load_moves.plan_moves(_situation(assigned, servers, loads))
    return _apply(assigned, plan.changes) if plan else assigned


def _situation(
    assigned: state.Assignment,
    servers: placements.Servers,
    loads: shard_loads.ShardLoads,
) -> load_moves.PlanInputs:
    return load_moves.PlanInputs(
        assigned=assigned,
        loads=loads,
        servers=servers,
        pins={},
        recently_moved=frozenset(),
        recent_arrivals=frozenset(),
        threshold=THRESHOLD,
        max_moves=len(assigned.owners),
    )


def _hot_loads(shards: int) -> shard_loads.ShardLoads:
    hot = random.Random(SEED).sample(range(shards), HOT_SHARDS)
    # The weight of the hot shards falls off as their rank grows.
    weights = [1 / (rank + 2) for rank in range(HOT_SHARDS)]
    scale = HOT_SHARE * REQUESTS_A_SECOND / sum(weights)
    return shard_loads.ShardLoads(
        busiest={
            ids.ShardId(shard): weight * scale
            for shard, weight in zip(hot, weights, strict=True)
        },
        other_rate=(1 - HOT_SHARE) * REQUESTS_A_SECOND / shards,
    )


def _measure_hot_keys(servers: int, shards: int) -> list[report.Measurement]:
    names = _names(servers)
    before = _first(shards, names)
    loads = _hot_loads(shards)
    start = time.perf_counter()
    after = _settle(before, names, loads)
    spent = (time.perf_counter() - start) * MILLIS_A_SECOND
    experiment = f'hot keys: {servers} servers, {shards} shards'
    hottest = max(loads.busiest.values()) * servers / REQUESTS_A_SECOND
    moved = _moved(before.owners, after.owners)
    return [
        _row(experiment, 'before', 'max/mean', _peak(before, loads), ''),
        _row(experiment, _OURS, 'max/mean', _peak(after, loads), ''),
        _row(experiment, 'hottest shard alone', 'max/mean', hottest, ''),
        _row(experiment, _OURS, 'moved', moved, 'shards'),
        _row(experiment, _OURS, 'planning', spent, 'ms'),
    ]


def _peak(assigned: state.Assignment, loads: shard_loads.ShardLoads) -> float:
    carried = [
        loads.of_shards(shards) for shards in assigned.shards_by_owner.values()
    ]
    return max(carried) * len(carried) / sum(carried)


def _measure_fold() -> list[report.Measurement]:
    servers, shards = SIZES[-1]
    logged = _write_log(_names(servers), shards)
    cut = len(logged) - REVISIONS
    body = cut - CHANGES_A_DAY
    folded = fold.fold_all(state.LogState(), logged[:body])
    folded, each_profile = _time_fold(folded, logged[body:cut])
    folded, each_revision = _time_fold(folded, logged[cut:])
    experiment = f'fold, {shards} shards'
    return [
        _row(experiment, 'profile record', 'each', each_profile, 'us'),
        _row(experiment, 'revision record', 'each', each_revision, 'us'),
        *_measure_image(folded, shards),
    ]


def _time_fold(
    before: state.LogState,
    logged: typing.Sequence[records.LoggedRecord],
) -> tuple[state.LogState, float]:
    start = time.perf_counter()
    after = fold.fold_all(before, logged)
    spent = time.perf_counter() - start
    return after, spent / len(logged) * MICROS_A_SECOND


def _measure_image(
    folded: state.LogState,
    shards: int,
) -> list[report.Measurement]:
    experiment = f'snapshot, {shards} shards'
    start = time.perf_counter()
    image = state_encoding.encode_state(folded)
    written = time.perf_counter()
    state_encoding.decode_state(image)
    read = time.perf_counter()
    writing = (written - start) * MILLIS_A_SECOND
    reading = (read - written) * MILLIS_A_SECOND
    return [
        _row(experiment, _OURS, 'size', len(image), 'bytes'),
        _row(experiment, _OURS, 'writing', writing, 'ms'),
        _row(experiment, _OURS, 'reading', reading, 'ms'),
    ]


def _write_log(
    servers: placements.Servers,
    shards: int,
) -> list[records.LoggedRecord]:
    chance = random.Random(SEED)
    owned: dict[ids.ServerId, list[ids.ShardId]] = {}
    for shard in range(shards):
        owned.setdefault(chance.choice(servers), []).append(ids.ShardId(shard))
    written: list[records.AnyRecord] = [
        _claim(),
        _revision('first', shards, assignment.ownership_changes(owned)),
    ]
    written.extend(_profile(number) for number in range(CHANGES_A_DAY))
    for number in range(REVISIONS):
        change = records.Ownership(servers[0], (ids.ShardId(number),))
        written.append(_revision(str(number), shards, (change,)))
    return [
        records.LoggedRecord(ids.Offset(offset), records.encode_record(record))
        for offset, record in enumerate(written)
    ]


def _profile(number: int) -> records.ProfilePublished:
    return records.ProfilePublished(
        record_id=ids.RecordId(f'profile/{number:016x}'),
        name=ids.ProfileName('default'),
        revises=ids.ProfileNumber(number),
        body=profiles.format_profile(profiles.Profile()),
    )


def _claim() -> records.TermClaimed:
    return records.TermClaimed(
        record_id=ids.RecordId('claim'),
        service=SERVICE,
        term=ids.Term(1),
        follows=ids.NO_TERM,
        coordinator=ids.InstanceId('one'),
        deputy=ids.InstanceId('two'),
    )


def _revision(
    name: str,
    shards: int,
    changes: tuple[records.Ownership, ...],
) -> records.AssignmentRevised:
    return records.AssignmentRevised(
        record_id=ids.RecordId(f'revision/{name}'),
        service=SERVICE,
        term=ids.Term(1),
        shard_count=shards,
        changes=changes,
    )


def _row(
    experiment: str,
    variant: str,
    quantity: str,
    figure: float,
    unit: str,
) -> report.Measurement:
    return report.Measurement(experiment, variant, quantity, figure, unit)
