import pathlib
import typing

import pytest
import typer
from typer import testing

from sycamoreferry_core import ids
from sycamoreferry_ctl import cli, exit_status
from sycamoreferry_standins import trace, web

RUNNER = testing.CliRunner()
STATEMENT = 'title: t\nworkload: dyfed\noutcomes: [{kind: at-most-once}]\n'
KILL = trace.format_trace([trace.ProcessKilled(at_ms=0, process='entry-1')])
REQUEST = trace.format_trace(
    [
        trace.RequestSent(
            at_ms=0,
            request_id=ids.RequestId('r'),
            caller=ids.CallerId('c'),
            service=ids.ServiceName('docs-svc'),
        ),
    ],
)


def _commands(
    group: typing.Any,
    path: tuple[str, ...] = (),
) -> typing.Iterator[tuple[tuple[str, ...], typing.Any]]:
    for name, command in group.commands.items():
        if hasattr(command, 'commands'):
            yield from _commands(command, (*path, name))
        else:
            yield (*path, name), command


COMMANDS = dict(_commands(typer.main.get_command(cli.app)))


@pytest.mark.parametrize('path', sorted(COMMANDS), ids=' '.join)
def test_help_shows_an_example(path: tuple[str, ...]) -> None:
    shown = RUNNER.invoke(cli.app, [*path, '--help'])
    assert shown.exit_code == 0
    assert 'Example: ' in shown.output
    assert f'ferryctl {" ".join(path)}' in ' '.join(shown.output.split())


def test_help_documents_every_status() -> None:
    shown = ' '.join(RUNNER.invoke(cli.app, ['--help']).output.split())
    for status in exit_status.ExitStatus:
        assert f'{int(status)} {exit_status.MEANINGS[status][:20]}' in shown


@pytest.mark.parametrize(
    'arguments',
    [
        ('profile', 'list'),
        ('profile', 'show', 'default'),
        ('assignment',),
        ('terms',),
        ('leases',),
        ('members',),
        ('status',),
    ],
    ids=' '.join,
)
def test_unreachable_log_has_a_status(arguments: tuple[str, ...]) -> None:
    url = f'http://{web.LOOPBACK}:{web.free_port()}'
    ended = RUNNER.invoke(cli.app, [*arguments, '--log-url', url])
    assert ended.exit_code == exit_status.ExitStatus.UNREACHABLE
    assert 'check --log-url' in ended.stderr


@pytest.mark.parametrize(
    ('content', 'problem'),
    [
        ('timing: {lease: 3}', 'timing.lease: unknown field; remove it'),
        ('timing: {lease_ms: 0}', 'timing.lease_ms: Input should be greater'),
        ('a: [', 'while parsing'),
        ('- a', '(top): Input should be'),
    ],
)
def test_bad_profile_is_reported(
    tmp_path: pathlib.Path,
    content: str,
    problem: str,
) -> None:
    path = tmp_path / 'profile.yaml'
    path.write_text(content)
    ended = RUNNER.invoke(cli.app, ['profile', 'check', str(path)])
    assert ended.exit_code == exit_status.ExitStatus.BAD_INPUT
    assert problem in ended.stderr


def test_good_profile_passes(tmp_path: pathlib.Path) -> None:
    path = tmp_path / 'profile.yaml'
    path.write_text('timing: {lease_ms: 1500}\n')
    ended = RUNNER.invoke(cli.app, ['profile', 'check', str(path)])
    assert ended.exit_code == exit_status.ExitStatus.DONE


@pytest.mark.parametrize(
    ('lines', 'statement', 'problem'),
    [
        (KILL, STATEMENT, 'replay it with scripts/replay'),
        (b'{}', STATEMENT, 'trace.jsonl:1: is no line of a trace'),
        (REQUEST, 'title: t', 'workload: missing; add it'),
        (REQUEST, None, 'No such file'),
        (REQUEST, STATEMENT.replace('dyfed', 'x'), 'workload: Input should'),
    ],
)
def test_bad_trace_is_reported(
    tmp_path: pathlib.Path,
    lines: bytes,
    statement: str | None,
    problem: str,
) -> None:
    path = tmp_path / 'trace.jsonl'
    path.write_bytes(lines)
    if statement is not None:
        path.with_suffix('.yaml').write_text(statement)
    url = f'http://{web.LOOPBACK}:{web.free_port()}'
    ended = RUNNER.invoke(cli.app, ['replay', str(path), '--log-url', url])
    assert ended.exit_code == exit_status.ExitStatus.BAD_INPUT
    assert problem in ended.stderr
