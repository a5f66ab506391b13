"""Print what commands found, as a table or as JSON."""

import enum
import typing

import msgspec
import typer
from rich import console, table

TABLE_WIDTH = 120


@enum.unique
class Output(enum.Enum):
    """Name the forms of output."""

    TABLE = 'table'
    JSON = 'json'


Chosen = typing.Annotated[
    Output,
    typer.Option('--output', '-o', help='Print a table or JSON.'),
]


def print_rows(
    rows: typing.Sequence[msgspec.Struct],
    columns: typing.Sequence[str],
    chosen: Output,
) -> None:
    """Print rows whose fields are the columns."""
    if chosen is Output.JSON:
        print_json(rows)
        return
    shown = table.Table()
    for column in columns:
        shown.add_column(column.replace('_', ' '), overflow='fold')
    for row in rows:
        shown.add_row(*(str(getattr(row, column)) for column in columns))
    console.Console(width=TABLE_WIDTH).print(shown)


def print_json(content: object) -> None:
    """Print a typed message as JSON."""
    encoded = msgspec.json.format(msgspec.json.encode(content))
    typer.echo(encoded.decode())


def note(text: str) -> None:
    """Print progress or an error beside the output."""
    typer.echo(text, err=True)
