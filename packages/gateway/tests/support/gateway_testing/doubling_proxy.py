"""Stand before a server that sends some answers twice.

The second copy of an answer is sent when the next message arrives on the
connection, before the answer to that one.
"""

import asyncio
import contextlib
import dataclasses
import typing

_HEAD_END = b'\r\n\r\n'


@dataclasses.dataclass(frozen=True)
class Message:
    """Hold a request or an answer as it was sent."""

    head: bytes
    body: bytes

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.head.split(b' ', 2)[1])

    @property
    def target(self) -> bytes:
        """Return the target of a request."""
        return self.head.split(b' ', 2)[1]

    @property
    def encoded(self) -> bytes:
        """Return the bytes of the message."""
        return self.head + self.body

    def without(self, header: bytes) -> 'Message':
        """Return the message without a header, given in lower case."""
        lines = [
            line
            for line in self.head.split(b'\r\n')
            if not line.lower().startswith(header + b':')
        ]
        return dataclasses.replace(self, head=b'\r\n'.join(lines))


Doubles = typing.Callable[[Message, Message], bool]


class DoublingProxy:
    """Forward messages to a loopback port, and send chosen answers twice."""

    def __init__(
        self, target_port: int, doubles: Doubles, *, has_ids: bool = True
    ) -> None:
        self.port = 0
        # How many second copies were sent.
        self.sent_count = 0
        self.connection_count = 0
        self._target_port = target_port
        self._doubles = doubles
        self._has_ids = has_ids
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Close all connections and accept no new ones."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.close()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connection_count += 1
        try:
            server = await asyncio.open_connection(
                '127.0.0.1', self._target_port
            )
        except OSError:
            writer.close()
            return
        self._writers |= {writer, server[1]}
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await self._forward(reader, writer, *server)
        server[1].close()
        writer.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        server_reader: asyncio.StreamReader,
        server_writer: asyncio.StreamWriter,
    ) -> None:
        copy: Message | None = None
        while True:
            request = await _read(reader)
            if copy is not None:
                self.sent_count += 1
                writer.write(copy.encoded)
            server_writer.write(request.encoded)
            answer = await _read(server_reader)
            writer.write(answer.encoded)
            copy = None
            if self._doubles(request, answer):
                copy = answer
                if not self._has_ids:
                    copy = answer.without(b'request-id')


async def _read(reader: asyncio.StreamReader) -> Message:
    head = await reader.readuntil(_HEAD_END)
    length = 0
    for line in head.split(b'\r\n'):
        name, _, content = line.partition(b':')
        if name.lower() == b'content-length':
            length = int(content)
    return Message(head, await reader.readexactly(length))
