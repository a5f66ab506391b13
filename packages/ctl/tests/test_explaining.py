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


def _ended(at: int, request: str, code: int, **fields: object) -> str:
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
    _ended(7, 'late', 4003, reason='timeout', tries=[['d', 'unknown', 'x']]),
    _line(8, 'log', 'lines dropped', count=4),
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
