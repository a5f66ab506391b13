"""Replay recorded traces."""

import asyncio
import pathlib
import typing

import aiohttp
import msgspec
import pydantic
import typer
import yaml

from sycamoreferry_core import clock
from sycamoreferry_ctl import connection, exit_status, output, replaying
from sycamoreferry_router import settings
from sycamoreferry_standins import (
    trace,
    trace_judging,
    trace_observations,
    trace_statements,
    workloads,
)

PROGRESS_MS = 5000

_Trace = typing.Annotated[
    pathlib.Path,
    typer.Argument(
        help='The trace; its stated outcomes are in the .yaml beside it.',
        metavar='TRACE.jsonl',
    ),
]


class Report(msgspec.Struct, frozen=True):
    """Say what a replay showed."""

    title: str
    requests: int
    attempts: int
    answered: int
    runs: int
    retries: int
    longest_unavailable_ms: int
    violations: tuple[trace_judging.Violation, ...]


class Recorded(typing.NamedTuple):
    """Pair the lines of a trace with its stated outcomes."""

    lines: tuple[trace.AnyLine, ...]
    statement: trace_statements.Statement


def replay(
    path: _Trace,
    log_url: connection.LogUrl,
    stream: connection.Stream = connection.DEFAULT_STREAM,
    form: output.Chosen = output.Output.TABLE,
) -> None:
    """Replay a trace against a running system that has the stand-ins.

    Ends with status 1 where a stated outcome does not hold.
    """
    recorded = load_or_exit(path)
    target = replaying.Target(
        platform_url=log_url.rstrip('/'),
        stream=stream,
        workload=workloads.WORKLOADS[recorded.statement.workload],
    )
    try:
        report = connection.run(_replay(target, recorded))
    except replaying.ReplayError as error:
        output.note(f'{path}: {error}')
        raise typer.Exit(exit_status.ExitStatus.BAD_INPUT) from error
    print_report(report, form)
    if report.violations:
        raise typer.Exit(exit_status.ExitStatus.REFUSED)


def load_or_exit(path: pathlib.Path) -> Recorded:
    """Read a trace and its outcomes; print what is wrong and exit."""
    try:
        return load(path)
    except trace.TraceError as bad_line:
        output.note(str(bad_line))
    except pydantic.ValidationError as error:
        for problem in settings.describe_errors(error):
            output.note(f'{path.with_suffix(".yaml")}: {problem}')
    except (OSError, yaml.YAMLError) as unreadable:
        output.note(f'{path.with_suffix(".yaml")}: {unreadable}')
    raise typer.Exit(exit_status.ExitStatus.BAD_INPUT)


def load(path: pathlib.Path) -> Recorded:
    """Read a trace and its outcomes."""
    statement = trace_statements.read_statement(path.with_suffix('.yaml'))
    return Recorded(trace.read_trace(path), statement)


async def judge_replay(
    session: aiohttp.ClientSession,
    target: replaying.Target,
    recorded: Recorded,
) -> Report:
    """Replay a trace, showing progress, and judge what was observed."""
    player = replaying.Player(session, target)
    progress = Progress(len(recorded.lines))
    ticking = asyncio.create_task(progress.show())
    try:
        observed = await player.replay(recorded.lines, progress.advance)
    except* replaying.ReplayError as group:
        raise replaying.ReplayError(
            '; '.join(map(str, group.exceptions)),
        ) from group
    finally:
        ticking.cancel()
    return make_report(recorded.statement, observed)


class Progress:
    """Show now and then how many lines were carried out."""

    def __init__(self, total: int) -> None:
        self._total = total
        self._done = 0

    def advance(self, done: int) -> None:
        """Take how many lines were carried out."""
        self._done = done

    async def show(self) -> None:
        """Print the progress until cancelled."""
        while True:
            await asyncio.sleep(clock.seconds(PROGRESS_MS))
            output.note(f'{self._done} of {self._total} lines')


def make_report(
    statement: trace_statements.Statement,
    observed: trace_observations.Observed,
) -> Report:
    """Judge what was observed and sum it up."""
    outages = trace_judging.unavailable_times(observed.attempts)
    answered = trace_judging.answered_requests(observed.attempts)
    return Report(
        title=statement.title,
        requests=len(trace_judging.sent_requests(observed.attempts)),
        attempts=len(observed.attempts),
        answered=len(answered),
        runs=len(observed.runs),
        retries=observed.retries,
        longest_unavailable_ms=max(outages.values(), default=0),
        violations=trace_judging.judge_all(statement.outcomes, observed),
    )


def print_report(report: Report, form: output.Output) -> None:
    """Print a report in a form."""
    if form is output.Output.JSON:
        output.print_json(report)
        return
    typer.echo(
        f'{report.title}: {report.answered} of {report.requests} requests'
        f' answered in {report.attempts} attempts, {report.runs} runs,'
        f' {report.retries} retries, a key unavailable for at most'
        f' {report.longest_unavailable_ms} ms',
    )
    for violation in report.violations:
        typer.echo(f'does not hold: {violation.kind}: {violation.detail}')
    if not report.violations:
        typer.echo('every stated outcome holds')


async def _replay(target: replaying.Target, recorded: Recorded) -> Report:
    async with connection.connect(
        target.platform_url,
        target.stream,
    ) as opened:
        return await judge_replay(opened.session, target, recorded)
