import dataclasses
import typing

import pydantic
import pytest

from sycamoreferry_core import clock, ids, outcomes
from sycamoreferry_standins import (
    backend_server,
    trace,
    trace_judging,
    trace_observations,
    trace_statements,
)

KINDS = outcomes.Kind
LINE = trace.RequestSent(
    at_ms=0,
    request_id=ids.RequestId('r'),
    caller=ids.CallerId('phone'),
    service=ids.ServiceName('depot'),
    key='k',
)


def _attempt(
    request: str,
    sent: int,
    ended: int,
    kind: outcomes.Kind = KINDS.ANSWERED,
    **extra: typing.Any,
) -> trace_observations.Attempt:
    return trace_observations.Attempt(
        line=trace.RequestSent(
            at_ms=sent,
            request_id=ids.RequestId(request),
            caller=LINE.caller,
            service=LINE.service,
            key=LINE.key,
        ),
        request_id=ids.RequestId(f'{request}.1'),
        sent_at=clock.Millis(sent),
        ended_at=clock.Millis(ended),
        kind=kind,
        code=1000,
        **extra,
    )


def _run(
    request: str,
    server: str,
    started: int,
    ended: int,
    **extra: typing.Any,
) -> backend_server.Run:
    given: dict[str, typing.Any] = {
        'idempotency_key': '',
        'key': 'k',
        'shard': 3,
        'fence': 7,
        'method': 'GET',
    }
    return backend_server.Run(
        server=server,
        request_id=f'{request}.1',
        started=started,
        ended=ended,
        **{**given, **extra},
    )


GOOD = trace_observations.Observed(
    attempts=(
        _attempt('a', 0, 20, server=ids.ServerId('depot-1')),
        _attempt('b', 100, 120, KINDS.NOT_RUN),
        _attempt('c', 3000, 3100),
    ),
    runs=(
        _run('a', 'depot-1', 5, 15, idempotency_key='pay-1'),
        _run('c', 'depot-2', 3050, 3060, fence=8),
    ),
    departures=(
        trace_observations.Departure(
            ids.ServerId('depot-1'),
            clock.Millis(10),
        ),
    ),
    publications=(
        trace_observations.Publication(
            ids.ProfileName('default'),
            ids.ProfileNumber(2),
            took_ms=900,
        ),
    ),
)
MISSING = trace_observations.Publication(
    ids.ProfileName('default'),
    ids.ProfileNumber(3),
    took_ms=20_000,
    missing=(ids.InstanceId('entry-2'),),
)
SLOW = dataclasses.replace(MISSING, missing=())
BOUNDS: dict[str, dict[str, typing.Any]] = {
    'answered-share': {'at_least': 0.6},
    'unavailable-time': {'at_most_ms': 3000},
    'leaving-servers': {'after_ms': 5000},
    'retry-load': {'at_most_share': 0.2},
    'profile-in-force': {'within_ms': 17_000},
}

