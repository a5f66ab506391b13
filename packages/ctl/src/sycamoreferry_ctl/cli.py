"""Offer the operators' commands."""

import asyncio
import pathlib
import typing

import aiohttp
import pydantic
import typer
import yaml

from sycamoreferry_core import ids, profiles, result_codes
from sycamoreferry_ctl import log_access, publishing
from sycamoreferry_platform import http_log
from sycamoreferry_router import settings

REFUSED_STATUS = 1
BAD_INPUT_STATUS = 2
UNREACHABLE_STATUS = 3

app = typer.Typer(
    help='Operate sycamoreferry.',
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)
profile_app = typer.Typer(
    help='Publish and show profiles.',
    no_args_is_help=True,
)
app.add_typer(profile_app, name='profile')

_LogUrl = typing.Annotated[
    str,
    typer.Option(help="URL of the platform's log.", envvar='FERRY_LOG_URL'),
]
_Stream = typing.Annotated[str, typer.Option(help='Stream of the log.')]


@profile_app.command()
def publish(
    name: str,
    path: pathlib.Path,
    log_url: _LogUrl,
    revises: typing.Annotated[
        int,
        typer.Option(help='Number that this revises; 0 for the first.'),
    ] = 0,
    stream: _Stream = 'ferry',
) -> None:
    """Publish the profile in a YAML file under a name."""
    profile = _read_profile(path)
    outcome = asyncio.run(_publish(name, profile, revises, log_url, stream))
    if isinstance(outcome, publishing.Published):
        typer.echo(f'{name}: accepted as number {outcome.number}')
        return
    means = result_codes.meaning(outcome.code)
    typer.echo(
        f'{name}: refused with code {outcome.code}: {means.summary};'
        f' {means.advice}',
        err=True,
    )
    raise typer.Exit(REFUSED_STATUS)


def _read_profile(path: pathlib.Path) -> profiles.Profile:
    try:
        return profiles.Profile.model_validate(yaml.safe_load(path.read_text()))
    except pydantic.ValidationError as error:
        for line in settings.describe_errors(error):
            typer.echo(line, err=True)
    except (OSError, yaml.YAMLError) as unreadable:
        typer.echo(f'{path}: {unreadable}', err=True)
    raise typer.Exit(BAD_INPUT_STATUS)


async def _publish(
    name: str,
    profile: profiles.Profile,
    revises: int,
    log_url: str,
    stream: str,
) -> publishing.Published | publishing.PublishRefused:
    async with aiohttp.ClientSession() as session:
        log_service = http_log.HttpLog(session, log_url, stream)
        try:
            return await publishing.publish_profile(
                log_service,
                ids.ProfileName(name),
                profile,
                ids.ProfileNumber(revises),
            )
        except log_access.LogUnreachableError as error:
            typer.echo(f'the log cannot be reached: {error}', err=True)
            raise typer.Exit(UNREACHABLE_STATUS) from error


def main() -> None:
    """Run the command line."""
    app()
