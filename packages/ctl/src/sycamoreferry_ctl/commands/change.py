"""Ask for changes by records in the log."""

import typing

import typer

from sycamoreferry_core import ids, records, result_codes
from sycamoreferry_ctl import connection, exit_status, log_access, output

_Service = typing.Annotated[
    str,
    typer.Argument(help='Name of the service.'),
]
_UpTo = typing.Annotated[
    int,
    typer.Argument(help='The last term whose holders are gone.', min=1),
]
_Sure = typing.Annotated[
    bool,
    typer.Option('--sure', help='Say that both processes have ended.'),
]


def release(
    service: _Service,
    term: _UpTo,
    log_url: connection.LogUrl,
    sure: _Sure = False,
    stream: connection.Stream = connection.DEFAULT_STREAM,
) -> None:
    """Release the authority of lost terms, so that nobody waits for it.

    Give this word only when the coordinator and the deputy of every term up
    to this one have surely ended: a paused one could otherwise go on renewing
    leases, and a key could have two owners.
    """
    if not sure:
        output.note(
            'nothing was released; see "ferryctl terms" for the holders,'
            ' make sure that they have ended, then call again with --sure',
        )
        raise typer.Exit(exit_status.ExitStatus.BAD_INPUT)
    record = records.HoldersReleased(
        record_id=log_access.new_record_id('release'),
        service=ids.ServiceName(service),
        term=ids.Term(term),
    )
    append(record, log_url, stream)
    typer.echo(f'{service}: the holders up to term {term} are released')


def append(
    record: records.AnyRecord,
    log_url: str,
    stream: str,
) -> None:
    """Append a record; print why and exit where it is refused."""
    code = connection.run(_append(record, log_url, stream))
    if code is not result_codes.ResultCode.ANSWERED:
        means = result_codes.meaning(code)
        output.note(
            f'refused with code {int(code)}: {means.summary}; {means.advice}',
        )
        raise typer.Exit(exit_status.ExitStatus.REFUSED)


async def _append(
    record: records.AnyRecord,
    log_url: str,
    stream: str,
) -> result_codes.ResultCode:
    async with connection.connect(log_url, stream) as opened:
        return await log_access.append_record(opened.log, record)
