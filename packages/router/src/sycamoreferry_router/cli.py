"""Define the commands of the routing instance."""

import asyncio
import pathlib
import typing

import typer
import uvloop

from sycamoreferry_router import allocator, instance, logs, settings, traces

BAD_SETTINGS_STATUS = 2

_SettingsPath = typing.Annotated[
    pathlib.Path,
    typer.Argument(help='The settings in YAML.', metavar='SETTINGS.yaml'),
]

app = typer.Typer(
    help='Route requests to the servers that own their keys.',
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)


@app.command()
def run(path: _SettingsPath) -> None:
    """Run a routing instance until SIGTERM."""
    config = _load(path)
    allocator.return_large_blocks()
    logs.set_up_logs(config.logging)
    traces.set_up_traces(config.tracing, config.instance.name)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(instance.run_instance(config))


@app.command()
def check(path: _SettingsPath) -> None:
    """Check settings without running; status 2 where they are wrong."""
    _load(path)
    typer.echo(f'{path}: settings are good')


def _load(path: pathlib.Path) -> settings.Settings:
    try:
        return settings.load_settings(path)
    except settings.SettingsError as error:
        for problem in error.problems:
            typer.echo(problem, err=True)
        raise typer.Exit(BAD_SETTINGS_STATUS) from error


def main() -> None:
    """Run the command line."""
    app()
