import dataclasses
import typing

import hypothesis
import pytest
from hypothesis import strategies

from sycamoreferry_core import (
    clock,
    fold,
    ids,
    profiles,
    records,
    result_codes,
    snapshots,
    state,
    state_encoding,
    verdicts,
)

SERVICE = ids.ServiceName('manifest-svc')
NAMES = ('a', 'b', 'c', 'd')
SHARDS = 8
POLICY = snapshots.SnapshotPolicy(records=10, interval_ms=1000, patience_ms=100)


def _joined(record_id: str, name: str) -> records.AnyRecord:
    return records.InstanceJoined(
        record_id=ids.RecordId(record_id),
        instance=ids.InstanceId(name),
        data_centre=ids.DataCentre('north'),
        peer_host='127.0.0.1',
        peer_port=1,
        request_port=2,
    )


def _left(record_id: str, name: str) -> records.AnyRecord:
    return records.InstanceLeft(
        record_id=ids.RecordId(record_id),
        instance=ids.InstanceId(name),
    )


def _claim(record_id: str, term: int) -> records.AnyRecord:
    return records.TermClaimed(
        record_id=ids.RecordId(record_id),
        service=SERVICE,
        term=ids.Term(term),
        follows=ids.Term(term - 1),
        coordinator=ids.InstanceId('one'),
        deputy=ids.InstanceId('two'),
    )


def _revision(
    record_id: str,
    term: int,
    shard: int,
    server: str,
    cause: records.MoveCause,
    decided_at: int,
) -> records.AnyRecord:
    return records.AssignmentRevised(
        record_id=ids.RecordId(record_id),
        service=SERVICE,
        term=ids.Term(term),
        shard_count=SHARDS,
        changes=(
            records.Ownership(ids.ServerId(server), (ids.ShardId(shard),)),
        ),
        cause=cause,
        decided_at=clock.UnixMillis(decided_at),
    )


def _profile(record_id: str, revises: int) -> records.AnyRecord:
    return records.ProfilePublished(
        record_id=ids.RecordId(record_id),
        name=ids.ProfileName('default'),
        revises=ids.ProfileNumber(revises),
        body=profiles.format_profile(profiles.Profile()),
    )


def _drain(record_id: str, server: str, drain: bool) -> records.AnyRecord:
    return records.DrainRequested(
        record_id=ids.RecordId(record_id),
        service=SERVICE,
        server=ids.ServerId(server),
        drain=drain,
    )


def _pin(record_id: str, shard: int, server: str | None) -> records.AnyRecord:
    return records.ShardPinned(
        record_id=ids.RecordId(record_id),
        service=SERVICE,
        shard=ids.ShardId(shard),
        server=None if server is None else ids.ServerId(server),
    )


_record_ids = strategies.integers(0, 30).map(str)
_names = strategies.sampled_from(NAMES)
_shards = strategies.integers(0, SHARDS)
_records = strategies.one_of(
    strategies.builds(_joined, _record_ids, _names),
    strategies.builds(_left, _record_ids, _names),
    strategies.builds(_claim, _record_ids, strategies.integers(1, 3)),
    strategies.builds(
        _revision,
        _record_ids,
        strategies.integers(0, 2),
        _shards,
        _names,
        strategies.sampled_from(records.MoveCause),
        strategies.integers(0, 2 * clock.MILLIS_PER_HOUR),
    ),
    strategies.builds(_profile, _record_ids, strategies.integers(0, 3)),
    strategies.builds(_drain, _record_ids, _names, strategies.booleans()),
    strategies.builds(
        _pin,
        _record_ids,
        _shards,
        strategies.none() | _names,
    ),
)
# A record, an undecodable payload, or a snapshot of the log up to that point.
_steps = strategies.lists(
    _records | strategies.just('snapshot') | strategies.just('unreadable'),
    max_size=25,
)


def _write_log(
    steps: typing.Iterable[records.AnyRecord | str],
) -> list[records.LoggedRecord]:
    """Build the log that results when instances append the steps."""
    folded = state.LogState()
    logged: list[records.LoggedRecord] = []
    for step in steps:
        for payload in _payloads(step, folded):
            entry = records.LoggedRecord(ids.Offset(len(logged)), payload)
            logged.append(entry)
        folded = fold.fold_all(folded, logged)
    return logged


def _payloads(
    step: records.AnyRecord | str,
    folded: state.LogState,
) -> list[bytes]:
    if step == 'unreadable':
        return [b'not json']
    if isinstance(step, str):
        parts = snapshots.build_parts(folded, ids.InstanceId('one'))
        return [records.encode_record(part) for part in parts]
    return [records.encode_record(step)]


