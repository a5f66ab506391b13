"""Run experiments, print their tables and write JSON."""

import asyncio
import inspect
import pathlib
import typing

import typer

from sycamoreferry_standins.bench import (
    admission,
    balancing,
    churn,
    control,
    hop,
    limits,
    outage,
    profiles,
    report,
    rooms,
    slopes,
    unavailable,
    waiting,
)

Measure = typing.Callable[
    [],
    tuple[report.Measurement, ...]
    | typing.Awaitable[tuple[report.Measurement, ...]],
]

DIRECTORY = pathlib.Path('var/bench')

EXPERIMENTS: dict[str, Measure] = {
    'admission': admission.measure,
    'balancing': balancing.measure,
    'churn': churn.measure,
    'control': control.measure,
    'hop': hop.measure,
    'limits': limits.measure,
    'outage': outage.measure,
    'profiles': profiles.measure,
    'rooms': rooms.measure,
    'slopes': slopes.measure,
    'unavailable': unavailable.measure,
    'waiting': waiting.measure,
}


def run(
    names: typing.Annotated[
        list[str] | None,
        typer.Argument(help='Experiments to run; all without a name.'),
    ] = None,
    directory: typing.Annotated[
        pathlib.Path,
        typer.Option(help='Where the JSON files go.'),
    ] = DIRECTORY,
) -> None:
    """Run experiments, each of which prints a table and writes JSON."""
    for name in names or EXPERIMENTS:
        if name not in EXPERIMENTS:
            known = ', '.join(EXPERIMENTS)
            raise typer.BadParameter(f'no experiment {name!r}; use {known}')
        shown = report.Report(
            name=name,
            command=f'scripts/bench {name}',
            measurements=asyncio.run(_measure(EXPERIMENTS[name])),
        )
        report.print_report(shown)
        typer.echo(report.write_report(shown, directory))


async def _measure(measure: Measure) -> tuple[report.Measurement, ...]:
    measured = measure()
    if inspect.isawaitable(measured):
        return await measured
    return measured


if __name__ == '__main__':
    typer.run(run)
