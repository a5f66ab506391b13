"""Check what callers get from a server whose answers have odd statuses.

A caller got an answer with status 000 from a server in trouble.
"""

import asyncio
import typing

import msgspec
import pytest

from sycamoreferry_core import http_messages
from sycamoreferry_gateway import http_client, relay_messages
from sycamoreferry_ports import boot_clock

KEY = 7
CALLS = 3
GOOD = b'HTTP/1.1 200 OK'
ODD_STATUSES = (b'000', b'099', b'101', b'600', b'999', b'20', b'2000')


class _OddServer:
    """Pass requests on, and change the answers to those of callers."""

    def __init__(self, target_port: int, status: bytes, place: str) -> None:
        self.port = 0
        self._target_port = target_port
        self._line = b'HTTP/1.1 %b Odd' % status
        self._place = place
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        target_reader, target_writer = await asyncio.open_connection(
            '127.0.0.1', self._target_port
        )
        self._writers |= {writer, target_writer}
        while request := await reader.read(100_000):
            target_writer.write(request)
            answer = await target_reader.read(100_000)
            if request.split(b' ')[1].startswith(b'/k/'):
                answer = self._change(answer)
            writer.write(answer)

    def _change(self, answer: bytes) -> bytes:
        odd = answer.replace(GOOD, self._line, 1)
        placed = {'alone': odd, 'before': odd + answer, 'behind': answer + odd}
        return placed[self._place]


@pytest.mark.parametrize('status', ODD_STATUSES)
@pytest.mark.parametrize('place', ['alone', 'before', 'behind'])
@pytest.mark.parametrize('kind', ['unsafe', 'safe', 'download'])
async def test_no_caller_gets_an_odd_status(
    cluster: typing.Any, status: bytes, place: str, kind: str
) -> None:
    await cluster.start(servers=1, instances=0, kind=kind)
    server = cluster.servers[0]
    odd = _OddServer(server.port, status, place)
    await odd.start()
    server.public_port = odd.port
    server.register()
    only = cluster.add_instance('i0')
    await cluster.wait_until(lambda: only.is_ready and cluster.is_covered())
    pool = http_client.ConnectionPool(boot_clock.BootClock())
    expected = 200 if place == 'behind' else 502
    for number in range(CALLS):
        only._loads._tracked.clear()
        reply = await pool.exchange(
            only._deployment.request_address,
            cluster.encode_request(f'r{number}', KEY, method='POST'),
            3_000,
        )
        assert isinstance(reply, http_messages.HttpResponse)
        assert reply.status == expected
    if kind == 'unsafe':
        assert len(server.ran) == CALLS
    odd.stop()


@pytest.mark.parametrize('status', [0, 99, 100, 101, 199, 600])
def test_relayed_answer_has_no_odd_status(status: int) -> None:
    encoded = relay_messages.encode(
        relay_messages.RelayedAnswer(status, [], b'', 1000, 'answered')
    )
    with pytest.raises(msgspec.MsgspecError):
        relay_messages.decode_answer(encoded)
