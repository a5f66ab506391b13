import dataclasses
import datetime
import pathlib

import pytest

from sycamoreferry_core import assignment, clock, ids, keys, state
from sycamoreferry_standins import (
    trace,
    trace_maker,
    trace_statements,
    workloads,
)

TRACES = pathlib.Path(__file__).parents[3] / 'traces'
MOST_BYTES = 300_000
NAMES = sorted(trace_maker.MAKERS)


@pytest.mark.parametrize('name', NAMES)
def test_shipped_trace_is_what_the_seed_makes(name: str) -> None:
    shipped = (TRACES / f'{name}.jsonl').read_bytes()
    assert shipped == trace.format_trace(trace_maker.MAKERS[name]())
    assert len(shipped) < MOST_BYTES


@pytest.mark.parametrize('name', NAMES)
def test_outcomes_are_stated_beside_each_trace(name: str) -> None:
    statement = trace_statements.read_statement(TRACES / f'{name}.yaml')
    services = {
        size.name: size
        for size in workloads.WORKLOADS[statement.workload].services
    }
    for line in trace.read_trace(TRACES / f'{name}.jsonl'):
        if isinstance(line, trace.RequestSent):
            assert bool(line.key) == services[line.service].is_keyed
            assert bool(line.idempotency_key) == (line.method == 'POST')


@pytest.mark.parametrize(
    ('zone', 'hours'),
    [('Europe/London', 1), ('Asia/Manila', 0)],
)
def test_peak_keeps_its_local_hour(zone: str, hours: int) -> None:
    day = dataclasses.replace(trace_maker.CLOCK_CHANGE, zone=zone)
    before, _ = trace_maker.peak_of_day(day, 6)
    after, _ = trace_maker.peak_of_day(day, 7)
    assert after - before == day.day_ms + hours * day.day_ms // 24
    midnight = datetime.datetime(2026, 10, 19, tzinfo=datetime.UTC)
    assert trace_maker.trace_time(day, midnight) == day.day_ms


def test_trace_drives_the_assignment_in_process() -> None:
    timer = clock.ManualClock()
    size = workloads.DYFED.services[0]
    servers = {
        ids.ServerId(f'{size.name}-{number + 1}')
        for number in range(size.targets)
    }
    assigned = _assign(state.Assignment(), size, servers)
    leavings = 0
    for line in trace.walk(trace_maker.make_launch(), timer):
        if isinstance(line, trace.ServerLeaving) and line.owner_of:
            leaving = _owner(assigned, line.owner_of.key)
            servers.discard(leaving)
            before = assigned
            assigned = _assign(assigned, size, servers)
            assert leaving not in assigned.owners
            assert _moved(before, assigned) == before.owners.count(leaving)
            leavings += 1
        elif isinstance(line, trace.RequestSent) and line.key:
            assert _owner(assigned, line.key) in servers
    assert leavings == 1
    assert timer.now() > 0


def _assign(
    before: state.Assignment,
    size: workloads.ServiceSize,
    servers: set[ids.ServerId],
) -> state.Assignment:
    owners = list(before.owners) or [ids.ServerId('')] * size.shards
    for change in assignment.plan_changes(before, size.shards, servers):
        for shard in change.shards:
            owners[shard] = change.server
    return state.Assignment(tuple(owners), (ids.Fence(0),) * size.shards)


def _owner(assigned: state.Assignment, key: str) -> ids.ServerId:
    return assigned.owners[keys.shard_of(key, len(assigned.owners))]


def _moved(before: state.Assignment, after: state.Assignment) -> int:
    pairs = zip(before.owners, after.owners, strict=True)
    return sum(old != new for old, new in pairs)