@pytest.fixture
def small_limits(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(verdicts, 'REMEMBERED_OFFSETS', 6)
    monkeypatch.setattr(verdicts, 'PAGE_OFFSETS', 2)
    monkeypatch.setattr(snapshots, 'PART_BYTES', 400)


_with_fixture = hypothesis.settings(
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
)


@hypothesis.given(_steps, _steps, strategies.integers(0, 30))
@_with_fixture
def test_any_start_folds_to_the_same_state(
    small_limits: None,
    earlier: list[records.AnyRecord | str],
    later: list[records.AnyRecord | str],
    kept_before: int,
) -> None:
    covers = len(_write_log(earlier))
    logged = _write_log([*earlier, 'snapshot', *later])
    whole = fold.fold_all(state.LogState(), logged)
    begins = ids.Offset(max(0, covers - kept_before))
    found = snapshots.new_finder(begins).read(logged[begins:]).newest_state
    assert found is not None
    assert found.next_offset >= covers
    assert fold.fold_all(found, logged[found.next_offset :]) == whole


@hypothesis.given(_steps)
@_with_fixture
def test_state_round_trips_through_its_encoding(
    small_limits: None,
    steps: list[records.AnyRecord | str],
) -> None:
    folded = fold.fold_all(state.LogState(), _write_log(steps))
    assert (
        state_encoding.decode_state(state_encoding.encode_state(folded))
        == folded
    )


def test_newest_complete_snapshot_is_found() -> None:
    logged = _write_log(
        [_joined('1', 'a'), 'snapshot', _joined('2', 'b'), 'snapshot'],
    )
    newest = snapshots.new_finder(ids.FIRST_OFFSET).read(logged).newest_state
    assert newest is not None
    assert newest.next_offset == 3
    folded = fold.fold_all(state.LogState(), logged)
    assert folded.snapshots.covers == 3


def test_snapshot_older_than_the_first_offset_is_ignored() -> None:
    logged = _write_log([_joined('1', 'a'), 'snapshot'])
    begins = ids.Offset(2)
    assert snapshots.new_finder(begins).read(logged).newest_state is None


def test_unfinished_snapshot_is_ignored(small_limits: None) -> None:
    logged = _write_log([_joined('1', 'a'), 'snapshot', _joined('2', 'b')])
    cut = [*logged[:-2], logged[-1]]
    newest = snapshots.new_finder(ids.FIRST_OFFSET).read(cut).newest_state
    assert newest is None


def test_older_snapshot_is_rejected() -> None:
    before = fold.fold_all(state.LogState(), _write_log([_joined('1', 'a')]))
    older = snapshots.build_parts(before, ids.InstanceId('one'))
    logged = _write_log(
        [_joined('1', 'a'), _joined('2', 'b'), 'snapshot', *older],
    )
    folded = fold.fold_all(state.LogState(), logged)
    assert (
        folded.verdict_of(older[0].record_id)
        is result_codes.ResultCode.STALE_SNAPSHOT
    )


def test_part_size_is_bounded(small_limits: None) -> None:
    joins = [_joined(str(number), f'i{number}') for number in range(40)]
    folded = fold.fold_all(state.LogState(), _write_log(joins))
    parts = snapshots.build_parts(folded, ids.InstanceId('one'))
    assert len(parts) > 1
    assert max(len(part.content) for part in parts) <= snapshots.PART_BYTES


@pytest.mark.parametrize(
    ('age_ms', 'authors'),
    [(0, 0), (999, 0), (1000, 1), (1100, 2), (1200, 3)],
)
def test_instances_become_due_one_after_another(
    age_ms: int, authors: int
) -> None:
    joins = [_joined(name, name) for name in NAMES[:3]]
    folded = fold.fold_all(state.LogState(), _write_log(joins))
    due = [
        snapshots.is_due(folded, instance, POLICY, age_ms)
        for instance in folded.instances
    ]
    assert sum(due) == authors


@pytest.mark.parametrize(('grown', 'authors'), [(9, 0), (10, 1), (20, 2)])
def test_log_growth_makes_a_snapshot_due(grown: int, authors: int) -> None:
    joins = [_joined(name, name) for name in NAMES]
    folded = dataclasses.replace(
        fold.fold_all(state.LogState(), _write_log(joins)),
        next_offset=ids.Offset(grown),
    )
    due = [
        snapshots.is_due(folded, instance, POLICY, 0)
        for instance in folded.instances
    ]
    assert sum(due) == authors


def test_unknown_instance_writes_no_snapshot() -> None:
    unknown = ids.InstanceId('x')
    assert not snapshots.is_due(state.LogState(), unknown, POLICY, 10_000)


def test_invalid_encoding_raises() -> None:
    with pytest.raises(
        state_encoding.StateDecodeError, match='cannot decode the state'
    ):
        state_encoding.decode_state(b'damaged')
