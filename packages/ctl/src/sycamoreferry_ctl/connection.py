"""Connect a command to the platform's log."""

import asyncio
import contextlib
import dataclasses
import typing

import aiohttp
import typer

from sycamoreferry_core import state
from sycamoreferry_ctl import exit_status, log_access, output
from sycamoreferry_ports import http_log

LogUrl = typing.Annotated[
    str,
    typer.Option(
        help="URL of the platform's log, such as http://127.0.0.1:9000.",
        envvar='FERRY_LOG_URL',
    ),
]
Stream = typing.Annotated[
    str,
    typer.Option(help='Stream of the log.', envvar='FERRY_LOG_STREAM'),
]
DEFAULT_STREAM = 'ferry'

ResultType = typing.TypeVar('ResultType')


@dataclasses.dataclass(frozen=True)
class Connection:
    """Hold what commands talk to the platform with."""

    session: aiohttp.ClientSession
    log: http_log.HttpLog

    async def read_state(self) -> state.LogState:
        """Return the state that the log holds now."""
        return await log_access.read_state(self.log)


@contextlib.asynccontextmanager
async def connect(
    log_url: str,
    stream: str,
) -> typing.AsyncIterator[Connection]:
    """Open a connection and close it at the end."""
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        yield Connection(
            session,
            http_log.HttpLog(session, log_url.rstrip('/'), stream),
        )


def run(
    work: typing.Coroutine[typing.Any, typing.Any, ResultType],
) -> ResultType:
    """Run a command; end with a status where the log does not answer."""
    try:
        return asyncio.run(work)
    except log_access.LogUnreachableError as error:
        output.note(
            f'the log cannot be reached: {error};'
            ' check --log-url, or call again when the log is back',
        )
        raise typer.Exit(exit_status.ExitStatus.UNREACHABLE) from error


def read_state(log_url: str, stream: str) -> state.LogState:
    """Return the state that the log holds now."""
    return run(_read_state(log_url, stream))


async def _read_state(log_url: str, stream: str) -> state.LogState:
    async with connect(log_url, stream) as opened:
        return await opened.read_state()
