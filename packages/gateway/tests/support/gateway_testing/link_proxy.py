"""Forward connections over links that can fail."""

import asyncio
import enum
import typing

from gateway_testing import intervals


@enum.unique
class LinkState(enum.Enum):
    """Select what a proxy does to the data of its connections."""

    HEALTHY = 'fine'
    SLOW = 'slow'
    DROPPING = 'silent'
    REPLIES_DROPPED = 'one way'
    RESET = 'reset'


@enum.unique
class EndlessAnswer(enum.Enum):
    """Begin answers that go on until their receiver closes the connection."""

    HEAD = b'HTTP/1.1 200 OK\r\nFiller: '
    CHUNKS = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    UNFRAMED = b'HTTP/1.1 200 OK\r\n\r\n'


_FILLER = b'x' * 0x4000
_CHUNK = b'4000\r\n' + _FILLER + b'\r\n'
_FILLER_INTERVAL_S = 0.002


class Proxy:
    """Forward connections to a loopback port, subject to a link state."""

    def __init__(self, target_port: int) -> None:
        self.link_state = LinkState.HEALTHY
        self.port = 0
        # From when to when data was not forwarded as it came.
        self.faults = intervals.Intervals()
        self._endless: EndlessAnswer | None = None
        self._target_port = target_port
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        self.change(LinkState.RESET)
        for task in self._tasks:
            task.cancel()

    def change(self, link_state: LinkState) -> None:
        self.link_state = link_state
        self._record_fault()
        if link_state is LinkState.RESET:
            for writer in self._writers:
                writer.transport.abort()

    def replace_answers(self, endless: EndlessAnswer | None) -> None:
        """Replace answers with endless bytes; None ends that for new ones."""
        self._endless = endless
        self._record_fault()

    def _record_fault(self) -> None:
        now = asyncio.get_running_loop().time()
        if self.link_state is LinkState.HEALTHY and self._endless is None:
            self.faults.end(now)
        else:
            self.faults.begin(now)

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self.link_state is LinkState.RESET:
            writer.transport.abort()
            return
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            upstream = await asyncio.open_connection(
                '127.0.0.1', self._target_port
            )
        except OSError:
            writer.transport.abort()
            return
        writers = (writer, upstream[1])
        self._writers.update(writers)
        await asyncio.gather(
            self._forward(reader, upstream[1], is_answer=False),
            self._forward(upstream[0], writer, is_answer=True),
        )
        self._writers.difference_update(writers)
        self._tasks.discard(task)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_answer: bool,
    ) -> None:
        try:
            while chunk := await reader.read(65_536):
                if is_answer and self._endless is not None:
                    await _write_endlessly(writer, self._endless)
                if self.link_state is LinkState.SLOW:
                    await asyncio.sleep(0.15)
                if not self._drops(is_answer=is_answer):
                    writer.write(chunk)
        except OSError:
            writer.transport.abort()
        else:
            writer.close()

    def _drops(self, *, is_answer: bool) -> bool:
        if self.link_state is LinkState.REPLIES_DROPPED:
            return is_answer
        return self.link_state is LinkState.DROPPING


async def _write_endlessly(
    writer: asyncio.StreamWriter, endless: EndlessAnswer
) -> typing.NoReturn:
    """Write until the connection is lost, which raises OSError."""
    writer.write(endless.value)
    filler = _CHUNK if endless is EndlessAnswer.CHUNKS else _FILLER
    while True:
        writer.write(filler)
        await writer.drain()
        await asyncio.sleep(_FILLER_INTERVAL_S)
