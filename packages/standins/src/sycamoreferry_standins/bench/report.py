"""Print measurements beside their targets and write them as JSON."""

import pathlib

import msgspec
from rich import console, table

TABLE_WIDTH = 140


class Measurement(msgspec.Struct, frozen=True):
    """Hold one figure, what it is compared with, and its target."""

    experiment: str
    variant: str
    quantity: str
    figure: float
    unit: str
    target: float | None = None


class Report(msgspec.Struct, frozen=True):
    """Hold the measurements of one run."""

    name: str
    command: str
    measurements: tuple[Measurement, ...]


def print_report(report: Report) -> None:
    """Print a table of the measurements."""
    shown = table.Table(title=report.name)
    for column in ('experiment', 'variant', 'quantity', 'figure', 'target'):
        shown.add_column(column)
    for row in report.measurements:
        target = '' if row.target is None else f'{row.target:g} {row.unit}'
        shown.add_row(
            row.experiment,
            row.variant,
            row.quantity,
            f'{row.figure:.4g} {row.unit}',
            target,
        )
    console.Console(width=TABLE_WIDTH).print(shown)


def write_report(report: Report, directory: pathlib.Path) -> pathlib.Path:
    """Write the measurements as JSON; return the path."""
    directory.mkdir(parents=True, exist_ok=True)
    path = directory / f'{report.name}.json'
    path.write_bytes(msgspec.json.format(msgspec.json.encode(report)))
    return path
