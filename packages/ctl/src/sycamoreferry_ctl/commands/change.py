"""Ask for changes by records in the log."""

import asyncio
import functools
import typing

import typer

from sycamoreferry_core import clock, ids, keys, records, result_codes, state
from sycamoreferry_ctl import connection, exit_status, log_access, output
from sycamoreferry_ports import record_ids

WAIT_MS = 30_000
POLL_MS = 500

_Service = typing.Annotated[
    str,
    typer.Argument(help='Name of the service.'),
]
_Server = typing.Annotated[
    str,
    typer.Argument(help='Name of the backend server.'),
]
_Key = typing.Annotated[
    str,
    typer.Argument(help='A key of the shard that is to move.'),
]
_UpTo = typing.Annotated[
    int,
    typer.Argument(help='The last term whose holders are gone.', min=1),
]
_Sure = typing.Annotated[
    bool,
    typer.Option('--sure', help='Say that both processes have ended.'),
]
_Undo = typing.Annotated[
    bool,
    typer.Option('--undo', help='Take the request back.'),
]
_Wait = typing.Annotated[
    int,
    typer.Option(help='Longest wait until it is done, in ms.', min=1),
]

_Remaining = typing.Callable[[state.LogState], int]


def drain(
    service: _Service,
    server: _Server,
    log_url: connection.LogUrl,
    undo: _Undo = False,
    wait_ms: _Wait = WAIT_MS,
    stream: connection.Stream = connection.DEFAULT_STREAM,
) -> None:
    """Empty a backend server, and wait until it is to own no shard.

    The server is given nothing until the drain is taken back with --undo.
    Status 4 means asked for, and not done within the wait.
    """
    record = records.DrainRequested(
        record_id=record_ids.new_record_id('drain'),
        service=ids.ServiceName(service),
        server=ids.ServerId(server),
        drain=not undo,
    )
    append(record, log_url, stream)
    if undo:
        typer.echo(f'{server}: may be given shards again')
        return
    remaining = functools.partial(
        _count_shards,
        record.service,
        record.server,
    )
    _wait_until_none(remaining, connection.connect(log_url, stream), wait_ms)
    typer.echo(f'{server}: is to own no shard of {service}')


def move(
    service: _Service,
    key: _Key,
    server: _Server,
    log_url: connection.LogUrl,
    undo: _Undo = False,
    wait_ms: _Wait = WAIT_MS,
    stream: connection.Stream = connection.DEFAULT_STREAM,
) -> None:
    """Move the shard of a key to a server, and keep it there.

    The shard stays until the move is taken back with --undo, or the server
    is lost. Status 4 means asked for, and not done within the wait.
    """
    name = ids.ServiceName(service)
    shard = _shard_of(connection.read_state(log_url, stream), name, key)
    record = records.ShardPinned(
        record_id=record_ids.new_record_id('move'),
        service=name,
        shard=shard,
        server=None if undo else ids.ServerId(server),
    )
    append(record, log_url, stream)
    if undo:
        typer.echo(f'shard {shard}: may move again')
        return
    remaining = functools.partial(
        _is_elsewhere,
        name,
        shard,
        ids.ServerId(server),
    )
    _wait_until_none(remaining, connection.connect(log_url, stream), wait_ms)
    typer.echo(f'shard {shard}: {server} is to own it')


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
        record_id=record_ids.new_record_id('release'),
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


def _shard_of(
    log_state: state.LogState,
    service: ids.ServiceName,
    key: str,
) -> ids.ShardId:
    owners = log_state.assignment_of(service).owners
    if not owners:
        output.note(
            f'no shard of the service {service!r} is assigned;'
            ' name one that "ferryctl assignment" lists',
        )
        raise typer.Exit(exit_status.ExitStatus.BAD_INPUT)
    return keys.shard_of(key, len(owners))


def _count_shards(
    service: ids.ServiceName,
    server: ids.ServerId,
    log_state: state.LogState,
) -> int:
    return log_state.assignment_of(service).owners.count(server)


def _is_elsewhere(
    service: ids.ServiceName,
    shard: ids.ShardId,
    server: ids.ServerId,
    log_state: state.LogState,
) -> int:
    return int(log_state.assignment_of(service).owner_of(shard) != server)


def _wait_until_none(
    remaining: _Remaining,
    opening: typing.AsyncContextManager[connection.Connection],
    wait_ms: int,
) -> None:
    left = connection.run(_wait(remaining, opening, wait_ms))
    if left:
        output.note(
            f'{left} shards have not moved yet; the request stands:'
            ' see "ferryctl assignment", "ferryctl terms" for a coordinator'
            ' and "ferryctl status" for instances',
        )
        raise typer.Exit(exit_status.ExitStatus.NOT_EVERYWHERE)


async def _wait(
    remaining: _Remaining,
    opening: typing.AsyncContextManager[connection.Connection],
    wait_ms: int,
) -> int:
    async with opening as opened:
        waited_ms = 0
        while True:
            left = remaining(await opened.read_state())
            if not left or waited_ms >= wait_ms:
                return left
            output.note(f'{left} shards to move')
            await asyncio.sleep(clock.seconds(POLL_MS))
            waited_ms += POLL_MS
