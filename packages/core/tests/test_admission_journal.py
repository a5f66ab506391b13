import collections
import typing

import hypothesis
from hypothesis import strategies

from sycamoreferry_core import (
    admission_journal,
    admission_records,
    admission_window,
    ids,
    records,
)

WINDOW_MS = 1000


class Step(typing.NamedTuple):
    """Claim, or append a batch under one of the earlier claims."""

    claims: bool
    claim: int
    key: str
    elapsed: int


STEPS = strategies.lists(
    strategies.builds(
        Step,
        strategies.sampled_from((True, False, False, False)),
        strategies.integers(0, 2),
        strategies.sampled_from(('k1', 'k2', 'k3')),
        strategies.integers(0, 50),
    ),
    max_size=20,
)


def _batch(
    claim: int,
    number: int,
    key: str,
    stamp: int,
) -> admission_records.AdmissionBatch:
    return admission_records.AdmissionBatch(
        claim=ids.Offset(claim),
        number=number,
        owner=ids.InstanceId(f'owner-{claim}'),
        deputy=ids.InstanceId('deputy'),
        stamp=stamp,
        admitted=(
            admission_records.Admitted(
                ids.AdmissionKey(key),
                ids.Fingerprint('same'),
                ids.AttemptId(f'{claim}/{number}'),
                100,
                admission_records.Order(ids.Offset(claim), number),
            ),
        ),
    )


def _log_steps(steps: list[Step]) -> list[records.LoggedRecord]:
    claims: list[int] = []
    numbers: collections.Counter[int] = collections.Counter()
    logged: list[records.LoggedRecord] = []
    stamp = 0
    for step in steps:
        offset = len(logged)
        stamp += step.elapsed
        record: admission_records.AnyAdmissionRecord
        if step.claims or not claims:
            claims.append(offset)
            record = admission_records.AdmissionClaimed(
                ids.InstanceId(f'owner-{offset}'),
                ids.InstanceId('deputy'),
            )
        else:
            claim = claims[-1 - step.claim % len(claims)]
            numbers[claim] += 1
            record = _batch(claim, numbers[claim], step.key, stamp)
        payload = admission_records.encode_record(record)
        logged.append(records.LoggedRecord(ids.Offset(offset), payload))
    return logged


def _fold(
    logged: typing.Iterable[records.LoggedRecord],
) -> admission_journal.Journal:
    journal = admission_journal.Journal(WINDOW_MS)
    for entry in logged:
        journal = admission_journal.fold_one(journal, entry)
    return journal


def _admissions_under_last_claim(
    logged: list[records.LoggedRecord],
) -> list[tuple[ids.Offset, admission_records.Admitted]]:
    current = -1
    valid = []
    for offset, payload in logged:
        record = admission_records.decode_record(payload)
        if isinstance(record, admission_records.AdmissionClaimed):
            current = offset
        elif record is not None and record.claim == current:
            valid.append((offset, record.admitted[0]))
    return valid


@hypothesis.given(STEPS)
def test_only_batches_of_the_last_claim_count(steps: list[Step]) -> None:
    logged = _log_steps(steps)
    journal = _fold(logged)
    newest = {
        admitted.key: admitted
        for _, admitted in _admissions_under_last_claim(logged)
    }
    for key in ('k1', 'k2', 'k3'):
        known = journal.find(ids.AdmissionKey(key))
        wanted = newest.get(ids.AdmissionKey(key))
        assert (known and known.attempt) == (wanted and wanted.attempt)


@hypothesis.given(STEPS, strategies.integers(0, 20))
def test_repeated_records_change_nothing(steps: list[Step], cut: int) -> None:
    logged = _log_steps(steps)
    assert _fold([*logged, *logged[cut:]]) == _fold(logged)


@hypothesis.given(STEPS, strategies.integers(0, 20))
def test_late_reader_finds_all_admissions_after_its_start(
    steps: list[Step],
    first: int,
) -> None:
    logged = _log_steps(steps)
    late = _fold(logged[first:])
    whole = _fold(logged)
    if any(b'AdmissionClaimed' in entry.payload for entry in logged[first:]):
        assert late.claim == whole.claim
    for offset, admitted in _admissions_under_last_claim(logged):
        if offset >= first:
            known = late.find(admitted.key)
            assert known is not None
            assert known.order >= tuple(admitted.order)


def test_entries_expire_only_after_the_window() -> None:
    logged = _log_steps([Step(True, 0, '', 0), Step(False, 0, 'k1', 0)])
    for number, stamp in enumerate((WINDOW_MS, WINDOW_MS + 1), start=2):
        batch = _batch(0, number, 'k2', stamp)
        payload = admission_records.encode_record(batch)
        logged.append(records.LoggedRecord(ids.Offset(number), payload))
        known = _fold(logged).find(ids.AdmissionKey('k1'))
        assert (known is None) == (stamp > WINDOW_MS)


def test_sweeping_removes_expired_entries() -> None:
    window = admission_window.Window()
    for number in range(1000):
        admitted = _batch(0, number, f'key-{number}', 0).admitted[0]
        entry = admission_window.new_entry(admitted, number)
        window = window.with_entry(admitted.key, entry)
    assert window.size == 1000
    for turn in range(admission_window.BUCKET_COUNT):
        window = window.sweep(turn, 900)
    assert window.size == 100


def test_duplicate_batch_does_not_restore_released_key() -> None:
    logged = _log_steps([Step(True, 0, '', 0), Step(False, 0, 'k1', 0)])
    admitted = _batch(0, 1, 'k1', 0).admitted[0]
    release = admission_records.AdmissionBatch(
        claim=ids.Offset(0),
        number=2,
        owner=ids.InstanceId('owner-0'),
        deputy=ids.InstanceId('deputy'),
        stamp=0,
        concluded=(
            admission_records.Concluded(
                admitted.key,
                admitted.attempt,
                admission_records.Ending.NOT_RUN,
            ),
        ),
    )
    payload = admission_records.encode_record(release)
    logged.append(records.LoggedRecord(ids.Offset(2), payload))
    logged.append(records.LoggedRecord(ids.Offset(3), logged[1].payload))
    assert _fold(logged).find(admitted.key) is None
