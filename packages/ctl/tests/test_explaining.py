"""Check that the true cause is named for each kind of failed request."""

import json
import pathlib

import pytest
from typer import testing

from sycamoreferry_ctl import cli, explaining, log_lines


def _line(at: int, part: str, event: str, **fields: object) -> str:
    stamp = f'2026-09-02T07:00:{at:02d}.000'
    row = {'at': stamp, 'part': part, 'event': event, **fields}
    return f'  1.0 entry-1 {json.dumps(row)}'


def _ended(at: int, request: str, code: int | None, **fields: object) -> str:
    return _line(
        at,
        'request',
        'request ended',
        request=request,
        code=code,
        status=503,
        ms=12,
        config=7,
        service='v',
        **fields,
    )


def _unanswered(at: int, request: str, sent_to: str | None) -> str:
    return _line(
        at,
        'request',
        'request is unanswered at the end of the shutdown',
        request=request,
        ms=1_443,
        sent_to=sent_to,
        waited_ms=7,
        tries=[['d', 'not-run', 'rejected']],
    )


TRACE = [
    _line(1, 'coordinator', 'claimed the term', term=3),
    _line(
        2,
        'coordinator',
        'moving keys',
        service='v',
        first=0,
        last=99,
        source='a',
        destination='b',
    ),
    _line(
        2,
        'coordinator',
        'moving keys',
        service='other',
        first=0,
        last=99,
        source='x',
        destination='y',
    ),
    _ended(3, 'overloaded', 3006, reason='no room', key=5, owner='b', ahead=9),
    _ended(4, 'unowned', 3001, reason='key has no owner', key=50),
    _ended(
        5,
        'lost',
        4001,
        reason='reset',
        tries=[['c', 'unknown', 'reset']],
    ),
    _line(
        6,
        'servers',
        'servers listed',
        count=2,
        services={'v': {'ready': 1, 'draining': 1}},
        offset=9,
    ),
    _line(6, 'servers', 'server is gone', server='c', service='v'),
    _line(6, 'servers', 'server is gone', server='d', service='v'),
    _line(6, 'servers', 'server is leaving', server='d', source='answer'),
    _ended(7, 'late', 4003, reason='timeout', tries=[['d', 'unknown', 'x']]),
    _line(8, 'log', 'lines dropped', count=4),
    _line(9, 'instance', 'stopping', reason='SIGTERM'),
    _ended(10, 'shed', 3006, reason='no room', stopping=True),
    _ended(10, 'not-taken', 3007, reason='instance is stopping', stopping=True),
    _ended(
        10,
        'interrupted',
        4001,
        reason='instance is stopping',
        stopping=True,
        tries=[['c', 'unknown', 'interrupted']],
    ),
    _ended(
        10,
        'lost-in-shutdown',
        4001,
        reason='reset',
        stopping=True,
        tries=[['c', 'unknown', 'reset']],
    ),
    _unanswered(11, 'cut-at-server', 'c'),
    _unanswered(11, 'cut-waiting', None),
    _unanswered(11, 'sent-again', 'c'),
    _line(11, 'instance', 'stopped', in_flight=3, busy_connections=3),
    _ended(12, 'cut-at-server', None, reason='caller left'),
    _ended(12, 'cut-waiting', None, reason='caller left'),
    _ended(12, 'sent-again', None, reason='caller left'),
    _ended(13, 'sent-again', 1000, reason='answered', stopping=False),
    _ended(13, 'left', None, reason='caller left', stopping=False),
    'not a structured line',
    '{"at": broken',
]
LINES = [
    line for text in TRACE if (line := log_lines.parse_line(text)) is not None
]


@pytest.mark.parametrize(
    ('request_id', 'cause', 'shown', 'not_shown'),
    [
        ('overloaded', explaining.Cause.OVERLOAD, '9 ahead', 'moving'),
        ('unowned', explaining.Cause.NO_OWNER, 'from a, to b', 'from x'),
        ('lost', explaining.Cause.UNKNOWN_OUTCOME, 'server c', 'server d'),
        ('late', explaining.Cause.TOO_LATE, 'server d', 'server c'),
        ('late', explaining.Cause.TOO_LATE, 'leaving (server d', 'server c'),
        ('absent', explaining.Cause.NOT_LOGGED, '4 lines', 'server'),
    ],
)
def test_cause_of_a_failed_request(
    request_id: str,
    cause: explaining.Cause,
    shown: str,
    not_shown: str,
) -> None:
    found = explaining.explain(request_id, LINES)
    told = '\n'.join(found.details)
    assert found.cause == cause.value
    assert shown in told
    assert not_shown not in told


