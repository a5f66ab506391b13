"""Publish, show and check profiles."""

import pathlib
import typing

import msgspec
import pydantic
import typer
import yaml

from sycamoreferry_core import ids, profiles, result_codes, state
from sycamoreferry_ctl import (
    connection,
    differences,
    exit_status,
    output,
    publishing,
    statuses,
)
from sycamoreferry_router import settings

WAIT_MS = 17_000

_Name = typing.Annotated[str, typer.Argument(help='Name of the profile.')]
_Path = typing.Annotated[
    pathlib.Path,
    typer.Argument(help='The profile in YAML.', metavar='PROFILE.yaml'),
]
_Revises = typing.Annotated[
    int,
    typer.Option(help='Number that this revises; 0 for the first.', min=0),
]
_Wait = typing.Annotated[
    int,
    typer.Option(
        help='Longest wait until every instance has it, in ms.',
        min=1,
    ),
]

app = typer.Typer(
    help='Publish, show and check profiles.',
    no_args_is_help=True,
)


class Listed(msgspec.Struct, frozen=True):
    """Hold a profile's newest number."""

    name: str
    number: int
    offset: int


class PublishReport(msgspec.Struct, frozen=True):
    """Say what became of a publication."""

    name: str
    number: int
    differences: tuple[differences.Difference, ...]
    missing: tuple[ids.InstanceId, ...]


@app.command(
    epilog='Example: ferryctl profile publish default night.yaml --revises 3',
)
def publish(
    name: _Name,
    path: _Path,
    log_url: connection.LogUrl,
    revises: _Revises = 0,
    wait_ms: _Wait = WAIT_MS,
    stream: connection.Stream = connection.DEFAULT_STREAM,
    form: output.Chosen = output.Output.TABLE,
) -> None:
    """Publish a profile and wait until every instance has it in force.

    Shows the differences to the number in force. Of two operators who revise
    the same number, one is accepted and one is refused with status 1. Status
    4 means accepted, with the instances listed that do not have it yet.
    """
    profile = read_profile(path)
    work = _publish(
        connection.connect(log_url, stream),
        ids.ProfileName(name),
        profile,
        ids.ProfileNumber(revises),
        wait_ms,
    )
    outcome = connection.run(work)
    if isinstance(outcome, publishing.PublishRefused):
        _print_refusal(name, outcome.code)
        raise typer.Exit(exit_status.ExitStatus.REFUSED)
    _print_report(outcome, form)
    if outcome.missing:
        raise typer.Exit(exit_status.ExitStatus.NOT_EVERYWHERE)


@app.command(name='list', epilog='Example: ferryctl profile list -o json')
def list_profiles(
    log_url: connection.LogUrl,
    stream: connection.Stream = connection.DEFAULT_STREAM,
    form: output.Chosen = output.Output.TABLE,
) -> None:
    """List the profiles and their newest numbers."""
    log_state = connection.read_state(log_url, stream)
    rows = [
        Listed(name, held.number, held.offset)
        for name, held in sorted(log_state.profiles.items())
    ]
    output.print_rows(rows, ('name', 'number', 'offset'), form)


@app.command(epilog='Example: ferryctl profile show default > default.yaml')
def show(
    name: _Name,
    log_url: connection.LogUrl,
    stream: connection.Stream = connection.DEFAULT_STREAM,
) -> None:
    """Print the newest number of a profile as YAML that can be revised."""
    held = _find(connection.read_state(log_url, stream), name)
    typer.echo(f'# {name}, number {held.number}')
    typer.echo(yaml.safe_dump(held.profile.model_dump(mode='json')), nl=False)


@app.command(epilog='Example: ferryctl profile diff default night.yaml')
def diff(
    name: _Name,
    path: _Path,
    log_url: connection.LogUrl,
    stream: connection.Stream = connection.DEFAULT_STREAM,
    form: output.Chosen = output.Output.TABLE,
) -> None:
    """Show how a file differs from the newest number of a profile."""
    proposed = read_profile(path)
    held = _find(connection.read_state(log_url, stream), name)
    _print_differences(differences.compare(held.profile, proposed), form)


@app.command(epilog='Example: ferryctl profile check night.yaml')
def check(path: _Path) -> None:
    """Check a profile without publishing it; status 2 where it is wrong."""
    read_profile(path)
    typer.echo(f'{path}: the profile is good')


def read_profile(path: pathlib.Path) -> profiles.Profile:
    """Read a profile from YAML; print what is wrong and exit."""
    try:
        return profiles.Profile.model_validate(yaml.safe_load(path.read_text()))
    except pydantic.ValidationError as error:
        for line in settings.describe_errors(error):
            output.note(line)
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as unreadable:
        output.note(f'{path}: {unreadable}')
    raise typer.Exit(exit_status.ExitStatus.BAD_INPUT)


async def _publish(
    opening: typing.AsyncContextManager[connection.Connection],
    name: ids.ProfileName,
    profile: profiles.Profile,
    revises: ids.ProfileNumber,
    wait_ms: int,
) -> PublishReport | publishing.PublishRefused:
    async with opening as opened:
        before = await opened.read_state()
        outcome = await publishing.publish_profile(
            opened.log,
            name,
            profile,
            revises,
        )
        if isinstance(outcome, publishing.PublishRefused):
            return outcome
        output.note(f'{name}: accepted as number {outcome.number}')
        after = await opened.read_state()
    held = before.profiles.get(name)
    return PublishReport(
        name=name,
        number=outcome.number,
        differences=differences.compare(
            held.profile if held else None,
            profile,
        ),
        missing=await statuses.wait_for_profile(
            after,
            name,
            outcome.number,
            wait_ms,
        ),
    )


def _print_refusal(name: str, code: result_codes.ResultCode) -> None:
    means = result_codes.meaning(code)
    output.note(
        f'{name}: refused with code {int(code)}: {means.summary};'
        f' {means.advice}',
    )


def _print_report(report: PublishReport, form: output.Output) -> None:
    if form is output.Output.JSON:
        output.print_json(report)
        return
    if report.number > 1:
        _print_differences(report.differences, form)
    for instance in report.missing:
        typer.echo(f'{instance} does not have it yet')
    if not report.missing:
        typer.echo(f'{report.name}: number {report.number} is in force')


def _print_differences(
    found: typing.Sequence[differences.Difference],
    form: output.Output,
) -> None:
    output.print_rows(found, ('field', 'in_force', 'proposed'), form)


def _find(log_state: state.LogState, name: str) -> state.PublishedProfile:
    held = log_state.profiles.get(ids.ProfileName(name))
    if held is None:
        _print_refusal(name, result_codes.ResultCode.UNKNOWN_PROFILE)
        raise typer.Exit(exit_status.ExitStatus.REFUSED)
    return held
