"""Answer requests over bare sockets as a test dictates."""

import asyncio
import contextlib
import dataclasses
import typing

from sycamoreferry_core import ids
from sycamoreferry_ports import wire
from sycamoreferry_standins import web

_END_OF_HEAD = b'\r\n\r\n'


@dataclasses.dataclass(frozen=True)
class Head:
    """Hold the head of a request as it came over the wire."""

    connection: int
    start_line: str
    headers: tuple[tuple[str, str], ...]

    def find(self, name: str) -> tuple[str, ...]:
        """Return every value of a header."""
        return tuple(
            text for sent, text in self.headers if sent.lower() == name.lower()
        )

    @property
    def request_id(self) -> str:
        """Return the id that the answer has to name."""
        return ''.join(self.find('Ferry-Request-Id'))


Script = typing.Callable[
    [Head, asyncio.StreamWriter],
    typing.Awaitable[None],
]


class ScriptedServer:
    """Serve each request by a script, and keep what came."""

    def __init__(self, script: Script) -> None:
        self.heads: list[Head] = []
        self.connections = 0
        self.lost = asyncio.Event()
        self._script = script
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def listed(self) -> wire.ListedServer:
        """Return the server as an instance list names it."""
        if self._server is None:
            raise RuntimeError('enter the server before calling it')
        return wire.ListedServer(
            server=ids.ServerId('scripted-1'),
            service=ids.ServiceName('plain'),
            data_centre=ids.DataCentre('north'),
            host=web.LOOPBACK,
            port=self._server.sockets[0].getsockname()[1],
            state='live',
        )

    async def __aenter__(self) -> typing.Self:
        """Listen on loopback."""
        self._server = await asyncio.start_server(
            self._serve,
            web.LOOPBACK,
            0,
        )
        return self

    async def __aexit__(self, *error: object) -> None:
        """Stop listening and drop every connection."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        task = asyncio.current_task()
        if task is not None:
            self._tasks.add(task)
        self.connections += 1
        with contextlib.suppress(
            asyncio.IncompleteReadError,
            ConnectionError,
            asyncio.CancelledError,
        ):
            await self._serve_connection(reader, writer, self.connections)
        writer.close()
        self.lost.set()

    async def _serve_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        number: int,
    ) -> None:
        while not writer.is_closing():
            raw = await reader.readuntil(_END_OF_HEAD)
            head = _parse(raw.decode(), number)
            length = int(''.join(head.find('Content-Length')) or 0)
            await reader.readexactly(length)
            self.heads.append(head)
            await self._script(head, writer)


def answer_bytes(
    head: Head,
    body: bytes = b'whole',
    length: int | None = None,
    extra: typing.Sequence[str] = (),
) -> bytes:
    """Return an answer that names the request, with the length it claims."""
    lines = (
        'HTTP/1.1 200 OK',
        f'Content-Length: {len(body) if length is None else length}',
        f'Ferry-Request-Id: {head.request_id}',
        *extra,
    )
    return '\r\n'.join((*lines, '', '')).encode() + body


def _parse(raw: str, connection: int) -> Head:
    start_line, *lines = raw.strip().split('\r\n')
    pairs = (line.partition(':') for line in lines)
    return Head(
        connection,
        start_line,
        tuple((name.strip(), text.strip()) for name, _, text in pairs),
    )
