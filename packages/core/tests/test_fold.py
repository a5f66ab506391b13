import hypothesis
import pytest
from hypothesis import strategies

from sycamoreferry_core import (
    fold,
    ids,
    profiles,
    records,
    result_codes,
    state,
)

SERVICE = ids.ServiceName('manifest-svc')
NAMES = ('a', 'b')


def _claim(record_id: str, term: int, follows: int) -> records.AnyRecord:
    return records.TermClaimed(
        record_id=ids.RecordId(record_id),
        service=SERVICE,
        term=ids.Term(term),
        follows=ids.Term(follows),
        coordinator=ids.InstanceId('one'),
        deputy=ids.InstanceId('two'),
    )


def _profile(record_id: str, revises: int) -> records.AnyRecord:
    return records.ProfilePublished(
        record_id=ids.RecordId(record_id),
        name=ids.ProfileName('default'),
        revises=ids.ProfileNumber(revises),
        body=profiles.format_profile(profiles.Profile()),
    )


def _logged(*appended: records.AnyRecord) -> list[records.LoggedRecord]:
    return [
        records.LoggedRecord(ids.Offset(offset), records.encode_record(record))
        for offset, record in enumerate(appended)
    ]


def test_first_claim_in_the_log_wins() -> None:
    folded = fold.fold_all(
        state.LogState(),
        _logged(_claim('x', 1, 0), _claim('y', 1, 0)),
    )
    assert folded.term_of(SERVICE).term == 1
    assert folded.verdict_of(ids.RecordId('x')) == 1000
    assert (
        folded.verdict_of(ids.RecordId('y'))
        is result_codes.ResultCode.STALE_TERM
    )


def test_racing_publishers_get_one_acceptance() -> None:
    folded = fold.fold_all(
        state.LogState(),
        _logged(_profile('x', 0), _profile('y', 0), _profile('z', 1)),
    )
    assert folded.profiles[ids.ProfileName('default')].number == 2
    assert (
        folded.verdict_of(ids.RecordId('y'))
        is result_codes.ResultCode.STALE_PROFILE
    )


def test_repeated_record_is_applied_once() -> None:
    folded = fold.fold_all(
        state.LogState(),
        _logged(_profile('x', 0), _profile('x', 0)),
    )
    assert folded.profiles[ids.ProfileName('default')].number == 1
    assert folded.verdict_of(ids.RecordId('x')) == 1000


def test_offset_gap_raises() -> None:
    entry = records.LoggedRecord(ids.Offset(3), b'{}')
    with pytest.raises(fold.OffsetGapError, match='expected offset 0'):
        fold.fold_one(state.LogState(), entry)


def test_undecodable_record_only_advances_the_offset() -> None:
    entry = records.LoggedRecord(ids.Offset(0), b'not json')
    assert fold.fold_one(state.LogState(), entry).next_offset == 1


@hypothesis.given(
    strategies.lists(
        strategies.one_of(
            strategies.builds(
                _claim,
                strategies.sampled_from(NAMES),
                strategies.integers(1, 3),
                strategies.integers(0, 2),
            ),
            strategies.builds(
                _profile,
                strategies.sampled_from(NAMES),
                strategies.integers(0, 2),
            ),
        ),
        max_size=12,
    ),
    strategies.integers(0, 12),
)
def test_any_cut_of_the_log_folds_alike(
    appended: list[records.AnyRecord],
    cut: int,
) -> None:
    logged = _logged(*appended)
    whole = fold.fold_all(state.LogState(), logged)
    first = fold.fold_all(state.LogState(), logged[:cut])
    assert fold.fold_all(first, logged[max(0, cut - 2) :]) == whole