@pytest.mark.parametrize(
    ('request_id', 'cause', 'shown', 'not_shown'),
    [
        ('shed', explaining.Cause.OVERLOAD, 'was stopping', 'server'),
        ('not-taken', explaining.Cause.LEAVING, 'was stopping', 'server'),
        ('interrupted', explaining.Cause.INTERRUPTED, 'to c', 'server d'),
        ('interrupted', explaining.Cause.INTERRUPTED, 'server c', 'server d'),
        (
            'lost-in-shutdown',
            explaining.Cause.UNKNOWN_OUTCOME,
            'was stopping',
            'server d',
        ),
        (
            'cut-at-server',
            explaining.Cause.UNANSWERED,
            'no answer after 1443 ms; at server c; waited 7 ms',
            'None',
        ),
        (
            'cut-at-server',
            explaining.Cause.UNANSWERED,
            'gone (server c',
            'None',
        ),
        ('cut-waiting', explaining.Cause.UNANSWERED, 'to d: not-run', 'None'),
        ('cut-waiting', explaining.Cause.UNANSWERED, 'waiting', 'server c'),
        ('sent-again', explaining.Cause.ANSWERED, 'answered', 'stopping'),
        ('left', explaining.Cause.CALLER_LEFT, 'caller left', 'stopping'),
    ],
)
def test_cause_of_a_request_that_ends_in_a_shutdown(
    request_id: str,
    cause: explaining.Cause,
    shown: str,
    not_shown: str,
) -> None:
    found = explaining.explain(request_id, LINES)
    told = '\n'.join(found.details)
    assert found.cause == cause.value
    assert shown in told
    assert not_shown not in told


def test_start_of_an_instance_is_not_taken_as_a_change_of_servers() -> None:
    assert 'servers listed' in {line.event for line in LINES}
    for request_id in ('lost', 'late', 'absent'):
        found = explaining.explain(request_id, LINES)
        assert 'listed' not in '\n'.join(found.details)


def test_command_reads_files(tmp_path: pathlib.Path) -> None:
    path = tmp_path / 'entry.log'
    path.write_text('\n'.join(TRACE))
    runner = testing.CliRunner()
    found = runner.invoke(cli.app, ['explain', 'unowned', str(path)])
    assert found.exit_code == 0
    assert 'key had no owner' in found.output
    absent = runner.invoke(cli.app, ['explain', 'absent', str(path)])
    assert absent.exit_code == 1


def test_relayed_request_is_explained_by_both_instances() -> None:
    texts = [
        _ended(1, 'r', 3006, reason='no room', relayed_to=['e2']),
        _ended(
            2,
            'r',
            3006,
            reason='no room',
            relayed=True,
            tries=[['b', 'not sent', 'connect']],
        ),
    ]
    lines = [log_lines.parse_line(text) for text in texts]
    explained = explaining.explain('r', [line for line in lines if line])
    assert explained.cause == 'rejected under load'
    assert 'relayed to e2' in explained.details[0]
    assert 'relayed request at 2026-09-02T07:00:02' in explained.details[1]
    assert explained.details[2] == 'sent to b: not sent (connect)'


def _crash(at: int, server: str, signature: int) -> list[str]:
    suspect = _line(
        at,
        'crashes',
        'attempt ended without an answer',
        request=f'at-{server}',
        signature=signature,
        server=server,
        reason='reset',
    )
    ended = _line(
        at + 2,
        'crashes',
        'request ended its server',
        signature=signature,
        server=server,
        born=1,
    )
    return [suspect, ended]


@pytest.mark.parametrize(
    ('code', 'reason', 'cause'),
    [
        (3008, 'blocked', explaining.Cause.QUARANTINED),
        (
            4001,
            'request ended the servers that ran it',
            explaining.Cause.UNKNOWN_OUTCOME,
        ),
    ],
)
def test_rejected_request_is_explained_by_the_crashes_that_block_it(
    code: int, reason: str, cause: explaining.Cause
) -> None:
    texts = [
        *_crash(1, 'a', 7),
        *_crash(2, 'b', 7),
        *_crash(3, 'other', 8),
        _line(6, 'crashes', 'request is blocked', signature=7),
        _ended(9, 'r', code, reason=reason, signature=7),
    ]
    lines = [log_lines.parse_line(text) for text in texts]
    found = explaining.explain('r', [line for line in lines if line])
    told = '\n'.join(found.details[1:])
    assert found.cause == cause.value
    for shown in ('server a', 'request at-a', 'server b', 'is blocked'):
        assert shown in told
    assert 'other' not in told


def test_rejected_request_without_its_crashes_says_so() -> None:
    line = log_lines.parse_line(_ended(1, 'r', 3008, signature=7))
    assert line is not None
    found = explaining.explain('r', [line])
    assert found.details[-1] == 'no crash of this request is in these files'