VIOLATIONS: list[tuple[str, str, dict[str, typing.Any], str]] = [
    (
        'another answer',
        'whole-answers',
        {'attempts': (_attempt('a', 0, 9, whole=False),)},
        'a.1 got an answer not its own',
    ),
    (
        'too few answers',
        'answered-share',
        {'attempts': GOOD.attempts[:2]},
        '1 of 2 requests',
    ),
    ('no requests', 'answered-share', {'attempts': ()}, 'no request was sent'),
    (
        'second run',
        'at-most-once',
        {
            'runs': (
                *GOOD.runs,
                _run('a', 'depot-1', 50, 51, idempotency_key='pay-1'),
            ),
        },
        'pay-1 ran 2 times',
    ),
    (
        'run after not run',
        'not-run-never-ran',
        {'runs': (*GOOD.runs, _run('b', 'depot-1', 110, 111))},
        'b.1 was answered not run, and ran',
    ),
    (
        'two at one time',
        'single-owner',
        {'runs': (*GOOD.runs, _run('d', 'depot-3', 14, 16))},
        'depot-3 ran d.1 while depot-1 ran a.1',
    ),
    (
        'never ended',
        'single-owner',
        {'runs': (GOOD.runs[1], _run('d', 'depot-3', 14, 0))},
        'depot-2 ran c.1 while depot-3 ran d.1',
    ),
    (
        'older fence later',
        'single-owner',
        {'runs': (*GOOD.runs, _run('d', 'depot-1', 3070, 3071))},
        'depot-1 ran d.1 under an older fence after depot-2 ran c.1',
    ),
    (
        'late answer after a failure',
        'unavailable-time',
        {'attempts': (GOOD.attempts[1], _attempt('c', 3000, 3101))},
        'depot/k had no answer for 3001 ms',
    ),
    (
        'slow answer',
        'unavailable-time',
        {'attempts': (_attempt('a', 0, 3001), _attempt('b', 3000, 3010))},
        'depot/k had no answer for 3001 ms',
    ),
    (
        'no answer at all',
        'unavailable-time',
        {
            'attempts': (
                _attempt('a', 0, 3001, KINDS.UNKNOWN),
                _attempt('b', 1, 5, KINDS.NOT_RUN),
            ),
        },
        'depot/k had no answer for 3001 ms',
    ),
    (
        'new request',
        'leaving-servers',
        {'runs': (_run('d', 'depot-1', 5011, 5012),)},
        'depot-1 ran d.1 5001 ms after',
    ),
    (
        'cut off',
        'graceful-stop',
        {
            'attempts': (
                _attempt(
                    'a',
                    0,
                    20,
                    KINDS.UNKNOWN,
                    server=ids.ServerId('depot-1'),
                ),
            ),
        },
        'a.1 was cut off',
    ),
    ('too many', 'retry-load', {'retries': 1}, '1 retries for 3 requests'),
    (
        'missing',
        'profile-in-force',
        {'publications': (MISSING,)},
        'default 3 is not in force at entry-2',
    ),
    (
        'slow',
        'profile-in-force',
        {'publications': (SLOW,)},
        'default 3 was in force after 20000 ms',
    ),
]


def _stated(kind: str) -> trace_statements.AnyStated:
    adapter: pydantic.TypeAdapter[trace_statements.AnyStated] = (
        pydantic.TypeAdapter(trace_statements.AnyStated)
    )
    return adapter.validate_python({'kind': kind, **BOUNDS.get(kind, {})})


@pytest.mark.parametrize('kind', sorted({entry[1] for entry in VIOLATIONS}))
def test_good_replay_breaks_nothing(kind: str) -> None:
    assert trace_judging.judge_all([_stated(kind)], GOOD) == ()


@pytest.mark.parametrize(
    ('kind', 'changes', 'detail'),
    [entry[1:] for entry in VIOLATIONS],
    ids=[entry[0] for entry in VIOLATIONS],
)
def test_each_violation_is_reported(
    kind: str,
    changes: dict[str, typing.Any],
    detail: str,
) -> None:
    observed = dataclasses.replace(GOOD, **changes)
    reported = trace_judging.judge_all([_stated(kind)], observed)
    assert len(reported) == 1
    assert reported[0].kind == kind
    assert detail in reported[0].detail


def test_work_that_a_server_gave_up_breaks_nothing() -> None:
    runs = (
        _run('b', 'depot-1', 110, 4000, refused=True, idempotency_key='pay-1'),
        _run('d', 'depot-1', 120, 4000, cancelled=True),
    )
    observed = dataclasses.replace(GOOD, runs=(*runs, *GOOD.runs))
    kinds = ('at-most-once', 'not-run-never-ran', 'single-owner')
    assert trace_judging.judge_all(map(_stated, kinds), observed) == ()


def test_other_answers_make_a_key_available() -> None:
    observed = dataclasses.replace(
        GOOD,
        attempts=(_attempt('a', 0, 9000), _attempt('b', 10, 20)),
    )
    stated = [_stated('unavailable-time')]
    assert trace_judging.judge_all(stated, observed) == ()


def test_every_outcome_is_seen_to_fail() -> None:
    schema = pydantic.TypeAdapter(trace_statements.AnyStated).json_schema()
    known = set(schema['discriminator']['mapping'])
    assert known == {entry[1] for entry in VIOLATIONS}
