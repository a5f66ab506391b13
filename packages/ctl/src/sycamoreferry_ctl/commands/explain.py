"""Explain how a request ended from the logs of the instances."""

import pathlib
import typing

import typer

from sycamoreferry_ctl import exit_status, explaining, log_lines, output

_Request = typing.Annotated[
    str,
    typer.Argument(help='The id of the request.', metavar='REQUEST-ID'),
]
_Files = typing.Annotated[
    list[pathlib.Path],
    typer.Argument(help='Log files of the instances.', exists=True),
]


def explain(
    request: _Request,
    files: _Files,
    chosen: output.Chosen = output.Output.TABLE,
) -> None:
    """Tell why a request ended as it did, from the logs of all instances."""
    found = explaining.explain(request, log_lines.read_lines(files))
    if chosen is output.Output.JSON:
        output.print_json(found)
    else:
        typer.echo(f'{found.request}: {found.cause}')
        for detail in found.details:
            typer.echo(f'  {detail}')
    if found.cause == explaining.Cause.NOT_LOGGED.value:
        raise typer.Exit(int(exit_status.ExitStatus.REFUSED))
