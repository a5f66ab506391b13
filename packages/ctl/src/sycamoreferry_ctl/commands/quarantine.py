"""Show and release requests that crashed backend servers."""

import typing

import msgspec
import typer

from sycamoreferry_core import (
    clock,
    ids,
    profiles,
    quarantine,
    records,
    state,
)
from sycamoreferry_ctl import connection, output
from sycamoreferry_ctl.commands import change
from sycamoreferry_ports import record_ids, wall_clock

_Digest = typing.Annotated[
    str,
    typer.Argument(help='Digest that "ferryctl quarantine list" shows.'),
]
_Profile = typing.Annotated[
    str,
    typer.Option(help='Profile whose quarantine times apply.'),
]

app = typer.Typer(
    help='Show and release requests that crashed backend servers.',
    no_args_is_help=True,
)


class SuspectRow(msgspec.Struct, frozen=True):
    """Hold a request that ran when a server crashed."""

    service: str
    digest: str
    crashes: int
    servers: str
    quarantined: bool
    remaining_ms: int


@app.command(name='list', epilog='Example: ferryctl quarantine list')
def list_suspects(
    log_url: connection.LogUrl,
    profile: _Profile = 'default',
    stream: connection.Stream = connection.DEFAULT_STREAM,
    form: output.Chosen = output.Output.TABLE,
) -> None:
    """List the requests that ran in crashes, and those in quarantine."""
    log_state = connection.read_state(log_url, stream)
    held = log_state.profiles.get(ids.ProfileName(profile))
    policy = held.profile.quarantine if held else profiles.Quarantine()
    rows = list_rows(log_state, policy, wall_clock.WallClock().now())
    output.print_rows(rows, SuspectRow.__struct_fields__, form)


@app.command(epilog='Example: ferryctl quarantine release 5f2c9a0d')
def release(
    digest: _Digest,
    log_url: connection.LogUrl,
    stream: connection.Stream = connection.DEFAULT_STREAM,
) -> None:
    """Release a request, so that servers are given it again.

    Release it only once the request or the servers were mended: it is sent to
    a server at once when its caller repeats it.
    """
    record = records.SuspicionCleared(
        record_id=record_ids.new_record_id('release'),
        digest=ids.RequestDigest(digest),
    )
    change.append(record, log_url, stream)
    typer.echo(f'{digest}: released')


def list_rows(
    log_state: state.LogState,
    policy: profiles.Quarantine,
    now: clock.Millis,
) -> list[SuspectRow]:
    """Return a row for each service and request that is suspected."""
    book = log_state.crash_book
    services = sorted({crash.service for crash in book.crashes})
    return [
        row
        for service in services
        for row in _rows_of(book, service, policy, now)
    ]


def _rows_of(
    book: quarantine.CrashHistory,
    service: ids.ServiceName,
    policy: profiles.Quarantine,
    now: clock.Millis,
) -> typing.Iterator[SuspectRow]:
    ends = quarantine.quarantine_ends(book, service, policy, now)
    crashes = [crash for crash in book.crashes if crash.service == service]
    digests = {digest for crash in crashes for digest in crash.digests}
    for digest in sorted(digests):
        seen = [crash for crash in crashes if digest in crash.digests]
        yield SuspectRow(
            service=service,
            digest=digest,
            crashes=len(seen),
            servers=' '.join(sorted({crash.server for crash in seen})),
            quarantined=digest in ends,
            remaining_ms=max(0, ends.get(digest, now) - now),
        )
